// Package callers holds the accepted connections of a server and the state of each,
// which decides when a shutdown ends: as soon as no connection has a request or a
// response under way.
package callers

// State is the state of an accepted connection.
type State int

// The states of a connection.
const (
	// New means that no byte was received yet.
	New State = iota
	// Idle means that the last response was written and no byte of a further request
	// was received.
	Idle
	// Receiving means that a request was received in part.
	Receiving
	// InProgress means that a request was received completely and no byte of its
	// response was written.
	InProgress
	// Writing means that a response was written in part, or completely and nothing
	// shows yet that the connection is used again.
	Writing
	// Closing means that the server has closed the connection and waits until its
	// caller has the response.
	Closing
	states // the number of states
)

var stateNames = [states]string{"new", "idle", "receiving", "in_progress", "writing", "closing"}

// String returns the name of the state in log lines.
func (s State) String() string { return stateNames[s] }
