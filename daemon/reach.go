package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/reachability"
	"rhubarbrelay/routing"
)

// reachInterval is the time between two checks whether targets can be reached. The
// services take turns, so that the checks of an instance do not grow with their number.
const reachInterval = 250 * time.Millisecond

// watchReach checks until the context ends whether this instance reaches the targets, logs
// the changes and tells the other instances of them.
func (d *Daemon) watchReach(ctx context.Context) error {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	states := map[string]reachability.State{}
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		dispatchers := d.table.Dispatchers()
		checkReach(dispatchers, turn)
		d.logReach(dispatchers, states)
		d.announceReach(dispatchers)
	}
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

func checkReach(dispatchers []*routing.Dispatcher, turn int) {
	var checks sync.WaitGroup
	for i, dispatcher := range dispatchers {
		checks.Go(func() { dispatcher.CheckReach(i == turn%len(dispatchers)) })
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
