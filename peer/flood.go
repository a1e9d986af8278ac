package peer

import (
	"context"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/timeline"
)

// flood sends the local changes of the directory to the peers.
func (m *Mesh) flood(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.directory.Changes():
		}
		m.sendPending()
		// Changes within this time go out together, which bounds the rate.
		sleep(ctx, m.timings.Batch)
	}
}

func (m *Mesh) sendPending() {
	if news := m.directory.TakePending(); !news.Empty() {
		m.Broadcast(news)
	}
}

// Broadcast sends news to all instances. The directory's own changes are sent
// without it.
func (m *Mesh) Broadcast(news membership.News) {
	self := m.directory.Self()
	for _, part := range batches(news) {
		sequence := m.sequence.Add(1)
		m.relay(nil, &peerpb.Frame{Message: &peerpb.Frame_News{News: &peerpb.News{
			Origin: self.ID, OriginIncarnation: self.Incarnation, Sequence: sequence,
			Instances: encodeInstances(part.Instances), Targets: encodeTargets(part.Targets),
		}}})
	}
}

// relay sends the frame to every peer but the one that it came from.
func (m *Mesh) relay(from *session, f *peerpb.Frame) {
	best := map[string]*session{}
	for _, s := range m.list() {
		if other := best[s.peer.ID]; other == nil || s.fresherThan(other) {
			best[s.peer.ID] = s
		}
	}
	for id, s := range best {
		if from == nil || id != from.peer.ID {
			s.enqueue(f)
		}
	}
}

// handleNews merges news and passes it on when it arrives for the first time.
func (m *Mesh) handleNews(s *session, f *peerpb.Frame, n *peerpb.News) error {
	if n.GetOrigin() == "" || len(n.GetOrigin()) > maxNameBytes {
		return ErrForeign
	}
	self := m.directory.Self()
	if n.GetOrigin() == self.ID && n.GetOriginIncarnation() == self.Incarnation {
		m.counters.duplicates.Add(1)
		return nil
	}
	now := time.Now()
	news, err := decodeNews(n.GetInstances(), n.GetTargets(), now)
	if err != nil {
		return err
	}
	m.mu.Lock()
	first := m.seen.add(n.GetOrigin(), n.GetOriginIncarnation(), n.GetSequence(), now)
	m.mu.Unlock()
	if !first {
		m.counters.duplicates.Add(1)
		return nil
	}
	m.directory.ApplyNews(news)
	m.relay(s, f)
	return nil
}

// handleSync merges what a peer knows and passes on what was new here.
func (m *Mesh) handleSync(s *session, y *peerpb.Sync) error {
	news, err := decodeNews(y.GetInstances(), y.GetTargets(), time.Now())
	if err != nil {
		return err
	}
	fresh := m.directory.ApplyNews(news)
	for _, part := range batches(fresh) {
		m.relay(s, syncFrame(part))
	}
	return nil
}

// sendSync sends a peer all that this instance knows.
func (m *Mesh) sendSync(s *session) {
	for _, part := range batches(m.directory.Report()) {
		s.enqueue(syncFrame(part))
	}
}

func syncFrame(news membership.News) *peerpb.Frame {
	return &peerpb.Frame{Message: &peerpb.Frame_Sync{Sync: &peerpb.Sync{
		Instances: encodeInstances(news.Instances), Targets: encodeTargets(news.Targets),
	}}}
}

func (m *Mesh) observeClock(stamp uint64) {
	s := timeline.Stamp(stamp)
	if !s.Time().After(time.Now().Add(maxClockLead)) {
		m.clock.Observe(s)
	}
}
