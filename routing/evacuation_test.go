package routing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// Guards against requests, retries included, that go to a target of an evacuated zone:
// the nearest ones, those of this instance's own zone, are preferred otherwise.
func TestTargetsOfEvacuatedZoneGetNoRequests(t *testing.T) {
	evacuated, localInfo := startTarget(t, "local", "a", 8)
	_, remoteInfo := startTarget(t, "remote", "b", 8)
	d := newDispatcher(t, localInfo, remoteInfo)
	before := acquire(t, d, request())
	assert.Equal(t, before.Target().ID, "local")
	assert.Assert(t, before.Admitted())
	d.SetEvacuated([]string{"a"})
	assert.Assert(t, !before.Admitted())
	before.Release(Unreachable, platform.ResponseInfo{})
	probes := evacuated.Probes()
	for _, retry := range []bool{false, true} {
		r := request()
		r.Retry = retry
		l := acquire(t, d, r)
		assert.Equal(t, l.Target().ID, "remote")
		assert.Assert(t, l.Admitted())
		l.Release(Succeeded, platform.ResponseInfo{})
	}
	d.CheckReach(true)
	assert.Equal(t, evacuated.Probes(), probes)
	assert.Equal(t, d.Stats().Evacuated, 1)
	d.SetTargets([]*targets.Target{localInfo, remoteInfo}) // a registration does not end it
	assert.Equal(t, d.Stats().Evacuated, 1)
}

// Guards against requests that wait in vain, or are refused only after a wait, while the
// zones of all targets are evacuated, whether they are queued before or after.
func TestRefusalWhileAllZonesAreEvacuated(t *testing.T) {
	_, info := startTarget(t, "t", "a", 1)
	d := newDispatcher(t, info)
	d.SetEvacuated([]string{"b"})
	running := acquire(t, d, request())
	const waiting = 8
	refused := make(chan error, waiting)
	for range waiting {
		go func() {
			r := request()
			r.Deadline, r.Objective = r.Arrival.Add(time.Hour), 30*time.Minute
			_, err := d.Acquire(context.Background(), r)
			refused <- err
		}()
	}
	for d.Stats().Waiting < waiting {
		time.Sleep(time.Millisecond)
	}
	d.SetEvacuated([]string{"a", "b"})
	for range waiting {
		assert.ErrorIs(t, <-refused, ErrEvacuated)
	}
	_, err := d.Acquire(context.Background(), request())
	assert.ErrorIs(t, err, ErrEvacuated)
	assert.ErrorIs(t, err, ErrNoTarget)
	running.Release(Succeeded, platform.ResponseInfo{})
	d.SetEvacuated(nil)
	acquire(t, d, request()).Release(Succeeded, platform.ResponseInfo{})
}

// modelTargets returns targets that cannot be contacted, n in each zone.
func modelTargets(n int, zones ...string) []*targets.Target {
	all := make([]*targets.Target, 0, n*len(zones))
	for _, zone := range zones {
		for i := range n {
			all = append(all, &targets.Target{ID: fmt.Sprintf("%s-%d", zone, i), StartedMS: 1, Service: "s", Zone: zone, Slots: 10})
		}
	}
	return all
}

// Guards against an expected rate that counts evacuated targets, so that requests wait
// that cannot be served, and against an instance of an evacuated zone that leaves the
// other zones' targets unused.
func TestCapacityWithoutEvacuatedZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t, modelTargets(4, "a", "b", "c")...)
		rate := func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.dequeueRate(request(), time.Now())
		}
		d.throughput, d.throughputAt = 900, time.Now()
		d.durations.estimates = map[string]time.Duration{"r": 100 * time.Millisecond}
		assert.Equal(t, rate(), 900.0)
		assert.Assert(t, !d.remoteDependent)
		d.SetEvacuated([]string{"b"})
		assert.Equal(t, rate(), 600.0)
		assert.Assert(t, !d.remoteDependent)
		d.throughput = 0
		assert.Equal(t, rate(), usableRateFraction*8*8/0.1)
		d.SetEvacuated([]string{"a", "b"})
		assert.Equal(t, rate(), usableRateFraction*4*8/0.1)
		assert.Assert(t, d.remoteDependent)
	})
}

// Guards against connections to an evacuated zone that stay open, and against all its
// targets being contacted at the same time once the evacuation ends.
func TestEndOfEvacuation(t *testing.T) {
	_, info := startTarget(t, "t", "a", 4)
	d := newDispatcher(t, info)
	first := acquire(t, d, request())
	conn, err := first.Conn(time.Now().Add(time.Second))
	assert.NilError(t, err)
	dials := d.targets[info.Incarnation()].pool.Dials()
	d.SetEvacuated([]string{"a"})
	conn.Release()
	first.Release(Succeeded, platform.ResponseInfo{})
	d.SetEvacuated(nil)
	acquire(t, d, request()).Release(Succeeded, platform.ResponseInfo{})
	assert.Equal(t, d.targets[info.Incarnation()].pool.Dials(), dials+1)

	synctest.Test(t, func(t *testing.T) {
		const count = 100
		d := newDispatcher(t, modelTargets(count, "a")...)
		usable := func() int {
			n := 0
			for _, target := range d.targets {
				if target.usable(time.Now()) {
					n++
				}
			}
			return n
		}
		d.SetEvacuated([]string{"a"})
		assert.Equal(t, usable(), 0)
		d.SetEvacuated(nil)
		time.Sleep(reopenSpread / 10)
		assert.Assert(t, usable() < count/2, "%d targets", usable())
		time.Sleep(reopenSpread)
		assert.Equal(t, usable(), count)
	})
}

// Guards against a service that is configured during an evacuation and does not know of
// it.
func TestServiceAddedDuringEvacuation(t *testing.T) {
	table := NewTable(testSettings(), fixedTargets(modelTargets(2, "a", "b")))
	table.SetEvacuated([]string{"a"})
	table.Update(map[string]*config.Service{"s": service})
	assert.Equal(t, table.Dispatcher("s").Stats().Evacuated, 2)
	table.SetEvacuated(nil)
	assert.Equal(t, table.Dispatcher("s").Stats().Evacuated, 0)
}

// fixedTargets is a TargetSource.
type fixedTargets []*targets.Target

// ByService implements TargetSource.
func (f fixedTargets) ByService(string) []*targets.Target { return f }
