package peer

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"rhubarbrelay/crashes"
	"rhubarbrelay/peer/peerpb"
)

const (
	// crashRecordDelay is how long changed crash records are collected: the end of a
	// target changes those of all requests in flight there. Until the others know them,
	// they may send a request to further targets that it ends.
	crashRecordDelay = 5 * time.Millisecond
	// maxCrashRecords limits the crash records in a datagram, so that it is not
	// fragmented by the network.
	maxCrashRecords = 16
	// MaxSnapshotCrashRecords limits the crash records in a snapshot.
	MaxSnapshotCrashRecords = 256
)

// CrashLedger holds the crash records of this instance.
type CrashLedger interface {
	Merge(records []crashes.Record)
	// Blocked returns the records of requests that are sent to no target any more.
	Blocked(limit int) []crashes.Record
}

// WithCrashLedger sets the ledger that receives the crash records of other instances,
// and whose own are sent in complete packets.
func WithCrashLedger(ledger CrashLedger) Option { return func(m *Mesh) { m.crashes = ledger } }

// BroadcastCrash sends a changed crash record to the instances of all zones, within
// crashRecordDelay.
func (m *Mesh) BroadcastCrash(record crashes.Record) {
	m.mu.Lock()
	m.changedCrashes = append(m.changedCrashes, record)
	m.mu.Unlock()
	signal(m.crashSignal)
}

func (m *Mesh) sendChangedCrashes() {
	m.mu.Lock()
	changed := m.changedCrashes
	m.changedCrashes = nil
	m.mu.Unlock()
	for part := range slices.Chunk(changed, maxCrashRecords) {
		m.sendCrashes(part)
	}
}

// sendBlocked sends the records of blocked requests to an instance that has started, if
// this instance is active: the new one may have read the store instead of the state of
// another instance, and no complete packet of a remote zone may reach it.
func (m *Mesh) sendBlocked(to netip.AddrPort) {
	if m.crashes == nil || !m.active() {
		return
	}
	records := m.crashes.Blocked(maxCrashRecords)
	if len(records) == 0 {
		return
	}
	packet := m.heartbeat(activeRemoteInterval)
	packet.Crashes = crashesToWire(records)
	m.send(packet, to)
}

func (m *Mesh) sendCrashes(records []crashes.Record) {
	m.sendToAllZones(func(packet *peerpb.Packet) { packet.Crashes = crashesToWire(records) })
}

// handleCrashes merges the crash records of a packet.
func (m *Mesh) handleCrashes(packet *peerpb.Packet) error {
	if m.crashes == nil || len(packet.GetCrashes()) == 0 {
		return nil
	}
	records, err := crashesFromWire(packet.GetCrashes())
	if err != nil {
		return err
	}
	m.crashes.Merge(records)
	return nil
}

func crashesToWire(records []crashes.Record) []*peerpb.CrashRecord {
	messages := make([]*peerpb.CrashRecord, 0, len(records))
	for _, r := range records {
		message := &peerpb.CrashRecord{Fingerprint: r.Fingerprint[:], AgeMs: uint32(r.Age.Milliseconds())}
		for _, target := range r.Targets {
			message.Targets = append(message.Targets, uint64(target))
		}
		messages = append(messages, message)
	}
	return messages
}

func crashesFromWire(messages []*peerpb.CrashRecord) ([]crashes.Record, error) {
	records := make([]crashes.Record, 0, len(messages))
	for _, m := range messages {
		if len(m.GetFingerprint()) != crashes.FingerprintSize || len(m.GetTargets()) > crashes.MaxRecordedTargets {
			return nil, fmt.Errorf("%w: crash record with a fingerprint of %d bytes and %d targets", ErrMalformed, len(m.GetFingerprint()), len(m.GetTargets()))
		}
		r := crashes.Record{Fingerprint: crashes.Fingerprint(m.GetFingerprint()), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
		for _, target := range m.GetTargets() {
			r.Targets = append(r.Targets, crashes.TargetKey(target))
		}
		records = append(records, r)
	}
	return records, nil
}
