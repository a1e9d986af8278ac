package registry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

const (
	// readInterval is the time between two reads of the registry by the instance
	// that is first in the read order.
	readInterval = 700 * time.Millisecond
	// readOrderDelay is the additional delay for each position in the read order.
	// An instance that receives the update of an earlier one in the meantime skips
	// its read. maxReadDelay limits the total.
	readOrderDelay = 70 * time.Millisecond
	maxReadDelay   = 1500 * time.Millisecond
	// maxRepeatOrder is the position in the read order from which on an instance that
	// has missed many changes does not send them to its zone again. Before it are the
	// first instances of each zone.
	maxRepeatOrder = 4
	// readerTimeout is how long an instance counts as a reader after its last read.
	readerTimeout = 2 * time.Second
	// outageBroadcastPeriod is how long updates report the end of an outage.
	outageBroadcastPeriod = 3 * time.Second
	// minOutageAge is the age of the state above which failed reads count as an
	// outage, during which registrations may have expired.
	minOutageAge = 1500 * time.Millisecond
)

// Broadcaster broadcasts updates of the target registry to the instances of the
// local zone or of all zones. offsets[i] is the offset of update.Changes[i].
type Broadcaster interface {
	BroadcastUpdate(update peer.TargetUpdate, offsets []int64, allZones bool)
}

// TargetFollower keeps the directory of targets up to date. One instance reads
// the registry and broadcasts the changes. An instance that receives no update in
// time, or misses one, reads the registry itself.
type TargetFollower struct {
	store       Store
	directory   *targets.Directory
	broadcaster Broadcaster
	rank        func() int
	readOrder   func() int
	onChange    func(change targets.Change, source string)
	onRecovery  func()
	onRestored  func()
	logger      log.Interface
	oddRecords  rate.Sometimes // limits the log lines about records that are no registrations
	clock       func() time.Time

	mu sync.Mutex
	// next is the position before which all changes have been applied and from
	// which the next read starts. After the history has expired or the store was
	// restored, expired holds the previous next until all registrations have been read.
	next     platform.Position
	expired  platform.Position
	readFrom platform.Position // the value of next at the start of the last read
	// eraUnknown is set until the first read if next was taken over from an instance that
	// states no era, as those of the previous release.
	eraUnknown bool
	// ahead is the latest end of an update with changes that did not continue the state,
	// aheadIDs are the targets that it and those before it have changed since the gap.
	ahead        platform.Position
	aheadIDs     map[string]bool
	readingAll   bool                // whether all registrations are being read
	duringRead   []peer.TargetUpdate // updates that have arrived since that began
	freshAt      time.Time           // the time as of which the state is complete
	oldUntil     time.Time           // when a state older than minOutageAge was last replaced
	lastReadAt   time.Time           // the start of the last read of changes by this instance
	lastUpdateAt time.Time           // when the last update arrived, with or without a gap before it
	// wakeup receives a value when an update has made the next read unnecessary for
	// now or the read order has changed, readRequested when a read is needed at once.
	wakeup        chan struct{}
	readRequested chan struct{}
	failing       bool
	outageEndedAt time.Time
	outageEra     int64     // of the store after the last outage
	era           int64     // of the last position that was read or received
	eraAt         time.Time // when era was last raised
	hasRead       bool      // whether this instance has read the registry
}

// TargetFollowerOption changes an optional property of a TargetFollower.
type TargetFollowerOption func(*TargetFollower)

// WithOnRestored calls onRestored each time the store was restored from a copy, as soon
// as a read or an update of another instance shows it.
func WithOnRestored(onRestored func()) TargetFollowerOption {
	return func(f *TargetFollower) { f.onRestored = onRestored }
}

// NewTargetFollower returns a follower. rank returns the number of instances
// presumed alive with a lower ID, readOrder the position of this instance among those
// that read the registry when they receive no updates. onChange is called with each
// change and its source, onRecovery when reads succeed again after a failure.
func NewTargetFollower(
	store Store, directory *targets.Directory, broadcaster Broadcaster, rank, readOrder func() int,
	onChange func(change targets.Change, source string), onRecovery func(), logger log.Interface,
	options ...TargetFollowerOption,
) *TargetFollower {
	f := &TargetFollower{
		store: store, directory: directory, broadcaster: broadcaster, rank: rank, readOrder: readOrder, onChange: onChange, onRecovery: onRecovery, onRestored: func() {}, logger: logger, clock: time.Now,
		oddRecords: rate.Sometimes{First: firstOddRecords, Interval: oddRecordInterval},
		next:       unknownPosition, expired: unknownPosition, wakeup: make(chan struct{}, 1), readRequested: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Age returns the time since the state was last known to be complete, or the
// maximum duration if it never was. Changes of this period may be missing.
func (f *TargetFollower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return f.clock().Sub(f.freshAt)
}

// Failing reports whether the last read failed.
func (f *TargetFollower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// IsReader reports whether this instance has read changes from the target registry
// within readerTimeout.
func (f *TargetFollower) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastReadAt.IsZero() && f.clock().Sub(f.lastReadAt) < readerTimeout
}

// Refresh requests an immediate read.
func (f *TargetFollower) Refresh() { signal(f.readRequested) }

// Wake makes the follower check its position in the read order again.
func (f *TargetFollower) Wake() { signal(f.wakeup) }

// signal sends a value unless one is pending already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run follows the registry until the context ends. It reads the registry at once
// unless Restore was called.
func (f *TargetFollower) Run(ctx context.Context) error {
	retryDelay := backoff{rank: f.rank}
	if f.directory.Loaded() {
		f.waitUntilReadDue(ctx)
	}
	for ctx.Err() == nil {
		err := f.read(ctx)
		f.directory.RemoveDue()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, platform.ErrExpired), errors.Is(err, platform.ErrRestored):
			f.logger.WithError(err).Info("target registry cannot be read on from the known position, reading all registrations")
			f.recordExpiry()
		case err != nil:
			f.recordReadResult(err)
			f.waitForRetry(ctx, retryDelay.next())
		default:
			f.recordReadResult(nil)
			retryDelay.reset()
			f.waitUntilReadDue(ctx)
		}
	}
	return nil
}

// recordExpiry makes the next read fetch all registrations, because the store does not
// hold the history from next on.
func (f *TargetFollower) recordExpiry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == f.readFrom { // otherwise an update has continued the state meanwhile
		f.forgetPosition()
	}
}

// waitUntilReadDue waits until the next read is due or the context ends. The delay
// grows with the position in the read order and starts again with each update that
// has no gap before it.
func (f *TargetFollower) waitUntilReadDue(ctx context.Context) {
	for ctx.Err() == nil {
		delay := min(maxReadDelay, readInterval+time.Duration(f.readOrder())*readOrderDelay)
		timer := time.NewTimer(max(0, delay-f.Age()))
		select {
		case <-ctx.Done():
		case <-timer.C:
			return
		case <-f.readRequested:
			timer.Stop()
			return
		case <-f.wakeup:
			f.directory.RemoveDue()
		}
		timer.Stop()
	}
}

// waitForRetry waits after a failed read. If an update arrives in the meantime, no
// retry is needed and the next read is due at its regular time. A call of Wake has
// the same effect.
func (f *TargetFollower) waitForRetry(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.readRequested:
	case <-f.wakeup:
		f.directory.RemoveDue()
		f.waitUntilReadDue(ctx)
	}
}

// recordReadResult records the result of a read. It logs the first failure and the
// recovery.
func (f *TargetFollower) recordReadResult(err error) {
	f.mu.Lock()
	failed := err != nil
	changed := f.failing != failed
	f.failing = failed
	f.mu.Unlock()
	if !changed {
		return
	}
	if failed {
		f.logger.WithError(err).Warn("registry of targets cannot be read")
		return
	}
	f.logger.Info("registry of targets can be read again")
	f.onRecovery()
}

// ApplyUpdate applies an update from another instance. If it does not continue the
// state, changes in between are missing and the state does not count as complete.
func (f *TargetFollower) ApplyUpdate(update peer.TargetUpdate) {
	if update.SinceOutage > 0 && f.outageIsNews(update) {
		f.recordOutageEnd(f.clock().Add(-update.SinceOutage), update.To.Era)
	}
	f.noteDuringRead(update)
	f.notifyChanges(f.directory.Apply(f.newChanges(update)), "peer")
	f.mu.Lock()
	f.lastUpdateAt = f.clock()
	restored := f.recordEra(update.To.Era, "peer")
	contiguous := f.advance(update)
	f.mu.Unlock()
	if restored {
		f.onRestored()
	}
	if contiguous {
		signal(f.wakeup)
	}
}

// Era returns the era of the store, 0 if it is not known.
func (f *TargetFollower) Era() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// recordEra logs a restoration of the store and reports whether there may have been one
// since this instance has started. If so,
// the caller must call onRestored once it has released f.mu, which is held. A store may
// state its era only after its first restoration.
func (f *TargetFollower) recordEra(era int64, source string) (restored bool) {
	if era <= f.era {
		return false
	}
	first := f.era == 0 && !f.hasRead
	if !first {
		f.logger.WithField("era", era).WithField("previous_era", f.era).WithField("offset", f.next.Offset).WithField("source", source).
			Warn("store was restored from a copy")
	}
	f.era, f.eraAt = era, f.clock()
	return !first || era > originalEra
}

// originalEra is the era of a store that was never restored. If the first era that an
// instance learns of is a later one, the store may have been restored since the instance
// read its configuration.
const originalEra = 1

func (f *TargetFollower) notifyChanges(changes []targets.Change, source string) {
	for _, c := range changes {
		f.onChange(c, source)
	}
}
