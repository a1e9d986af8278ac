package startup

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
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
	// remoteJoinShare is the probability of the first check of joining through an
	// instance of a remote zone if none of the local zone is ready. Only a few instances
	// of a zone do so; the others then read from these. It grows by remoteJoinStep with
	// each check, so that none waits for long if these are not heard.
	remoteJoinShare = 0.2
	remoteJoinStep  = 0.05
	// largeDeployment is the number of instances below which the ones that are ready first
	// can serve all others at once, also those of other zones.
	largeDeployment = 64
	// maxSnapshotAge is the age of the targets in a snapshot above which an instance
	// prefers the store, unless it could not read that for storeTimeout.
	maxSnapshotAge = 2 * time.Second
	storeTimeout   = 1500 * time.Millisecond
	// The time between two attempts to list the other instances grows from minListDelay
	// to maxListDelay.
	minListDelay = 100 * time.Millisecond
	maxListDelay = 2 * time.Second
	// senderTimeout is how long an instance counts as one that sends notices after its
	// last one.
	senderTimeout = time.Second
)

// ErrJoinRefused means that an instance is not ready or busy with others that join.
var ErrJoinRefused = errors.New("instance cannot provide its state now")

// Instance is the starting instance.
type Instance interface {
	NoticeSender
	// Greet asks the seeds for a packet.
	Greet()
	// Fetch joins through an instance and returns its state. The error wraps
	// ErrJoinRefused if that instance has responded.
	Fetch(through membership.Instance) (peer.Snapshot, error)
	// Restore takes over a snapshot whose ages refer to the given time.
	Restore(snapshot peer.Snapshot, source string, at time.Time)
	// List returns the addresses of the other instances that the registrations in the
	// store state, by zone.
	List(ctx context.Context) (map[string][]netip.AddrPort, error)
	// Load starts to read the state from the store. It is called at most once.
	Load()
	// Loaded reports whether the instance has its state, HasJoined whether another
	// instance has joined through this one.
	Loaded() bool
	HasJoined() bool
	// Ready reports whether others can join through this instance.
	Ready() bool
}

// Joiner makes a starting instance join the others: it reads their state from one of
// them, which tells the others of it. So a start of all instances does not read the
// store once for each of them.
type Joiner struct {
	members  *membership.Directory
	instance Instance
	role     Role
	logger   log.Interface
	// signs receives a value when an instance was heard that has the state or reads it.
	signs chan struct{}
	// reading receives the addresses of the other instances, nil if they are not listed,
	// when this one begins to read its state. joined is closed when it has got its state
	// from another one.
	reading chan map[string][]netip.AddrPort
	joined  chan struct{}

	mu sync.Mutex // guards the fields below
	// senders are the times of the last notices of other instances.
	senders  map[string]time.Time
	signedAt time.Time
	small    bool // whether the deployment is known to be small
}

// NewJoiner returns a joiner of the instance, whose directory has the others.
func NewJoiner(members *membership.Directory, instance Instance, role Role, logger log.Interface) *Joiner {
	return &Joiner{
		members: members, instance: instance, role: role, logger: logger, signs: make(chan struct{}, 1), senders: map[string]time.Time{},
		reading: make(chan map[string][]netip.AddrPort, 1), joined: make(chan struct{}),
	}
}

// RecordNotice records a notice of an instance that has read its state from the store or
// does so. It is safe for concurrent use.
func (j *Joiner) RecordNotice(sender membership.Instance, notice peer.StartNotice) {
	j.mu.Lock()
	j.senders[sender.ID] = time.Now()
	j.small = notice.Instances < largeDeployment
	j.mu.Unlock()
	j.recordSign()
}

// recordSign records that an instance was heard that has the state or reads it.
func (j *Joiner) recordSign() {
	j.mu.Lock()
	j.signedAt = time.Now()
	j.mu.Unlock()
	select {
	case j.signs <- struct{}{}:
	default: // a sign is pending already
	}
}

// senderCount returns the number of other instances that send notices.
func (j *Joiner) senderCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := 0
	for _, at := range j.senders {
		if time.Since(at) < senderTimeout {
			count++
		}
	}
	return count
}

// Run joins through another instance, or loads the state from the store, once, if none
// can provide it in time. It returns when this instance has joined, another one has
// joined through it, or the context ends.
func (j *Joiner) Run(ctx context.Context) {
	a := &attempt{decision: NewDecision(j.role, time.Now(), rand.Float64()), listing: make(chan listing, 1)}
	for ctx.Err() == nil && !j.instance.HasJoined() {
		if through, ok := j.candidate(a); ok {
			loaded := j.instance.Loaded()
			if j.joinThrough(through, j.acceptsOldState(a)) {
				if !loaded {
					close(j.joined)
				}
				return
			}
			sleepContext(ctx, rand.N(maxJoinDelay))
		}
		j.step(ctx, a)
		if j.instance.Loaded() {
			sleepContext(ctx, idleJoinInterval)
			continue
		}
		if time.Since(a.greeting) >= greetInterval {
			a.greeting = time.Now()
			j.instance.Greet()
		}
		j.wait(ctx, a)
	}
}

// Notify notifies the other instances once this one reads its state from the store. It
// returns when they are notified, this instance has got its state from another one
// instead, or the context ends.
func (j *Joiner) Notify(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var peers map[string][]netip.AddrPort
	select {
	case <-ctx.Done():
		return
	case <-j.joined:
		return
	case peers = <-j.reading:
	}
	if !j.role.HasSeeds {
		return // each instance reads the store, and finds the others there
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-j.joined:
			cancel()
		}
	}()
	if peers == nil {
		peers = j.listPeers(ctx)
	}
	n := &notifier{members: j.members, sender: j.instance, loaded: j.instance.Ready, others: j.senderCount, told: map[netip.AddrPort]bool{}}
	n.run(ctx, peers)
}

// listPeers lists the registrations until that succeeds or the context ends.
func (j *Joiner) listPeers(ctx context.Context) map[string][]netip.AddrPort {
	for delay := minListDelay; ctx.Err() == nil; delay = min(maxListDelay, 2*delay) {
		peers, err := j.instance.List(ctx)
		if err == nil {
			return peers
		}
		j.logger.WithError(err).Warn("registered instances cannot be listed, retrying")
		sleepContext(ctx, delay/2+rand.N(delay))
	}
	return nil
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
