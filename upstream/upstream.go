// Package upstream keeps the connections to targets and exchanges requests on
// them.
package upstream

import (
	"errors"
	"net/netip"
	"time"
)

// The failures of an exchange.
var (
	// ErrNotSent means that no byte of the request left this instance.
	ErrNotSent = errors.New("request was not sent")
	// ErrOutcomeUnknown means that the request may have run.
	ErrOutcomeUnknown = errors.New("outcome of the request is unknown")
	// ErrPoolClosed means that the target is no longer in use.
	ErrPoolClosed = errors.New("connections to the target are closed")
	// ErrPoolExhausted means that the limit of connections is reached.
	ErrPoolExhausted = errors.New("no connection to the target is free")
)

// Causes that accompany ErrUnknown.
var (
	errForeignAnswer  = errors.New("answer belongs to another request")
	errAnswerTooLarge = errors.New("answer is too large")
	errSwitched       = errors.New("target switched protocols")
	errManyInterim    = errors.New("too many interim answers")
	errEncoded        = errors.New("answer has a content encoding")
)

// Defaults of a pool.
const (
	// DefaultMaxResponseBody bounds the body of an answer, in bytes.
	DefaultMaxResponseBody = 16 << 20
	// DefaultIdleTimeout bounds the idle time on a connection whose target states
	// no timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultDialTimeout leaves time for another target within a usual timeout.
	DefaultDialTimeout = 250 * time.Millisecond
)

// Destination is what a pool connects to.
type Destination struct {
	Address netip.AddrPort
	// HealthPath answers probes; empty when the target has none.
	HealthPath string
}
