package peer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/targets"
)

const (
	// statementDelay is how long changed statements of targets are collected.
	statementDelay = 20 * time.Millisecond
	// maxStatements limits the statements in a datagram, so that it is not fragmented by
	// the network.
	maxStatements = 16
)

// WithOnStatements sets the function that receives the statements of targets that other
// instances have heard.
func WithOnStatements(fn func([]targets.Statement)) Option {
	return func(m *Mesh) { m.onStatements = fn }
}

// BroadcastStatement sends a changed statement of a target to the instances of all zones,
// within statementDelay.
func (m *Mesh) BroadcastStatement(statement targets.Statement) {
	m.mu.Lock()
	m.changedStatements = append(m.changedStatements, statement)
	m.mu.Unlock()
	signal(m.statementSignal)
}

func (m *Mesh) sendChangedStatements() {
	m.mu.Lock()
	changed := m.changedStatements
	m.changedStatements = nil
	m.mu.Unlock()
	for part := range slices.Chunk(changed, maxStatements) {
		m.sendToAllZones(func(packet *peerpb.Packet) { packet.Statements = statementsToWire(part) })
	}
}

// handleStatements passes on the statements in a packet.
func (m *Mesh) handleStatements(packet *peerpb.Packet) error {
	if len(packet.GetStatements()) == 0 {
		return nil
	}
	statements, err := statementsFromWire(packet.GetStatements())
	if err != nil {
		return err
	}
	m.onStatements(statements)
	return nil
}

// coldLeft returns the stated cold time of a target, 0 if there is none.
func coldLeft(m *peerpb.TargetStatement) time.Duration {
	if !m.GetColdStated() {
		return 0
	}
	return targets.Warmup(m.GetColdMs())
}

func statementsToWire(statements []targets.Statement) []*peerpb.TargetStatement {
	messages := make([]*peerpb.TargetStatement, 0, len(statements))
	for _, s := range statements {
		messages = append(messages, &peerpb.TargetStatement{
			Id: s.Incarnation.ID, Born: s.Incarnation.StartedMS, Leaving: s.Leaving, Limited: s.Limited, Limit: s.Limit,
			ColdStated: s.ColdLeft > 0, ColdMs: s.ColdLeft.Milliseconds(),
		})
	}
	return messages
}

func statementsFromWire(messages []*peerpb.TargetStatement) ([]targets.Statement, error) {
	statements := make([]targets.Statement, 0, len(messages))
	for _, m := range messages {
		limit := m.GetLimit()
		if m.GetId() == "" || limit < 0 || math.IsNaN(limit) || math.IsInf(limit, 0) {
			return nil, fmt.Errorf("%w: statement of target %q with a limit of %g", ErrMalformed, m.GetId(), limit)
		}
		statements = append(statements, targets.Statement{
			Incarnation: targets.Incarnation{ID: m.GetId(), StartedMS: m.GetBorn()},
			Leaving:     m.GetLeaving(), Limited: m.GetLimited(), Limit: limit, ColdLeft: coldLeft(m),
		})
	}
	return statements, nil
}
