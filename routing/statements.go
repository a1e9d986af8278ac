package routing

import "rhubarbrelay/platform"

// statementLogsPerSecond limits the log lines per second about statements of the
// targets of one service, since a faulty target may change its own in each response.
const statementLogsPerSecond = 5

// statements is what a target has stated about itself in its responses.
type statements struct {
	limited bool
	limit   float64 // requests per second from all instances together, if limited
}

// record takes over what a response states and reports whether it changed.
func (s *statements) record(info platform.ResponseInfo) (changed bool) {
	if !info.Received || info.Limit.Malformed {
		return false
	}
	before := *s
	s.limited, s.limit = info.Limit.Stated, info.Limit.PerSecond
	return *s != before
}

// recordStatements takes over what a response of the target states. The caller must
// hold d.mu.
func (d *Dispatcher) recordStatements(t *target, info platform.ResponseInfo) {
	fields := d.logger.WithField("target", t.info.ID).WithField("service", d.service.Name)
	if info.Limit.Malformed && d.statementLogs.Allow() {
		fields.Warn("target names a malformed limit, which is ignored")
	}
	if !t.statements.record(info) || !d.statementLogs.Allow() {
		return
	}
	if t.statements.limited {
		fields.WithField("limit", t.statements.limit).Info("target limits its requests")
		return
	}
	fields.Info("target no longer limits its requests")
}
