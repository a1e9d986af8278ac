// Package limits implements the retry budgets and the probe budgets of an
// instance. The limits apply to all instances together. Each instance keeps to
// its own share and does not ask the others.
package limits
