package routing

import (
	"math/rand/v2"
	"time"

	"rhubarbrelay/limits"
	"rhubarbrelay/timeline"
)

// Recorder records events. It is called under the dispatcher's lock and must
// not block.
type Recorder interface {
	Record(event timeline.Event)
}

// Option changes a Dispatcher under construction.
type Option func(*Dispatcher)

// WithClock sets the source of the time. The default is time.Now.
func WithClock(clock func() time.Time) Option {
	return func(d *Dispatcher) { d.clock = clock }
}

// WithRandom sets the source of random draws, which the dispatcher uses only
// under its own lock. Dispatchers must not share one; NewTable takes
// WithRandomSource instead.
func WithRandom(random *rand.Rand) Option {
	return func(d *Dispatcher) { d.random = random }
}

// WithRandomSource sets a function that makes the random source of each
// dispatcher from its service's name.
func WithRandomSource(source func(service string) *rand.Rand) Option {
	return func(d *Dispatcher) { d.random = source(d.service.Name) }
}

// WithRecorder sets the recorder of ejections and returns.
func WithRecorder(recorder Recorder) Option {
	return func(d *Dispatcher) { d.recorder = recorder }
}

// WithFairness makes the dispatcher share the instance's capacity with the
// other dispatchers that get the same object.
func WithFairness(fairness *limits.Fairness) Option {
	return func(d *Dispatcher) { d.share = fairness.Share(d.service.Name) }
}
