package limits

import (
	"maps"
	"time"
)

// QuotaMember is another instance that is ready. Callers are sent to the active ones.
type QuotaMember struct {
	ID          string
	Incarnation int64
	Active      bool
}

// quotaPeer is what is known of another instance.
type quotaPeer struct {
	incarnation   int64
	active, ready bool
	leaving, idle bool
	heardAt       time.Time // zero before the first report
	silentSince   time.Time // zero unless it is silent
}

// SetMembers sets the other instances that are ready.
func (q *Quotas) SetMembers(members []QuotaMember) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.peers {
		p.active, p.ready = false, false
	}
	for _, m := range members {
		p := q.peers[m.ID]
		if p == nil && !m.Active {
			continue
		}
		if p == nil || p.incarnation < m.Incarnation {
			p = &quotaPeer{incarnation: m.Incarnation}
			q.forgetDemands(m.ID)
			q.peers[m.ID] = p
			q.fullAt = time.Time{} // it knows none of the demands
		}
		p.active, p.ready = m.Active, true
	}
	q.updateView(q.clock())
}

func (q *Quotas) forgetDemands(id string) {
	for _, t := range q.quotas {
		t.forgetOther(id, q.clock())
	}
}

// updateView determines which instances are heard, and tells the quotas of a change.
func (q *Quotas) updateView(now time.Time) {
	view := &quotaView{heard: 1, cutOff: cutOffFraction, unheard: map[string]bool{}}
	for id, p := range q.peers {
		switch q.state(p, now) {
		case peerHeard:
			p.silentSince = time.Time{}
			view.heard++
		case peerUnknown:
			view.unknown++
			view.unheard[id] = true
		case peerSilent:
			if p.silentSince.IsZero() {
				p.silentSince = now
			}
			view.silent++
			view.unheard[id] = true
		case peerGone:
			q.forgetDemands(id)
			delete(q.peers, id)
		}
	}
	switch {
	case view.hearsMost():
		q.cutOffSince = time.Time{}
		q.endReservations(view, now)
	case q.cutOffSince.IsZero():
		q.cutOffSince = now
	case now.Sub(q.cutOffSince) > cutOffLateAge:
		view.cutOff = lateCutOffFraction
	}
	old := q.view
	if view.heard == old.heard && view.cutOff == old.cutOff && maps.Equal(view.unheard, old.unheard) && view.silent == old.silent {
		return
	}
	q.view = view
	for _, t := range q.quotas {
		t.setView(view, now)
	}
}

// endReservations removes the silent instances whose last report is too old. Only one
// that hears most others may do so: the silent ones may be cut off and serve as well.
func (q *Quotas) endReservations(view *quotaView, now time.Time) {
	for id, p := range q.peers {
		if !p.silentSince.IsZero() && !p.ready && now.Sub(p.silentSince) >= reservedFor {
			q.forgetDemands(id)
			delete(q.peers, id)
			delete(view.unheard, id)
			view.silent--
		}
	}
}

type peerState int

const (
	peerHeard peerState = iota
	peerUnknown
	peerSilent
	peerGone
)

// state returns the state of another instance. All that callers are sent to report while
// any of them has demand. When the first demand comes, they are unknown until they do. One
// that is not active takes part while it has demand. After a start of all, many are active
// for a moment; if they stayed silent ones, the others would count as a minority.
func (q *Quotas) state(p *quotaPeer, now time.Time) peerState {
	quiet := p.idle || p.heardAt.IsZero()
	switch recent := !p.heardAt.IsZero() && now.Sub(p.heardAt) < silenceLimit; {
	case p.leaving && !recent, quiet && !p.active && (p.ready || p.idle), p.heardAt.IsZero() && !p.ready:
		return peerGone
	case recent:
		return peerHeard
	case now.Sub(q.demandAt) > awakeTime, now.Sub(q.awakeSince) < silenceLimit, now.Sub(q.startedAt) < enableTime && p.heardAt.IsZero():
		return peerUnknown
	}
	return peerSilent
}
