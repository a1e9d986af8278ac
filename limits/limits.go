// Package limits holds the budgets that an instance keeps to: second tries and
// health probes. The instances share both, each with a static part of its own.
package limits
