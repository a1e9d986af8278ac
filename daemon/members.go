package daemon

import (
	"sync"

	"github.com/apex/log"

	"rhubarbrelay/membership"
	"rhubarbrelay/timeline"
)

// memberWatch records the changes of other instances' states.
type memberWatch struct {
	directory *membership.Directory
	recorder  *timeline.Recorder
	logger    log.Interface
	limit     int

	mu       sync.Mutex
	states   map[string]memberState
	exceeded bool
}

// memberState is the state of an instance in one incarnation.
type memberState struct {
	state       membership.State
	incarnation int64
}

func newMemberWatch(directory *membership.Directory, recorder *timeline.Recorder, logger log.Interface, limit int) *memberWatch {
	return &memberWatch{
		directory: directory, recorder: recorder, logger: logger, limit: limit,
		states: map[string]memberState{},
	}
}

// update compares the directory with what was last recorded.
func (w *memberWatch) update() {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.directory.Known()
	present := make(map[string]memberState, len(known))
	for _, in := range known {
		now := memberState{state: in.State, incarnation: in.Incarnation}
		present[in.ID] = now
		if w.states[in.ID] != now && in.ID != w.directory.Self().ID {
			w.note(in)
		}
	}
	w.states = present
	w.checkLimit()
}

func (w *memberWatch) note(in membership.Instance) {
	state := string(instanceState(in.State))
	w.recorder.Record(timeline.Event{Kind: timeline.PeerState, Peer: in.ID, Detail: state})
	w.logger.WithField("peer", in.ID).WithField("state", state).Info("instance changed its state")
}

// checkLimit warns when more instances live than the limit by which budgets
// and connections are divided.
func (w *memberWatch) checkLimit() {
	live := w.directory.LiveCount()
	if exceeded := live > w.limit; exceeded != w.exceeded {
		w.exceeded = exceeded
		if exceeded {
			w.logger.WithField("live", live).WithField("max_instances", w.limit).
				Error("more instances than max_instances; targets may get more connections and probes than configured")
		}
	}
}
