// Package limits implements the retry budgets and the probe budgets of an instance,
// its shares of the limits that targets name, and those of the quotas of tenants. The
// limits apply to all instances together. Each instance keeps to its own share, without
// coordinating its retries and probes with the others. For quotas, the instances report
// the demand of each tenant to each other.
package limits
