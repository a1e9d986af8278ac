// Package header names the HTTP headers and reserved paths that rhubarbrelay
// shares with callers and targets.
package header

// Headers of requests and answers.
const (
	Service        = "Rhubarbrelay-Service"
	RequestID      = "Rhubarbrelay-Request-Id"
	Deadline       = "Rhubarbrelay-Deadline"
	Idempotent     = "Rhubarbrelay-Idempotent"
	IdempotencyKey = "Idempotency-Key"
	Outcome        = "Rhubarbrelay-Outcome"
	Reason         = "Rhubarbrelay-Reason"
	Attempt        = "Rhubarbrelay-Attempt"
	InFlight       = "Rhubarbrelay-In-Flight"
	State          = "Rhubarbrelay-State"
)

// Values of the Outcome header.
const (
	OutcomeRun     = "run"
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// Values of the State header.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Reserved paths.
const (
	ReservedPrefix = "/.well-known/rhubarbrelay/"
	EntryPath      = ReservedPrefix + "entry"
	HealthPath     = ReservedPrefix + "health"
)
