package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"

	"rhubarbrelay/membership"
)

// contact holds the attempts to reach an instance without a session.
type contact struct {
	// lost is set when a session ended without goodbye or went silent.
	lost    bool
	dialing bool
	failed  int
	// next is the earliest time of the next attempt.
	next time.Time
}

// contact returns the attempts to reach the instance. The caller holds the
// lock.
func (m *Mesh) contact(id string) *contact {
	c := m.contacts[id]
	if c == nil {
		c = &contact{}
		m.contacts[id] = c
	}
	return c
}

// check keeps the sessions until the context ends.
func (m *Mesh) check(ctx context.Context) {
	heartbeat := time.NewTicker(m.timings.Heartbeat)
	defer heartbeat.Stop()
	ticker := time.NewTicker(m.timings.Check)
	defer ticker.Stop()
	// A random phase keeps instances that start together from probing together.
	nextProbe := time.Now().Add(rand.N(m.timings.DeadProbe))
	for {
		m.directory.Expire()
		m.tend()
		if now := time.Now(); now.After(nextProbe) {
			nextProbe = now.Add(m.timings.DeadProbe/2 + rand.N(m.timings.DeadProbe))
			m.probeDead()
		}
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			m.sendHeartbeats()
		case <-ticker.C:
		}
	}
}

func (m *Mesh) sendHeartbeats() {
	f := m.heartbeat()
	for _, s := range m.list() {
		s.enqueue(f)
		if len(s.queue) < queueFrames/2 && s.missed.Swap(false) {
			m.sendSync(s)
		}
	}
}

// tend dials the chosen peers and those that were lost, and closes the
// sessions that are silent or not needed.
func (m *Mesh) tend() {
	self := m.directory.Self()
	known := m.directory.Known()
	chosen := neighbours(self.ID, known)
	wanted := map[string]bool{}
	for _, in := range chosen {
		wanted[in.ID] = true
	}
	for _, s := range m.list() {
		m.review(s, wanted[s.peer.ID])
	}
	for _, in := range known {
		if in.ID != self.ID && in.PeerAddress.IsValid() {
			m.dialIfNeeded(in, wanted[in.ID])
		}
	}
	if len(chosen) == 0 {
		m.dialSeeds()
	}
	m.forgetContacts(known)
}

// review closes a session that is silent for good or not needed, and marks a
// silent one for another dial.
func (m *Mesh) review(s *session, wanted bool) {
	silence := s.silence()
	switch {
	case silence > 2*m.timings.Silence:
		s.close()
	case silence > m.timings.Silence:
		m.mu.Lock()
		m.contact(s.peer.ID).lost = true
		m.mu.Unlock()
	case s.incoming || s.active.Load() > 0:
	case !wanted && s.idle() > m.timings.Idle:
		s.goodbye("not needed", false)
	case m.directory.Self().ID > s.peer.ID && m.hasIncoming(s.peer.ID):
		// Both dialled at once. The one with the higher id gives way.
		s.goodbye("two sessions", false)
	}
}

func (m *Mesh) hasIncoming(id string) bool {
	for _, s := range m.list() {
		if s.incoming && s.peer.ID == id && s.silence() < m.timings.Silence/2 {
			return true
		}
	}
	return false
}

// dialIfNeeded starts an attempt to reach the instance when a session is
// wanted and there is none that is heard.
func (m *Mesh) dialIfNeeded(in membership.Instance, wanted bool) {
	if s := m.sessionWith(in.ID); s != nil && s.silence() <= m.timings.Silence {
		m.mu.Lock()
		if time.Since(s.createdAt) > m.timings.Silence {
			delete(m.contacts, in.ID)
		} else {
			m.contact(in.ID).lost = false
		}
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	c := m.contact(in.ID)
	due := (wanted || c.lost && in.State != membership.Dead) && !c.dialing && !time.Now().Before(c.next)
	if !due || !m.dials.TryAcquire(1) {
		m.mu.Unlock()
		return
	}
	c.dialing = true
	m.mu.Unlock()
	started := m.start(func(ctx context.Context) {
		defer m.dials.Release(1)
		s, err := m.dial(ctx, in.PeerAddress)
		m.dialled(ctx, in, s, err)
	})
	if !started {
		m.dials.Release(1)
	}
}

// dialled notes the result of an attempt to reach the instance.
func (m *Mesh) dialled(ctx context.Context, in membership.Instance, s *session, err error) {
	if err == nil {
		m.register(s)
		if s.peer.ID == in.ID {
			return
		}
		err = fmt.Errorf("address %s belongs to instance %q", in.PeerAddress, s.peer.ID)
	}
	if ctx.Err() != nil {
		return
	}
	m.logger.WithField("peer", in.ID).WithError(err).Debug("peer not reached")
	m.mu.Lock()
	c := m.contact(in.ID)
	c.dialing = false
	c.failed++
	c.next = time.Now().Add(m.backoff(c.failed))
	m.mu.Unlock()
	if s := m.sessionWith(in.ID); s == nil || s.silence() > m.timings.Silence {
		m.directory.Suspect(in.ID)
	}
}

// backoff returns the pause after the number of failures, doubled each time
// and with jitter of half its length.
func (m *Mesh) backoff(failed int) time.Duration {
	pause := m.timings.MinBackoff
	for range failed - 1 {
		pause = min(2*pause, m.timings.MaxBackoff)
	}
	return pause/2 + rand.N(pause)
}

// dial opens a session to the address.
func (m *Mesh) dial(ctx context.Context, address netip.AddrPort) (*session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, m.timings.Dial)
	defer cancel()
	conn, err := m.dialer(dialCtx, address)
	if err != nil {
		return nil, err
	}
	return m.establish(ctx, conn, false)
}

// probeDead tries one instance that is believed dead. After a partition both
// sides believe so of each other.
func (m *Mesh) probeDead() {
	var dead []membership.Instance
	for _, in := range m.directory.Known() {
		if in.State == membership.Dead && in.PeerAddress.IsValid() {
			dead = append(dead, in)
		}
	}
	if len(dead) == 0 {
		return
	}
	m.dialIfNeeded(dead[rand.IntN(len(dead))], true)
}

// dialSeeds tries one of the seeds while no other instance is known.
func (m *Mesh) dialSeeds() {
	if len(m.seeds) == 0 || len(m.list()) > 0 {
		return
	}
	m.mu.Lock()
	c := m.contact("")
	due := !c.dialing && !time.Now().Before(c.next) && m.dials.TryAcquire(1)
	c.dialing = c.dialing || due
	m.mu.Unlock()
	if !due {
		return
	}
	seed := m.seeds[rand.IntN(len(m.seeds))]
	started := m.start(func(ctx context.Context) {
		defer m.dials.Release(1)
		s, err := m.dial(ctx, seed)
		if err == nil {
			m.register(s)
		} else if !errors.Is(err, errSameID) {
			m.logger.WithField("seed", seed.String()).WithError(err).Debug("seed not reached")
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		c := m.contact("")
		c.dialing = false
		c.next = time.Now().Add(m.backoff(1))
	})
	if !started {
		m.dials.Release(1)
	}
}

// forgetContacts removes the attempts to reach instances that are not known.
func (m *Mesh) forgetContacts(known []membership.Instance) {
	ids := map[string]bool{"": true}
	for _, in := range known {
		ids[in.ID] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, c := range m.contacts {
		if !ids[id] && !c.dialing {
			delete(m.contacts, id)
		}
	}
}

func isProtocolError(err error) bool {
	return errors.Is(err, ErrForeign) || errors.Is(err, ErrFrameTooLarge)
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
