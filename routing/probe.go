package routing

import (
	"errors"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
	"rhubarbrelay/upstream"
)

const (
	// probeRoundTimeout limits the wait for the responses of one round of
	// probes.
	probeRoundTimeout = 25 * time.Millisecond
	// probeTimeout limits one probe. A response after probeRoundTimeout still
	// updates the state of the target.
	probeTimeout = 400 * time.Millisecond
)

// probeResult is the result of probing one target.
type probeResult struct {
	target *target
	conn   *upstream.Conn
	ok     bool
}

// probeRound probes the targets for their load in parallel. It returns those
// that respond in time and the number of probes. A target with a fresh report,
// without probe budget, or of a service without a health path is not probed and
// is returned with what is known of it.
func (d *Dispatcher) probeRound(round []candidate) (found []candidate, probes int) {
	results := make(chan probeResult, len(round))
	for _, c := range round {
		if d.allowProbe(c.target) {
			probes++
			go func() { results <- d.probe(c.target) }()
		} else {
			found = append(found, c)
		}
	}
	if probes == 0 {
		return found, 0
	}
	timer := time.NewTimer(probeRoundTimeout)
	defer timer.Stop()
	for i := range probes {
		select {
		case r := <-results:
			if r.ok {
				found = append(found, candidate{target: r.target, conn: r.conn})
			}
		case <-timer.C:
			go releaseUnfinished(results, probes-i)
			return found, probes
		}
	}
	return found, probes
}

// releaseUnfinished releases the connections of the n probes that have not
// finished when the round ends, as soon as they finish.
func releaseUnfinished(results <-chan probeResult, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			r.conn.Release()
		}
	}
}

// allowProbe reports whether the target needs a probe and the probe budget
// allows it. It withdraws the probe from the budget if so.
func (d *Dispatcher) allowProbe(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if d.service.HealthPath == "" || t.statements.silent(now) || t.reportedWithin(now, freshReportAge) && !d.isUnconfirmed(t, now) || !t.probeBudget.Allow(now) {
		return false
	}
	d.stats.Probes++
	return true
}

// probe probes one target. The result has no connection if the target cannot be
// used.
func (d *Dispatcher) probe(t *target) probeResult { return d.probeWithin(t, probeTimeout) }

func (d *Dispatcher) probeWithin(t *target, timeout time.Duration) probeResult {
	began := d.clock()
	deadline := time.Now().Add(timeout)
	conn, err := t.pool.Acquire(deadline)
	if err != nil {
		d.recordProbe(t, platform.ResponseInfo{}, false, began, err)
		return probeResult{target: t}
	}
	info, healthy, err := conn.Probe(deadline)
	ok := d.recordProbe(t, info, healthy, began, err)
	if err != nil || !ok {
		conn.Release()
		return probeResult{target: t}
	}
	return probeResult{target: t, conn: conn, ok: true}
}

// recordProbe updates the state of the target with the result of a probe that began at
// the given time, and reports whether the target may run a request.
func (d *Dispatcher) recordProbe(t *target, info platform.ResponseInfo, healthy bool, began time.Time, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted), errors.Is(err, upstream.ErrPoolClosed):
		return false
	case err != nil:
		d.stats.ProbeFailures++
		t.startBackoff(now)
		d.recordFailedContact(t, err, now)
		return false
	case info.Target != "" && info.Target != t.info.ID:
		t.replaced = true
		return false
	case !healthy:
		t.recordFailure(shedWeight, now)
	}
	d.recordReached(t, now)
	d.recordStatements(t, info, began, now)
	d.recordCold(t, info.Cold, began, now)
	if info.HasLoad {
		d.recordReport(t, info.Load, now)
	}
	return t.info.State == targets.Ready
}
