package configlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	// defaultPollWait is the wait of one long poll of the log.
	defaultPollWait = 10 * time.Second
	// defaultRetryDelay is the pause after a failed or fruitless read of the log.
	defaultRetryDelay = 500 * time.Millisecond
)

// The errors of a follower.
var (
	// ErrGap reports records that expired before they were read and that no
	// snapshot covers.
	ErrGap = errors.New("gap in the configuration log")
	// ErrNotReady reports an instance that does not know the configuration yet.
	ErrNotReady = errors.New("no configuration yet")
)

// Log reads and appends streams of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (platform.Offset, error)
	Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error)
}

// Follower keeps the configuration of one instance up to date. The version in
// force never goes down, whatever the log or a peer returns.
type Follower struct {
	log        Log
	logger     log.Interface
	pollWait   time.Duration
	retryDelay time.Duration
	jitter     func(limit time.Duration) time.Duration
	fleet      atomic.Pointer[config.Fleet]
	ready      atomic.Bool

	mu          sync.Mutex
	state       *State
	builder     *fleetBuilder
	subscribers []func(*config.Fleet)
	// searched is set once the snapshot stream was searched at the start.
	searched bool
	// loaded is set once the log was read to its end, or a peer gave a state.
	loaded   bool
	required platform.Offset
	// checkPeers keeps the instance from being ready before its version was
	// compared with those of its peers.
	checkPeers bool
	failure    error
	// logNext is the end of the log at the last read.
	logNext   platform.Offset
	behind    bool
	retention time.Duration
	// restores counts the states taken from snapshots.
	restores int
	watches  map[*watch]struct{}
	problems map[string]bool
}

// watch waits for the verdict on one record.
type watch struct {
	scope   string
	id      string
	known   bool
	outcome Outcome
}

// FollowerOption changes a Follower under construction.
type FollowerOption func(*Follower)

// WithFollowerLogger sets the logger.
func WithFollowerLogger(l log.Interface) FollowerOption {
	return func(f *Follower) { f.logger = l }
}

// WithJitter sets the source of the random delay before a snapshot is
// written. It returns a duration from 0 up to the limit.
func WithJitter(jitter func(limit time.Duration) time.Duration) FollowerOption {
	return func(f *Follower) { f.jitter = jitter }
}

// WithPeerCheck keeps the follower from being ready until PeersChecked is
// called. Without it a stale read of the log could make an instance serve an
// older configuration than its predecessor did.
func WithPeerCheck() FollowerOption {
	return func(f *Follower) { f.checkPeers = true }
}

// NewFollower returns a follower of the configuration stream.
func NewFollower(l Log, opts ...FollowerOption) *Follower {
	f := &Follower{
		log:        l,
		logger:     log.Log,
		pollWait:   defaultPollWait,
		retryDelay: defaultRetryDelay,
		jitter:     rand.N[time.Duration],
		state:      NewState(),
		builder:    newFleetBuilder(),
		required:   platform.Offset(config.NoVersion),
		watches:    map[*watch]struct{}{},
		problems:   map[string]bool{},
	}
	f.fleet.Store(config.NewFleet())
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Fleet returns the configuration in force. It is never nil.
func (f *Follower) Fleet() *config.Fleet { return f.fleet.Load() }

// Version returns the offset of the last record applied.
func (f *Follower) Version() platform.Offset { return platform.Offset(f.Fleet().Version) }

// Ready reports whether the instance knows a configuration that it may serve:
// the log was read to its end or a peer gave a state, at the required version
// or above, and the peers were checked. It stays true from then on, since a serving instance keeps its
// configuration through an outage.
func (f *Follower) Ready() bool { return f.ready.Load() }

// NotReadyReason tells operators why the instance is not ready; it is nil when
// the instance is.
func (f *Follower) NotReadyReason() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.Ready():
		return nil
	case f.loaded && f.state.Version() >= f.required:
		return fmt.Errorf("%w: version %d was not compared with the peers yet", ErrNotReady, f.state.Version())
	case f.loaded:
		return fmt.Errorf("%w: version %d, a peer knows version %d", ErrNotReady, f.state.Version(), f.required)
	case f.failure != nil:
		return fmt.Errorf("%w: no peer gave one, and the log: %w", ErrNotReady, f.failure)
	default:
		return fmt.Errorf("%w: the log is being read", ErrNotReady)
	}
}

// RequireAtLeast raises the version below which a joining instance is not
// ready. Peers' heartbeats carry it.
func (f *Follower) RequireAtLeast(version platform.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.required = max(f.required, version)
	f.updateReady()
}

// PeersChecked ends the wait of WithPeerCheck. The versions of the peers were
// given to RequireAtLeast before.
func (f *Follower) PeersChecked() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkPeers = false
	f.updateReady()
}

// Problems returns the reasons why accepted bodies are not in force here.
func (f *Follower) Problems() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.builder.problems()
}

// Scope returns the details of a scope, and false when it was never published.
func (f *Follower) Scope(name string) (ScopeDetails, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.scopeDetails(name)
}

// Subscribe calls the function with every configuration that comes into
// force, the present one first. Calls come one at a time and in order. The
// function may call Fleet, Version and Ready, and no other method.
func (f *Follower) Subscribe(fn func(*config.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	fn(f.Fleet())
}

// Snapshot encodes the state in force for a peer. It fails with ErrNotReady or
// ErrPartial when others must not build on this state.
func (f *Follower) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.Ready() {
		return nil, ErrNotReady
	}
	return f.state.Snapshot()
}

// Offer takes a peer's snapshot when it is newer than the state in force. The
// log is followed from its version on.
func (f *Follower) Offer(snapshot []byte) error {
	state, err := Restore(snapshot)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// An empty state proves nothing: two joining instances must not make each
	// other ready.
	if state.Version() >= 0 {
		f.loaded = true
	}
	f.adopt(state)
	f.updateReady()
	return nil
}

// Run follows the log, and writes snapshots to it, until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		f.follow(ctx)
		return nil
	})
	group.Go(func() error {
		f.writeSnapshots(ctx)
		return nil
	})
	return group.Wait()
}

func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		start, before, wait := time.Now(), f.Version(), f.wait()
		err := f.poll(ctx, wait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrGap):
			f.logger.WithError(err).Error("configuration log not readable")
			sleep(ctx, f.retryDelay)
		case err != nil:
			f.logger.WithError(err).Debug("configuration log not readable")
			sleep(ctx, f.retryDelay)
		case wait == 0 && f.wait() > 0:
			// The end of the log was reached for the first time.
		case f.Version() == before && time.Since(start) < f.retryDelay:
			// A log that answers a long poll at once must not be polled in a
			// busy loop.
			sleep(ctx, f.retryDelay)
		}
	}
}

// wait returns the wait of the next poll: none before the end of the log was
// reached, so that an instance is ready as soon as it knows everything.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return 0
	}
	return f.pollWait
}

// poll reads one page of the log and applies it. It may run concurrently with
// itself.
func (f *Follower) poll(ctx context.Context, wait time.Duration) error {
	err := f.pollPage(ctx, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = err
	return err
}

func (f *Follower) pollPage(ctx context.Context, wait time.Duration) error {
	f.searchOnce(ctx)
	page, err := f.log.Read(ctx, Stream, f.Version()+1, wait)
	if err != nil {
		return err
	}
	err = f.applyPage(page)
	if !errors.Is(err, ErrGap) {
		return err
	}
	if err := f.restoreNewest(ctx, page.First-1); err != nil {
		return err
	}
	return f.applyPage(page)
}

// searchOnce takes the newest snapshot before the first read of the log. When
// the snapshots cannot be read, the log alone must do.
func (f *Follower) searchOnce(ctx context.Context) {
	f.mu.Lock()
	searched := f.searched
	f.mu.Unlock()
	if searched {
		return
	}
	if err := f.restoreNewest(ctx, platform.Offset(config.NoVersion)); err != nil {
		f.logger.WithError(err).Debug("snapshots not readable")
		return
	}
	f.mu.Lock()
	f.searched = true
	f.mu.Unlock()
}

// applyPage folds the records of a page that follow the state. Records that
// the state has, and pages of a log that ends below it, change nothing.
func (f *Follower) applyPage(page platform.Page) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retention = page.Retention
	f.noteEnd(page.Next)
	if page.First > f.state.Version()+1 {
		return fmt.Errorf("%w: read up to offset %d, the log begins at offset %d", ErrGap, f.state.Version(), page.First)
	}
	for _, rec := range page.Records {
		if rec.Offset > f.state.Version()+1 {
			f.putInForce()
			return fmt.Errorf("%w: offset %d follows offset %d", ErrGap, rec.Offset, f.state.Version())
		}
		f.state.Apply(rec)
		f.tellWatches()
	}
	f.putInForce()
	if f.state.Version()+1 >= page.Next {
		f.loaded = true
		f.updateReady()
	}
	return nil
}

// noteEnd remembers the end of the log and warns once when it is below the
// state in force: a stale read, or a log that lost its tail.
func (f *Follower) noteEnd(next platform.Offset) {
	behind := next <= f.state.Version()
	if behind && !f.behind {
		f.logger.WithField("version", int64(f.state.Version())).WithField("log_end", int64(next)).
			Warn("configuration log ends below the version in force, keeping the version")
	}
	f.behind, f.logNext = behind, next
}

// adopt replaces the state by a newer one. The caller holds the lock.
func (f *Follower) adopt(state *State) {
	if state.Version() <= f.state.Version() {
		return
	}
	f.state = state
	f.restores++
	f.tellWatches()
	f.putInForce()
}

// putInForce publishes the fleet of the present state when it is newer. The
// caller holds the lock.
func (f *Follower) putInForce() {
	if f.state.Version() <= f.Version() {
		return
	}
	fleet := f.builder.build(f.state)
	f.reportProblems()
	f.fleet.Store(fleet)
	f.updateReady()
	f.logger.WithField("version", int64(fleet.Version)).Info("configuration in force")
	for _, fn := range f.subscribers {
		fn(fleet)
	}
}

// reportProblems raises an alarm once for each body that cannot be put into
// force.
func (f *Follower) reportProblems() {
	present := map[string]bool{}
	for _, problem := range f.builder.problems() {
		text := problem.Error()
		present[text] = true
		if !f.problems[text] {
			f.logger.WithError(problem).Error("configuration accepted but not in force")
		}
	}
	f.problems = present
}

// updateReady sets readiness. The caller holds the lock.
func (f *Follower) updateReady() {
	if f.loaded && !f.checkPeers && f.state.Version() >= f.required {
		f.ready.Store(true)
	}
}

// tellWatches gives each watch the verdict on its record. It runs after every
// record, since the state remembers a bounded number of verdicts.
func (f *Follower) tellWatches() {
	for w := range f.watches {
		if outcome, ok := f.state.Outcome(w.scope, w.id); ok && !w.known {
			w.known, w.outcome = true, outcome
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
