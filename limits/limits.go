// Package limits holds the budgets and limits of an instance: concurrency per
// target, ejection, retries, probes and fairness between services.
//
// Types that take the time as an argument are not safe for concurrent use
// unless they say so; their owner holds a lock.
package limits
