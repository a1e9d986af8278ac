package startup

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"rhubarbrelay/membership"
)

// attempt is the state of Run.
type attempt struct {
	decision *Decision
	signedAt time.Time // of the last sign that the decision knows
	alive    int       // the other instances that were alive at the last check
	greeting time.Time // the time of the last packet to the seeds
	// triedAt is when the state was first to be read from the store, or the registrations
	// could not be listed; zero before.
	triedAt time.Time
	listing chan listing
	// remoteChecks is the number of checks in which only instances of remote zones were
	// ready.
	remoteChecks int
	peers        map[string][]netip.AddrPort // nil until they are listed
}

// listing is the result of a listing.
type listing struct {
	peers map[string][]netip.AddrPort
	err   error
}

// step does what is due.
func (j *Joiner) step(ctx context.Context, a *attempt) {
	j.recordSigns(a)
	select {
	case result := <-a.listing:
		j.finishListing(a, result)
	default:
	}
	switch a.decision.Next(time.Now()) {
	case List:
		go func() {
			peers, err := j.instance.List(ctx)
			a.listing <- listing{peers, err}
		}()
	case Load:
		if a.triedAt.IsZero() {
			a.triedAt = time.Now()
		}
		j.reading <- a.peers
		j.instance.Load()
	case Wait:
	}
}

// recordSigns tells the decision of the signs since the last call. A seed that responds
// for the first time reads the store or soon will; other instances have signs of their
// own.
func (j *Joiner) recordSigns(a *attempt) {
	j.mu.Lock()
	signedAt := j.signedAt
	j.mu.Unlock()
	if signedAt.After(a.signedAt) {
		a.signedAt = signedAt
		a.decision.RecordSign(signedAt)
	}
	if alive := len(j.members.Sightings()); alive > max(1, a.alive) {
		a.alive = alive
		if !j.role.IsSeed {
			a.decision.RecordSign(time.Now())
		}
	}
}

// finishListing records the result of a listing.
func (j *Joiner) finishListing(a *attempt, result listing) {
	others := 0
	for _, addresses := range result.peers {
		others += len(addresses)
	}
	if result.err != nil {
		j.logger.WithError(result.err).Warn("registered instances cannot be listed")
		a.triedAt = time.Now()
	} else {
		a.peers = result.peers
	}
	a.decision.RecordListing(time.Now(), others, result.err)
}

// wait waits until something may be due, a sign is recorded, or joinPollInterval has
// passed.
func (j *Joiner) wait(ctx context.Context, a *attempt) {
	delay := joinPollInterval
	if due, ok := a.decision.Due(); ok {
		delay = min(delay, max(0, time.Until(due)))
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-j.signs:
	case result := <-a.listing:
		j.finishListing(a, result)
	}
}

// acceptsOldState reports whether targets that were read long ago are accepted: when
// this instance has its own, or has failed to read them from the store.
func (j *Joiner) acceptsOldState(a *attempt) bool {
	return j.instance.Loaded() || !a.triedAt.IsZero() && time.Since(a.triedAt) > storeTimeout
}

// candidate returns a random instance to join through: one with the newest
// configuration among the ready instances, of the local zone if there is one.
func (j *Joiner) candidate(a *attempt) (membership.Instance, bool) {
	self := j.members.Self()
	var local, remote []membership.Instance
	newest := int64(0)
	for _, in := range j.members.Ready() {
		switch {
		case in.ID == self.ID || in.ConfigVersion < newest:
			continue
		case in.ConfigVersion > newest:
			newest, local, remote = in.ConfigVersion, nil, nil
		}
		if in.Zone == self.Zone {
			local = append(local, in)
		} else {
			remote = append(remote, in)
		}
	}
	if len(local) == 0 && len(remote) > 0 {
		share := remoteJoinShare + remoteJoinStep*float64(a.remoteChecks)
		a.remoteChecks++
		j.mu.Lock()
		if j.small {
			share = 1
		}
		j.mu.Unlock()
		if rand.Float64() < share {
			local = remote
		}
	}
	if len(local) == 0 {
		return membership.Instance{}, false
	}
	return local[rand.IntN(len(local))], true
}

// joinThrough reads the state from an instance and reports whether it succeeded.
func (j *Joiner) joinThrough(in membership.Instance, acceptOld bool) bool {
	at := time.Now()
	snapshot, err := j.instance.Fetch(in)
	if err != nil {
		j.logger.WithField("peer", in.ID).WithError(err).Debug("state cannot be read from another instance")
		if errors.Is(err, ErrJoinRefused) {
			j.recordSign()
		}
		return false
	}
	if snapshot.Targets.Age > maxSnapshotAge && !acceptOld {
		j.logger.WithField("peer", in.ID).WithField("age", snapshot.Targets.Age.String()).Info("state of another instance is too old")
		return false
	}
	j.instance.Restore(snapshot, in.ID, at)
	return true
}
