// Package limits implements the retry budgets and the probe budgets of an instance,
// and its shares of the limits that targets name. The limits apply to all instances
// together. Each instance keeps to its own share, without coordinating its requests,
// retries and probes with the others.
package limits
