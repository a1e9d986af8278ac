package registry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	// longPoll is how long a read waits for a new configuration. An answer that
	// was lost with its connection is waited for as long.
	longPoll = 4 * time.Second
	// firstLongPoll is that time for the first instance. A read that reaches the
	// store while a version is being appended may return only when its wait is
	// over.
	firstLongPoll = time.Second
	// hintTimeout is the time without word of a reader's version after which any
	// instance waits at the store itself.
	hintTimeout = 1500 * time.Millisecond
	// watchers is the number of instances, by their order, that wait at the store
	// for new versions: the answer to one of them may be lost with its connection,
	// which shows only after seconds.
	watchers = 2
)

// ConfigFollower keeps the newest configuration. The version never goes back.
type ConfigFollower struct {
	store  Store
	place  Place
	fetch  Fetch
	logger log.Interface
	apply  func(*config.Document)

	current atomic.Pointer[config.Document]
	failing atomic.Bool
	// readAt is the start of the last read that found everything newer.
	readAt atomic.Pointer[time.Time]
	// reading is set while a call of the store is in progress, and interrupt
	// ends it.
	reading   atomic.Bool
	interrupt atomic.Pointer[context.CancelFunc]

	// hinted receives a value when another instance has named its version.
	hinted chan struct{}

	mu     sync.Mutex // guards the order of versions
	raw    []byte     // the document in force, as it was published
	hint   int64      // the highest version that another instance has
	hintAt time.Time
}

// Place says which part an instance takes in reading the store.
type Place struct {
	// Reads tells whether it reads the registry for the others, and Away whether
	// its last read of that failed.
	Reads, Away func() bool
	// Rank is the number of living instances before it, and Order its place
	// among those that read the store when they hear nothing.
	Rank, Order func() int
}

// Fetch reads the configuration of another instance that has one above the
// version, and names the instance. The text is nil when none can be had.
type Fetch func(above int64) (raw []byte, source string)

// NewConfigFollower returns a follower that calls apply with each new version.
// The instances that read the store for the others and the first ones in the
// order wait there for new versions; the others hear of them.
func NewConfigFollower(
	store Store, place Place, fetch Fetch, logger log.Interface, apply func(*config.Document),
) *ConfigFollower {
	return &ConfigFollower{
		store: store, place: place, fetch: fetch, logger: logger, apply: apply,
		hinted: make(chan struct{}, 1),
	}
}

// Hint notes the version of an instance that reads the store.
func (f *ConfigFollower) Hint(version int64) {
	f.mu.Lock()
	newer := version > f.hint
	f.hint, f.hintAt = max(f.hint, version), time.Now()
	f.mu.Unlock()
	signal(f.hinted)
	if newer && f.reading.Load() && f.behind() {
		f.Refresh() // the read in progress may wait for an answer that was lost
	}
}

// Wake makes the follower look again at its place in the order.
func (f *ConfigFollower) Wake() { signal(f.hinted) }

// awaitHint returns when the store should be read: at once where this instance
// watches it, else when another instance has a newer version that cannot be had
// from it, or when none has named its version for a while although the store
// answers.
func (f *ConfigFollower) awaitHint(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		if f.hintAt.IsZero() {
			f.hintAt = time.Now() // after the start the others get time to speak
		}
		left := hintTimeout - time.Since(f.hintAt)
		f.mu.Unlock()
		if left <= 0 && f.place.Away() {
			left = hintTimeout // the reads of the registry will find the store again
		}
		if left <= 0 || f.Watches() || f.behind() && !f.fetchFromPeer() {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-f.hinted:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Watches returns whether this instance waits at the store for new versions.
func (f *ConfigFollower) Watches() bool { return f.place.Reads() || f.place.Order() < watchers }

// CatchUp reads a newer version from another instance, if there is one. A read
// in progress then waits for an answer that was lost, and is begun anew.
func (f *ConfigFollower) CatchUp() {
	before := f.current.Load()
	f.fetchFromPeer()
	if f.current.Load() != before && f.reading.Load() {
		f.Refresh()
	}
}

// behind returns whether another instance has a newer version.
func (f *ConfigFollower) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	return current == nil && f.hint > 0 || current != nil && f.hint > current.Version
}

// fetchFromPeer reads the newer version from another instance, which saves a
// call of the store. It returns whether this instance has caught up.
func (f *ConfigFollower) fetchFromPeer() bool {
	version := int64(0)
	if current := f.current.Load(); current != nil {
		version = current.Version
	}
	raw, source := f.fetch(version)
	if raw != nil {
		f.Offer(raw, source)
	}
	return !f.behind()
}

// Current returns the configuration in force, nil when none is known yet.
func (f *ConfigFollower) Current() *config.Document { return f.current.Load() }

// Raw returns the text of the configuration in force.
func (f *ConfigFollower) Raw() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raw
}

// Failing returns whether the last call of the store failed.
func (f *ConfigFollower) Failing() bool { return f.failing.Load() }

// ReadAge returns the time since the start of the last read of the newest
// configuration.
func (f *ConfigFollower) ReadAge() time.Duration {
	if at := f.readAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Duration(1<<63 - 1)
}

// Refresh ends a read that waits, so that the newest configuration is read at
// once.
func (f *ConfigFollower) Refresh() {
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
}

// Run follows the store until the context ends.
func (f *ConfigFollower) Run(ctx context.Context) error {
	from := int64(unknownOffset)
	pause := backoff{rank: f.place.Rank}
	for ctx.Err() == nil {
		reading, cancel := context.WithCancel(ctx)
		f.interrupt.Store(&cancel)
		f.reading.Store(true)
		next, err := f.read(reading, from)
		f.reading.Store(false)
		interrupted := reading.Err() != nil
		switch {
		case ctx.Err() != nil:
		case interrupted: // Refresh asks for the newest version
			from = unknownOffset
			f.awaitHint(ctx)
		case errors.Is(err, platform.ErrExpired):
			f.logger.WithField("from", from).Info("history of the configuration has expired, reading the newest one")
			from = unknownOffset
		case err != nil:
			f.note(err)
			if pause.wait(reading); reading.Err() != nil {
				from = unknownOffset
			}
			f.awaitHint(ctx)
		default:
			f.note(nil)
			pause.reset()
			from = next
			if f.awaitHint(reading); reading.Err() != nil {
				from = unknownOffset
			}
		}
		cancel()
	}
	return nil
}

// note logs a lost or regained store once.
func (f *ConfigFollower) note(err error) {
	failed := err != nil
	if f.failing.Swap(failed) == failed {
		return
	}
	if failed {
		f.logger.WithError(err).Warn("configuration cannot be read from the store")
		return
	}
	f.logger.Info("configuration can be read from the store again")
}

func (f *ConfigFollower) read(ctx context.Context, from int64) (int64, error) {
	if from == unknownOffset {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		began := time.Now()
		batch, err := f.store.Newest(ctx, platform.ConfigTopic)
		if err != nil {
			return 0, err
		}
		f.take(batch.Records)
		f.readAt.Store(&began)
		return batch.Next, nil
	}
	wait := longPoll
	if f.place.Order() == 0 {
		wait = firstLongPoll
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	batch, err := f.store.Read(ctx, platform.ConfigTopic, from, wait)
	if err != nil {
		return 0, err
	}
	f.take(batch.Records)
	return batch.Next, nil
}

func (f *ConfigFollower) take(records []platform.Record) {
	for _, r := range records {
		if r.Key == platform.ConfigKey && r.Value != nil {
			f.Offer(r.Value, "store")
		}
	}
}

// Offer puts a published document into force if it is valid and newer than the
// present one.
func (f *ConfigFollower) Offer(raw []byte, source string) {
	document, err := platform.DecodeDocument(raw)
	if err != nil {
		f.logger.WithError(err).WithField("source", source).Error("configuration rejected, the last good one stays in force")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.current.Load(); now != nil && document.Version <= now.Version {
		return
	}
	f.raw = append([]byte(nil), raw...)
	f.apply(document)
	f.current.Store(document)
	f.logger.WithField("version", document.Version).WithField("routes", len(document.Routes)).WithField("source", source).
		Info("configuration in force")
}
