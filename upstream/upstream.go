// Package upstream pools connections to targets and sends requests on them.
package upstream

import (
	"errors"
	"net/netip"
	"time"
)

// Errors of pools and connections.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrOutcomeUnknown means that the request may have run.
	ErrOutcomeUnknown = errors.New("outcome of the request is unknown")
	// ErrUnreachable means that no connection could be opened. It is wrapped together with
	// ErrNotSent.
	ErrUnreachable = errors.New("target cannot be reached")
	// ErrPoolClosed means that the pool was closed: its target is no longer in use,
	// or a new pool has replaced it because the health path of the service changed.
	ErrPoolClosed = errors.New("connection pool is closed")
	// ErrPoolExhausted means that all connections that the limit allows are in
	// use.
	ErrPoolExhausted = errors.New("no connection to the target is free")
)

// Causes that are wrapped together with ErrOutcomeUnknown or ErrNotSent.
var (
	errOtherRequest    = errors.New("response belongs to another request")
	errRefusedBefore   = errors.New("target has refused a request with this ID on the connection")
	errCutOff          = errors.New("connection was reset before the end of the response")
	errRepeatedControl = errors.New("response names its request or its seal more than once")
	errContentEncoding = errors.New("response has a content encoding")
)

// Defaults of a pool.
const (
	// DefaultMaxResponseBody limits the size of a response body in bytes.
	DefaultMaxResponseBody = 16 << 20
	// DefaultIdleTimeout limits the idle time of a connection whose target sends
	// no keep-alive timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultDialTimeout is short so that another target can be tried within a
	// typical request timeout.
	DefaultDialTimeout = 250 * time.Millisecond
)

// Destination is the target that a pool connects to.
type Destination struct {
	Address netip.AddrPort
	// HealthPath is the path of health probes, empty if the target has none.
	HealthPath string
}
