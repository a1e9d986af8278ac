package routing

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option { return func(d *Dispatcher) { d.clock = clock } }

// WithPoolFactory sets the function that creates the connection pool of a
// target with the given connection limit.
func WithPoolFactory(newPool func(upstream.Destination, int) *upstream.Pool) Option {
	return func(d *Dispatcher) { d.newPool = newPool }
}

// WithLimitSharing sets how the limits of targets are shared with the other instances.
// By default there are none.
func WithLimitSharing(sharing LimitSharing) Option {
	return func(d *Dispatcher) { d.sharing = sharing }
}

// WithColdSharing sets how the limits of cold targets are shared with the other instances.
// By default there are none.
func WithColdSharing(sharing ColdSharing) Option {
	return func(d *Dispatcher) { d.coldSharing = sharing }
}

// WithOnStatement sets a function that is called when a target has changed what it
// states, as this instance has heard it. It must not call the dispatcher.
func WithOnStatement(fn func(targets.Statement)) Option {
	return func(d *Dispatcher) { d.onStatement = fn }
}

// WithLogger sets the logger. The default is the global one.
func WithLogger(logger log.Interface) Option { return func(d *Dispatcher) { d.logger = logger } }

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(d *Dispatcher) { d.random = random } }
