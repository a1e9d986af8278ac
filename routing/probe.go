package routing

import (
	"errors"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

const (
	// probeTimeout bounds the wait for the answers of one round.
	probeTimeout = 25 * time.Millisecond
	// probeDeadline bounds one probe; a later answer still updates the state.
	probeDeadline = 400 * time.Millisecond
)

// probeResult is the answer of one target.
type probeResult struct {
	target *target
	conn   *upstream.Conn
	ok     bool
}

// ask asks the targets for their load and returns those that answered in time,
// and the number of probes. A target that was asked a moment ago or whose share
// of probes is spent counts by its last report.
func (d *Dispatcher) ask(round []candidate) (found []candidate, probes int) {
	results := make(chan probeResult, len(round))
	for _, c := range round {
		if d.mustProbe(c.target) {
			probes++
			go func() { results <- d.probe(c.target) }()
		} else {
			found = append(found, c)
		}
	}
	if probes == 0 {
		return found, 0
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	for i := range probes {
		select {
		case r := <-results:
			if r.ok {
				found = append(found, candidate{target: r.target, conn: r.conn})
			}
		case <-timer.C:
			go returnConns(results, probes-i)
			return found, probes
		}
	}
	return found, probes
}

// returnConns gives the connections of late answers back.
func returnConns(results <-chan probeResult, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			r.conn.Release()
		}
	}
}

// mustProbe returns whether the target has to be asked, and spends the probe.
func (d *Dispatcher) mustProbe(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if d.service.HealthPath == "" || t.reported(now, reportFresh) || !t.probes.Allow(now) {
		return false
	}
	d.stats.Probes++
	return true
}

// probe asks one target. The result has no connection when it cannot be used.
func (d *Dispatcher) probe(t *target) probeResult {
	deadline := time.Now().Add(probeDeadline)
	conn, err := t.pool.Acquire(deadline)
	if err != nil {
		d.noteProbe(t, platform.ResponseInfo{}, false, err)
		return probeResult{target: t}
	}
	reply, healthy, err := conn.Probe(deadline)
	ok := d.noteProbe(t, reply, healthy, err)
	if err != nil || !ok {
		conn.Release()
		return probeResult{target: t}
	}
	return probeResult{target: t, conn: conn, ok: true}
}

// noteProbe learns from a probe and returns whether the target may get a
// request.
func (d *Dispatcher) noteProbe(t *target, reply platform.ResponseInfo, healthy bool, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted), errors.Is(err, upstream.ErrPoolClosed):
		return false
	case err != nil:
		d.stats.ProbeFailures++
		t.retreat(now)
		return false
	case reply.Target != "" && reply.Target != t.info.ID:
		t.gone = true
		return false
	case !healthy:
		t.fail(shedWeight, now)
	}
	if reply.HasLoad {
		d.noteReport(t, reply.Load, now)
	}
	return t.info.State == targets.Ready
}
