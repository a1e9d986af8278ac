package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/reachability"
	"rhubarbrelay/routing"
)

const (
	// reachInterval is the time between two checks of services whose targets may have
	// become unreachable, or reachable again.
	reachInterval = 250 * time.Millisecond
	// regularInterval is the number of these times after which one service is checked in
	// any case. The services take turns, so that an instance does not send more checks the
	// more services there are.
	regularInterval = 2
	// reachStartDelay is the time between the start of an instance and its first check. A
	// start of all instances has enough to do, and requests show meanwhile whether targets
	// can be reached.
	reachStartDelay = 2 * time.Second
)

// watchReach checks until the context ends whether this instance reaches the targets, logs
// the changes and tells the other instances of them.
func (d *Daemon) watchReach(ctx context.Context) error {
	sleepContext(ctx, reachStartDelay)
	states, turn := map[string]reachability.State{}, 0
	return runPeriodically(ctx, reachInterval, func() {
		dispatchers := d.table.Dispatchers()
		checkReach(dispatchers, turn)
		d.logReach(dispatchers, states)
		d.announceReach(dispatchers)
		turn++
	})
}

// announceReach tells the other instances to the targets of which services this one has
// lost its links, if that has changed.
func (d *Daemon) announceReach(dispatchers []*routing.Dispatcher) {
	isolated, unreachable := summarizeReach(dispatchers)
	wasActive := d.selector.IsActive()
	if d.members.SetReach(isolated, unreachable) {
		d.mesh.AnnounceReach(wasActive)
	}
}

// summarizeReach returns whether the links to the targets of all services are lost, and
// otherwise the services to whose targets they are.
func summarizeReach(dispatchers []*routing.Dispatcher) (isolated bool, unreachable []string) {
	reached := false
	for _, dispatcher := range dispatchers {
		switch {
		case dispatcher.Reach() != reachability.Reachable:
			unreachable = append(unreachable, dispatcher.Service().Name)
		case dispatcher.Stats().Targets > 0:
			reached = true
		}
	}
	if len(unreachable) > 0 && !reached {
		return true, nil
	}
	return false, unreachable
}

// checkReach checks the services that may have changed. turn counts the calls.
func checkReach(dispatchers []*routing.Dispatcher, turn int) {
	lost := slices.ContainsFunc(dispatchers, func(d *routing.Dispatcher) bool { return d.Reach() != reachability.Reachable })
	var checks sync.WaitGroup
	for i, dispatcher := range dispatchers {
		itsTurn := turn%regularInterval == 0 && i == turn/regularInterval%len(dispatchers)
		checks.Go(func() { dispatcher.CheckReach(lost || itsTurn) })
	}
	checks.Wait()
}

// logReach logs the states that differ from the given ones, and updates these.
func (d *Daemon) logReach(dispatchers []*routing.Dispatcher, states map[string]reachability.State) {
	for _, dispatcher := range dispatchers {
		service, state := dispatcher.Service().Name, dispatcher.Reach()
		if states[service] == state {
			continue
		}
		states[service] = state
		fields := log.Fields{"service": service, "reach": state.String(), "unreached": dispatcher.Stats().Unreached}
		if err := dispatcher.LastDialError(); err != nil {
			fields["last_error"] = err.Error()
		}
		d.logger.WithFields(fields).Warn("reachability of the targets changed")
	}
}
