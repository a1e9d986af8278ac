package registry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

const (
	// readInterval is the time between two reads of the registry, by the
	// instance that ranks first.
	readInterval = 700 * time.Millisecond
	// orderStep delays the read of each further instance, which becomes needless
	// when the news of an earlier one arrive. maxReadDelay bounds the sum.
	orderStep    = 70 * time.Millisecond
	maxReadDelay = 1500 * time.Millisecond
	// readerMemory is the time since its last read for which an instance counts
	// as a reader.
	readerMemory = 2 * time.Second
	// outageMemory is how long the end of an outage is passed on.
	outageMemory = 3 * time.Second
	// minOutage is the age of the state from which a failed read counts as an
	// outage, in which entries may have lapsed.
	minOutage = 1500 * time.Millisecond
)

// Spreader passes news of the registry on to the instances of the own zone or
// to those of all zones. The offsets are those of the changes.
type Spreader interface {
	Spread(news peer.News, offsets []int64, everywhere bool)
}

// TargetFollower keeps the directory of targets up to date. One instance reads
// the registry and passes the changes on; an instance that hears no news in
// time, or misses some, reads for itself.
type TargetFollower struct {
	store     Store
	directory *targets.Directory
	spreader  Spreader
	rank      func() int
	order     func() int
	onChange  func(change targets.Change, source string)
	onReturn  func()
	logger    log.Interface
	clock     func() time.Time

	mu sync.Mutex
	// next is the offset from which the state is not known, and expired the one
	// before the history was dropped.
	next    int64
	expired int64
	freshAt time.Time // the time as of which the state holds
	readAt  time.Time // the last read by this instance
	newsAt  time.Time // when news of another instance came, with or without a gap
	// heard receives a value when news made a read needless, and wanted when a
	// read is needed at once.
	heard       chan struct{}
	wanted      chan struct{}
	failing     bool
	outageEnded time.Time
}

// NewTargetFollower returns a follower. The rank is the number of living
// instances before this one, the order its place among those that read the
// registry when they hear no news; onChange is told of each change and
// where it was read, onReturn when reads succeed again.
func NewTargetFollower(
	store Store, directory *targets.Directory, spreader Spreader, rank, order func() int,
	onChange func(change targets.Change, source string), onReturn func(), logger log.Interface,
) *TargetFollower {
	return &TargetFollower{
		store: store, directory: directory, spreader: spreader, rank: rank, order: order, onChange: onChange, onReturn: onReturn, logger: logger, clock: time.Now,
		next: unknownOffset, expired: unknownOffset, heard: make(chan struct{}, 1), wanted: make(chan struct{}, 1),
	}
}

// Age returns the time since which changes may be missing.
func (f *TargetFollower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return f.clock().Sub(f.freshAt)
}

// Failing returns whether the last read failed.
func (f *TargetFollower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// Reads returns whether this instance reads the registry itself at present.
func (f *TargetFollower) Reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.readAt.IsZero() && f.clock().Sub(f.readAt) < readerMemory
}

// Refresh asks for a read at once.
func (f *TargetFollower) Refresh() { signal(f.wanted) }

// Wake makes the follower look again at its place in the order.
func (f *TargetFollower) Wake() { signal(f.heard) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run follows the registry until the context ends.
func (f *TargetFollower) Run(ctx context.Context) error {
	pause := backoff{rank: f.rank}
	for ctx.Err() == nil {
		err := f.read(ctx)
		f.directory.Expire()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, platform.ErrExpired):
			f.logger.Info("history of the registry has expired, reading all entries")
			f.expire()
		case err != nil:
			f.note(err)
			f.awaitNews(ctx, pause.next())
		default:
			f.note(nil)
			pause.reset()
			f.await(ctx)
		}
	}
	return nil
}

func (f *TargetFollower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next, f.expired = unknownOffset, f.next
}

// await returns when the next read is due: later for each place in the order,
// and later again with each news.
func (f *TargetFollower) await(ctx context.Context) {
	for ctx.Err() == nil {
		delay := min(maxReadDelay, readInterval+time.Duration(f.order())*orderStep)
		timer := time.NewTimer(max(0, delay-f.Age()))
		select {
		case <-ctx.Done():
		case <-timer.C:
			return
		case <-f.wanted:
			timer.Stop()
			return
		case <-f.heard:
			f.directory.Expire()
		}
		timer.Stop()
	}
}

// awaitNews waits after a failed read. News end the wait: they replace the read.
func (f *TargetFollower) awaitNews(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wanted:
	case <-f.heard:
		f.directory.Expire()
		f.await(ctx)
	}
}

// note logs a lost or regained registry once.
func (f *TargetFollower) note(err error) {
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
	f.onReturn()
}

// read reads the changes since the last read, or all entries.
func (f *TargetFollower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	from, began := f.next, f.clock()
	known := from != unknownOffset || f.expired != unknownOffset
	outage := known && f.failing && began.Sub(f.freshAt) > minOutage
	// Where news come but have gaps, the other zones have them from their sender.
	silence := began.Sub(f.newsAt) >= readInterval
	f.mu.Unlock()
	if from == unknownOffset {
		return f.readAll(ctx, began, outage, silence)
	}
	batch, err := f.store.Read(ctx, platform.TargetTopic, from, 0)
	if err != nil {
		return err
	}
	f.endOutage(outage)
	effective := f.directory.Apply(f.changes(batch.Records))
	f.tell(effective, "store")
	f.advance(batch.Next, began, true)
	f.spreader.Spread(peer.News{From: from, To: batch.Next, Changes: effective, SinceOutage: f.sinceOutage()},
		offsetsOf(effective, batch.Records), silence)
	return nil
}

// readAll reads all entries. Where this instance knew them until the history was
// dropped, others may have missed the same changes and be unable to read: it
// tells them, if one datagram holds what has changed.
func (f *TargetFollower) readAll(ctx context.Context, began time.Time, outage, everywhere bool) error {
	batch, err := f.store.Newest(ctx, platform.TargetTopic)
	if err != nil {
		return err
	}
	f.endOutage(outage)
	effective := f.directory.Replace(f.entries(batch.Records))
	f.mu.Lock()
	from := f.expired
	f.expired = unknownOffset
	f.mu.Unlock()
	f.advance(batch.Next, began, false)
	if from == unknownOffset {
		return nil // all entries are new to a starting instance
	}
	f.tell(effective, "store")
	if len(effective) <= peer.MaxNewsChanges {
		f.spreader.Spread(peer.News{From: from, To: batch.Next, Changes: effective, SinceOutage: f.sinceOutage()}, nil, everywhere)
	}
	return nil
}

// endOutage notes that the registry answers again.
func (f *TargetFollower) endOutage(ended bool) {
	if !ended {
		return
	}
	now := f.clock()
	f.mu.Lock()
	f.outageEnded = now
	f.mu.Unlock()
	f.directory.SetOutageEnd(now)
}

func (f *TargetFollower) sinceOutage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.clock().Sub(f.outageEnded)
	if f.outageEnded.IsZero() || since > outageMemory {
		return 0
	}
	return max(time.Millisecond, since)
}

// advance notes a read. Reading all entries, as at the start, makes no reader.
func (f *TargetFollower) advance(next int64, asOf time.Time, reader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = next
	if reader {
		f.readAt = asOf
	}
	if asOf.After(f.freshAt) {
		f.freshAt = asOf
	}
}

// HearNews applies what another instance read. News that begin after what is
// known do not make the state fresh: something between is missing.
func (f *TargetFollower) HearNews(news peer.News) {
	if news.SinceOutage > 0 {
		f.directory.SetOutageEnd(f.clock().Add(-news.SinceOutage))
	}
	f.tell(f.directory.Apply(news.Changes), "news")
	f.mu.Lock()
	f.newsAt = f.clock()
	known := f.next != unknownOffset && news.From <= f.next
	if known {
		f.next = max(f.next, news.To)
		f.freshAt = f.clock()
	}
	f.mu.Unlock()
	if known {
		signal(f.heard)
	}
}

func (f *TargetFollower) tell(changes []targets.Change, source string) {
	for _, c := range changes {
		f.onChange(c, source)
	}
}

func (f *TargetFollower) entries(records []platform.Record) []targets.Target {
	all := make([]targets.Target, 0, len(records))
	for _, c := range f.changes(records) {
		if c.Target != nil {
			all = append(all, *c.Target)
		}
	}
	return all
}

// changes decodes records. A malformed entry names no target, like a removed
// one.
func (f *TargetFollower) changes(records []platform.Record) []targets.Change {
	all := make([]targets.Change, 0, len(records))
	for _, r := range records {
		c := targets.Change{ID: r.Key}
		if r.Value != nil {
			t, err := platform.DecodeTarget(r.Key, r.Value)
			if err != nil {
				f.logger.WithError(err).WithField("target", r.Key).Warn("entry of the registry names no target")
			}
			c.Target = t
		}
		all = append(all, c)
	}
	return all
}

// offsetsOf returns the offset of each change.
func offsetsOf(changes []targets.Change, records []platform.Record) []int64 {
	offsets := make([]int64, 0, len(changes))
	i := 0
	for _, c := range changes {
		for records[i].Key != c.ID {
			i++
		}
		offsets = append(offsets, records[i].Offset)
		i++
	}
	return offsets
}
