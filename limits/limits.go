// Package limits implements the retry budgets and the probe budgets of an
// instance. The limits apply to all instances together. Each instance keeps to
// its own share, without coordinating its retries and probes with the others.
package limits
