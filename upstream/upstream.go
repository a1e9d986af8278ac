// Package upstream keeps the connections to targets and runs one exchange at a
// time on each of them.
package upstream

import (
	"errors"
	"fmt"
	"time"
)

// The errors of an exchange. They state what is known of the request.
var (
	// ErrNotSent means that no byte of the request left for the target.
	ErrNotSent = errors.New("request was not sent")
	// ErrNotRun means that the target asserts that it did not run the request.
	ErrNotRun = errors.New("target did not run the request")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("request may have run")
	// ErrNoConnection means that the limit of connections is reached. Nothing
	// was sent.
	ErrNoConnection = fmt.Errorf("%w: connection limit reached", ErrNotSent)
	// ErrClosed means that the target left the fleet. Nothing was sent.
	ErrClosed = fmt.Errorf("%w: pool is closed", ErrNotSent)
)

// ErrCancelled means that the exchange was cancelled. It is wrapped together
// with what is known of the request.
var ErrCancelled = errors.New("exchange was cancelled")

// The reasons for which an answer is discarded. They are wrapped together with
// ErrUnknown.
var (
	errNoProvenEnd      = errors.New("end of the answer is not proven: neither a content length nor chunked")
	errForeignAnswer    = errors.New("answer belongs to another request")
	errAnswerTooLarge   = errors.New("answer is too large")
	errSwitchedProtocol = errors.New("answer switches the protocol")
	errManyInterim      = errors.New("too many interim answers")
)

// Terms are the conditions of one exchange.
type Terms struct {
	// Deadline bounds the wait for a connection, the dial and the exchange.
	Deadline time.Time
	// Proven asks for a connection that is new or was used within the last
	// second, because a connection that idled longer may be silently dead.
	Proven bool
	// Done cancels the exchange by closing its connection. It may be nil.
	Done <-chan struct{}
	// Canceler cancels the exchange in the same way. It may be nil.
	Canceler Canceler
}

// Canceler tells whether an exchange in progress should be cancelled. It is
// asked at most once per cancelInterval and connection, while the exchange runs.
type Canceler interface {
	Canceled() bool
}

// Stats counts what a pool did since it was opened.
type Stats struct {
	Open    int // connections, in use or idle
	Idle    int
	Waiting int // requests that wait for a connection

	Exchanges uint64
	Dials     uint64
	// DialFailures counts the connections that could not be opened in time.
	DialFailures uint64
	// Reused counts the exchanges on a connection that served one before.
	Reused uint64
	// Stale counts the idle connections closed because the target had closed
	// them, sent bytes that nobody asked for, or because they grew too old.
	Stale uint64
	// Unread counts the connections closed because bytes followed an answer.
	Unread uint64
	// Refused counts the requests that got no connection.
	Refused   uint64
	NotSent   uint64
	NotRun    uint64
	Unknown   uint64
	Foreign   uint64 // answers that belong to another request
	Oversized uint64 // answers above the size limit
}
