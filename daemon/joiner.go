package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
)

const (
	// joinPollInterval is the time between two checks for an instance to join through.
	joinPollInterval = 25 * time.Millisecond
	// greetInterval is the time between two packets to the seeds, which may start later
	// than this instance.
	greetInterval = 100 * time.Millisecond
	// maxJoinDelay limits the random time between two attempts, so that instances that
	// start at the same time do not return together to the few that can answer.
	maxJoinDelay = 150 * time.Millisecond
	// idleJoinInterval is the time between two checks once the state is loaded from the
	// store.
	idleJoinInterval = time.Second
	// firstContactTimeout is how long an instance waits for a ready one before it finds
	// out how many instances there are. In a small deployment, and if it is a seed, it
	// then loads the state from the store.
	firstContactTimeout = 40 * time.Millisecond
	// largeDeployment is the number of instances from which on it is slower for all of
	// them to read the store than to wait for one that has.
	largeDeployment = 64
	// contactTimeout is how long an instance of a large deployment waits for one that
	// is alive before it loads the state from the store, up to twice as long at random.
	contactTimeout = 400 * time.Millisecond
	// loadTimeout replaces contactTimeout once an instance is known that is alive but
	// still loads the state itself.
	loadTimeout = 1200 * time.Millisecond
	// remoteJoinShare is the probability of each check of joining through an instance
	// of a remote zone if none of the local zone is ready. Only a few instances of a
	// zone do so; the others then read from these.
	remoteJoinShare = 0.2
	// maxSnapshotAge is the age of the targets in a snapshot above which an instance
	// prefers the store, unless it could not read that for storeTimeout.
	maxSnapshotAge = 2 * time.Second
	storeTimeout   = 1500 * time.Millisecond
)

// joiner makes a starting instance join the others: it reads their state from one of
// them, which tells the others of it. So a start of all instances does not read the
// store once for each of them.
type joiner struct {
	members *membership.Directory
	// greet asks the seeds for a packet.
	greet func()
	// fetch joins through an instance and returns its state.
	fetch func(through membership.Instance) (peer.Snapshot, error)
	// restore takes over a snapshot whose ages refer to the given time.
	restore func(snapshot peer.Snapshot, source string, at time.Time)
	// loaded reports whether the instance has its state, hasJoined whether another
	// instance has joined through this one.
	loaded, hasJoined func() bool
	// countInstances returns the number of instances in the deployment as far as it can
	// be found out, 0 if not at all.
	countInstances func(ctx context.Context) int
	// hasSeeds is set if there are seeds, isSeed if this instance is one of them.
	hasSeeds, isSeed bool
	// firstStart is set if all instances start for the first time.
	firstStart bool
	logger     log.Interface
}

// storeFallback is what decides when a starting instance loads the state from the
// store.
type storeFallback struct {
	start time.Time
	// factor multiplies the delays. It is random, so that instances that start at the
	// same time do not read the store at the same time.
	factor  float64
	counted bool      // whether the instances were counted, or need not be
	small   bool      // whether the deployment is known to be small
	usedAt  time.Time // zero until the store is read
}

// run joins through another instance. It calls loadFromStore, once, when none can
// provide the state in time. It returns when this instance has joined, another one
// has joined through it, or the context ends.
func (j *joiner) run(ctx context.Context, loadFromStore func()) {
	fallback := storeFallback{start: time.Now(), factor: 1 + rand.Float64(), counted: j.firstStart || j.isSeed || !j.hasSeeds}
	var lastGreeting time.Time
	for ctx.Err() == nil && !j.hasJoined() {
		if through, ok := j.candidate(); ok {
			if j.joinThrough(through, j.acceptsOldState(&fallback)) {
				return
			}
			sleepContext(ctx, rand.N(maxJoinDelay))
		}
		if j.isStoreDue(ctx, &fallback) {
			fallback.usedAt = time.Now()
			loadFromStore()
		}
		if j.loaded() {
			sleepContext(ctx, idleJoinInterval)
			continue
		}
		if time.Since(lastGreeting) >= greetInterval {
			lastGreeting = time.Now()
			j.greet()
		}
		sleepContext(ctx, joinPollInterval)
	}
}

// isStoreDue reports whether the state must be loaded from the store now. It counts
// the instances when that decides.
func (j *joiner) isStoreDue(ctx context.Context, fallback *storeFallback) bool {
	if !fallback.usedAt.IsZero() {
		return false
	}
	elapsed := time.Since(fallback.start)
	if !fallback.counted && elapsed >= firstContactTimeout {
		fallback.counted = true
		size := j.countInstances(ctx)
		fallback.small = size > 0 && size < largeDeployment
	}
	return fallback.small || elapsed >= j.storeDelay(fallback.factor)
}

// storeDelay returns the time after the start at which the state is loaded from the
// store.
func (j *joiner) storeDelay(factor float64) time.Duration {
	switch {
	case !j.hasSeeds:
		return 0 // the others are found through the store
	case j.isSeed:
		return firstContactTimeout
	}
	delay := contactTimeout
	if len(j.members.Sightings()) > 1 {
		delay = loadTimeout
	}
	return time.Duration(factor * float64(delay))
}

// acceptsOldState reports whether targets that were read long ago are accepted: when
// this instance has its own, or has failed to read them from the store.
func (j *joiner) acceptsOldState(fallback *storeFallback) bool {
	return j.loaded() || !fallback.usedAt.IsZero() && time.Since(fallback.usedAt) > storeTimeout
}

// candidate returns a random instance to join through: one with the newest
// configuration among the ready instances, of the local zone if there is one.
func (j *joiner) candidate() (membership.Instance, bool) {
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
	if len(local) == 0 && rand.Float64() < remoteJoinShare {
		local = remote
	}
	if len(local) == 0 {
		return membership.Instance{}, false
	}
	return local[rand.IntN(len(local))], true
}

// joinThrough reads the state from an instance and reports whether it succeeded.
func (j *joiner) joinThrough(in membership.Instance, acceptOld bool) bool {
	at := time.Now()
	snapshot, err := j.fetch(in)
	if err != nil {
		j.logger.WithField("peer", in.ID).WithError(err).Debug("state cannot be read from another instance")
		return false
	}
	if snapshot.Targets.Age > maxSnapshotAge && !acceptOld {
		j.logger.WithField("peer", in.ID).WithField("age", snapshot.Targets.Age.String()).Info("state of another instance is too old")
		return false
	}
	j.restore(snapshot, in.ID, at)
	return true
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
