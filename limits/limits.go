// Package limits implements the retry budgets and the probe budgets of an
// instance. The limits apply to all instances together; each instance has a
// static share of them.
package limits
