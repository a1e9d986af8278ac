package routing

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

const (
	limitModelZones = 3
	// limitModelDuration is the simulated time of a test.
	limitModelDuration = 20 * time.Second
	limitModelStep     = 10 * time.Millisecond
	// limitWindow is the time over which requests to a limited target are counted.
	limitWindow = 4 * time.Second
	// limitGrace is the time after which an instance that has heard of a limit keeps to it.
	limitGrace = 500 * time.Millisecond
)

// limitModel is a deployment in virtual time: instances that send requests without
// probes, and targets of which some limit their requests.
type limitModel struct {
	now       time.Time
	random    *rand.Rand
	instances []*Dispatcher
	limits    map[string]float64 // of targets that limit their requests, by ID
	inFlight  []limitModelSend
	told      map[string]map[int]time.Time // when an instance first heard of a limit, by target
	sent      map[string][]time.Time       // requests from instances that had heard of the limit, by target
	served    int
}

type limitModelSend struct {
	lease    *Lease
	instance int
	ends     time.Time
}

func newLimitModel(instances, servers int) *limitModel {
	m := &limitModel{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), limits: map[string]float64{},
		told: map[string]map[int]time.Time{}, sent: map[string][]time.Time{},
	}
	all := make([]*targets.Target, 0, servers)
	for i := range servers {
		all = append(all, &targets.Target{
			ID: fmt.Sprintf("t-%d", i), StartedMS: 1, Service: "s", Zone: limitModelZone(i), Slots: 6,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	for i := range instances {
		settings := testSettings()
		settings.Zone = limitModelZone(i)
		d := NewDispatcher(&config.Service{Name: "s"}, settings, InstanceCounts{Known: instances, Active: limitModelActive},
			WithClock(func() time.Time { return m.now }), WithLimitSharing(limitModelSharing{i}), WithLogger(&log.Logger{Handler: discard.Default}))
		d.SetTargets(all)
		m.instances = append(m.instances, d)
	}
	return m
}

// limitModelActive is the number of instances that get most of the requests.
const limitModelActive = 2 * limitModelZones

// limitModelSharing shares the limit of a target between the active instances of its
// zone.
type limitModelSharing struct{ instance int }

// Sharers implements LimitSharing.
func (s limitModelSharing) Sharers(target *targets.Target) int {
	if s.instance < limitModelActive && limitModelZone(s.instance) == target.Zone {
		return limitModelActive / limitModelZones
	}
	return 0
}

func limitModelZone(i int) string { return string(rune('a' + i%limitModelZones)) }

// run simulates requests at a rate per second over all instances.
func (m *limitModel) run(perSecond float64) {
	for end := m.now.Add(limitModelDuration); m.now.Before(end); m.now = m.now.Add(limitModelStep) {
		m.finish()
		for expected := perSecond * limitModelStep.Seconds(); m.random.Float64() < expected; expected-- {
			instance := m.random.IntN(limitModelActive)
			if m.random.IntN(10) == 0 { // a caller that kept an old entry response
				instance = m.random.IntN(len(m.instances))
			}
			m.send(instance)
		}
	}
}

func (m *limitModel) send(instance int) {
	l, err := m.instances[instance].Acquire(context.Background(), &Request{
		Route: "r", Arrival: m.now, Deadline: m.now.Add(3 * time.Second), Objective: 400 * time.Millisecond, Retry: true,
	})
	if err != nil {
		return
	}
	m.served++
	id := l.Target().ID
	if told, ok := m.told[id][instance]; ok && m.now.Sub(told) >= limitGrace {
		m.sent[id] = append(m.sent[id], m.now)
	}
	duration := 50*time.Millisecond + time.Duration(m.random.IntN(200))*time.Millisecond
	m.inFlight = append(m.inFlight, limitModelSend{l, instance, m.now.Add(duration)})
}

// finish ends the requests whose time has come.
func (m *limitModel) finish() {
	kept := m.inFlight[:0]
	for _, s := range m.inFlight {
		if m.now.Before(s.ends) {
			kept = append(kept, s)
			continue
		}
		m.respond(s)
	}
	m.inFlight = kept
}

func (m *limitModel) respond(s limitModelSend) {
	id := s.lease.Target().ID
	info := platform.ResponseInfo{Received: true, Sealed: true}
	if limit, ok := m.limits[id]; ok {
		info.Limit = platform.Limit{Stated: true, PerSecond: limit}
		if m.told[id] == nil {
			m.told[id] = map[int]time.Time{}
		}
		if _, ok := m.told[id][s.instance]; !ok {
			m.told[id][s.instance] = m.now
		}
	}
	s.lease.Release(Succeeded, info)
}

// mostInWindow returns the highest number of times in any window of the duration.
func mostInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowedInWindow is the number of requests that a target with a limit must at most
// get in limitWindow.
func allowedInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// Guards against a target that gets more requests than it takes from all instances,
// although each of them has heard of its limit.
func TestLimitOverAllInstances(t *testing.T) {
	tests := []struct {
		instances int
		limit     float64
	}{{15, 0}, {15, 0.1}, {15, 1.5}, {15, 3}, {15, 30}, {144, 2}, {300, 1.5}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %g per second", tt.instances, tt.limit), func(t *testing.T) {
			m := newLimitModel(tt.instances, 22)
			limited := []string{"t-0", "t-4", "t-5"}
			for _, id := range limited {
				m.limits[id] = tt.limit
			}
			m.run(200)
			for _, id := range limited {
				most := mostInWindow(m.sent[id], limitWindow)
				assert.Check(t, most <= allowedInWindow(tt.limit), "%s got %d requests in %s, allowed are %d", id, most, limitWindow, allowedInWindow(tt.limit))
			}
			assert.Assert(t, m.served > 0)
		})
	}
}

// Guards against a limit that ends or holds wrongly: by a malformed statement, by a late
// response to a request that began before the target stated its limit, or beyond the
// first response that no longer states it.
func TestEndOfLimit(t *testing.T) {
	limited := platform.ResponseInfo{Received: true, Limit: platform.Limit{Stated: true, PerSecond: 1}}
	tests := []struct {
		name     string
		last     platform.ResponseInfo
		early    bool // whether the last response is to a request from before the statement
		wantFree bool
	}{
		{"stated again", limited, false, false},
		{"malformed", platform.ResponseInfo{Received: true, Limit: platform.Limit{Malformed: true}}, false, false},
		{"late response to an earlier request", platform.ResponseInfo{Received: true}, true, false},
		{"no response", platform.ResponseInfo{}, false, false},
		{"no longer stated", platform.ResponseInfo{Received: true}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			d := newLimitedDispatcher(t, &now, 1)
			lease := func() *Lease { return acquire(t, d, &Request{Retry: true, Deadline: now.Add(time.Minute)}) }
			first, early := lease(), lease()
			now = now.Add(time.Second)
			first.Release(Succeeded, limited)
			last := early
			if !tt.early {
				now = now.Add(2 * time.Second) // until the limit admits a request
				last = lease()
			}
			last.Release(Succeeded, tt.last)
			_, err := d.Acquire(context.Background(), &Request{Retry: true, Deadline: now.Add(time.Minute)})
			assert.Equal(t, err == nil, tt.wantFree, "%v", err)
		})
	}
}

// newLimitedDispatcher returns a dispatcher with targets that cannot be probed.
func newLimitedDispatcher(t *testing.T, now *time.Time, servers int) *Dispatcher {
	t.Helper()
	d := NewDispatcher(&config.Service{Name: "s"}, testSettings(), InstanceCounts{Known: 1, Active: 1},
		WithClock(func() time.Time { return *now }), WithLogger(&log.Logger{Handler: discard.Default}))
	all := make([]*targets.Target, 0, servers)
	for i := range servers {
		all = append(all, &targets.Target{ID: fmt.Sprintf("t-%d", i), Service: "s", Zone: "a", Slots: 6})
	}
	d.SetTargets(all)
	t.Cleanup(d.Close)
	return d
}

// Guards against requests that wait for targets which take none of them in time, or are
// refused without the time at which the first one does.
func TestRefusalWhileAllTargetsAreLimited(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := newLimitedDispatcher(t, &now, 2)
	first := acquire(t, d, &Request{Retry: true, Deadline: now.Add(time.Minute)})
	second := acquire(t, d, &Request{Retry: true, Deadline: now.Add(time.Minute), Exclude: []targets.Incarnation{first.Target().Incarnation()}})
	first.Release(Succeeded, platform.ResponseInfo{Received: true, Limit: platform.Limit{Stated: true, PerSecond: 0.1}})
	second.Release(Succeeded, platform.ResponseInfo{Received: true, Limit: platform.Limit{Stated: true, PerSecond: 0.2}})
	_, err := d.Acquire(context.Background(), &Request{Arrival: now, Deadline: now.Add(2 * time.Second), Objective: time.Second})
	assert.ErrorIs(t, err, ErrNoCapacity)
	var refusal *RefusalError
	assert.Assert(t, errors.As(err, &refusal))
	// The share of the higher limit opens after 1 / (0.75 * 0.2) seconds.
	assert.Equal(t, refusal.RetryAfter.Round(time.Millisecond), 6667*time.Millisecond)
}
