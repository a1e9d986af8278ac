package targets

import "time"

// Statement is what an incarnation of a target has stated in its responses, as far as
// it holds for all instances.
type Statement struct {
	Incarnation Incarnation
	// Leaving is set if the target leaves.
	Leaving bool
	// Limited is set if the target takes only Limit requests per second from all
	// instances together.
	Limited bool
	Limit   float64
	// ColdLeft is the remaining cold time that a health response states, 0 if the
	// statement is not about it.
	ColdLeft time.Duration
}
