package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
)

// snapshotTimeout bounds the transfer of a snapshot.
const snapshotTimeout = 5 * time.Second

// noVersion is the version of an instance that has no configuration yet.
const noVersion platform.Offset = -1

// behind holds what is known of versions higher than the own one.
type behind struct {
	// awaited is the version that the log has had to deliver since that time.
	awaited  platform.Offset
	since    time.Time
	fetching bool
}

// compare notes the version that a peer has in a state.
func (m *Mesh) compare(s *session, version platform.Offset, state membership.State) {
	m.noteVersion(s, version)
	s.serving.Store(state == membership.Live || state == membership.Leaving)
	s.compared.Store(true)
}

// Compared returns whether the configuration has been given the version of a
// peer that serves callers or, when none does, of every other instance known
// that is not dead.
func (m *Mesh) Compared() bool {
	compared := map[string]bool{m.directory.Self().ID: true}
	for _, s := range m.list() {
		if s.serving.Load() && s.compared.Load() {
			return true
		}
		compared[s.peer.ID] = s.compared.Load() || compared[s.peer.ID]
	}
	for _, in := range m.directory.Instances() {
		if !compared[in.ID] {
			return false
		}
	}
	return true
}

// noteVersion starts to fetch the configuration when a peer has had a higher
// version for some time. An instance without any configuration fetches at once.
func (m *Mesh) noteVersion(s *session, version platform.Offset) {
	own := m.config.Version()
	if version <= own {
		return
	}
	m.config.RequireAtLeast(version)
	m.mu.Lock()
	now := time.Now()
	if m.behind.since.IsZero() || m.behind.awaited <= own {
		// The log delivered what was awaited; this version is a later one.
		m.behind.awaited = version
		m.behind.since = now
	}
	due := own <= noVersion || now.Sub(m.behind.since) >= m.timings.ConfigDelay
	if !due || m.behind.fetching {
		m.mu.Unlock()
		return
	}
	m.behind.fetching = true
	m.mu.Unlock()
	started := m.start(func(ctx context.Context) {
		err := m.fetchConfig(ctx, s)
		m.mu.Lock()
		m.behind.fetching = false
		m.behind.since = time.Time{}
		m.mu.Unlock()
		if err != nil {
			m.logger.WithField("peer", s.peer.ID).WithError(err).Warn("configuration not fetched")
		}
	})
	if !started {
		m.mu.Lock()
		m.behind.fetching = false
		m.mu.Unlock()
	}
}

// fetchConfig asks the peer for its snapshot on a stream of its own, so that
// heartbeats do not wait behind it.
func (m *Mesh) fetchConfig(ctx context.Context, s *session) error {
	stream, done, err := s.openStream(ctx)
	if err != nil {
		return err
	}
	defer done()
	if err := stream.SetDeadline(time.Now().Add(snapshotTimeout)); err != nil {
		return err
	}
	request, err := encodeFrame(&peerpb.Frame{Message: &peerpb.Frame_ConfigRequest{
		ConfigRequest: &peerpb.ConfigRequest{HaveVersion: int64(m.config.Version())},
	}}, controlFrameLimit)
	if err != nil {
		return err
	}
	if _, err := stream.Write(request); err != nil {
		return err
	}
	f, err := readFrame(stream, configFrameLimit)
	if err != nil {
		return err
	}
	state := f.GetConfigState()
	if state == nil {
		return fmt.Errorf("%w: %T instead of a configuration", ErrForeign, f.GetMessage())
	}
	if len(state.GetSnapshot()) == 0 {
		return errors.New("peer has no newer configuration")
	}
	m.counters.snapshots.Add(1)
	return m.config.Offer(state.GetSnapshot())
}

// answerConfig returns the snapshot when it is newer than what the peer has.
func (m *Mesh) answerConfig(r *peerpb.ConfigRequest) (*peerpb.Frame, error) {
	state := &peerpb.ConfigState{}
	if m.config.Version() > platform.Offset(r.GetHaveVersion()) {
		snapshot, err := m.config.Snapshot()
		if err != nil {
			return nil, err
		}
		state.Snapshot = snapshot
	}
	return &peerpb.Frame{Message: &peerpb.Frame_ConfigState{ConfigState: state}}, nil
}
