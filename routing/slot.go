package routing

import (
	"time"

	"rhubarbrelay/config"
)

// Slot is the right to send one request to one target. It must be released
// exactly once; later releases have no effect.
type Slot struct {
	dispatcher *Dispatcher
	target     *target
	config     config.Target
	class      string
	start      time.Time
	position   int // in target.slots
	long       bool
	released   bool
}

// Target returns the target that the slot belongs to, as configured when the
// slot was given.
func (s *Slot) Target() config.Target { return s.config }

// Release gives the slot back with the result of the attempt.
func (s *Slot) Release(result Result) { s.dispatcher.release(s, result) }
