package registry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	// longPollTimeout is how long a read waits for a new configuration. It also
	// determines how long an instance waits for a response that was lost with its
	// connection.
	longPollTimeout = 4 * time.Second
	// firstLongPollTimeout replaces longPollTimeout on the first instance in the
	// read order and on readers: the store may refuse the first one. A read that reaches the store while a version is being appended
	// may return only at the end of its wait, which delays the new version.
	firstLongPollTimeout = time.Second
	// peerVersionTimeout is how long an instance waits for a reader to report a
	// version. If none does, the instance reads the store itself.
	peerVersionTimeout = 1500 * time.Millisecond
	// watcherCount is the number of instances, counted by read order, that
	// long-poll the store for new versions. There is more than one because a
	// response may be lost with its connection, which an instance detects only
	// after seconds.
	watcherCount = 2
)

// ConfigFollower keeps the newest configuration. The active version never
// decreases.
type ConfigFollower struct {
	store  Store
	role   ReadRole
	fetch  FetchFunc
	logger log.Interface
	apply  func(*config.Document)
	// evacuations receives the evacuations of zones.
	evacuations Evacuations

	current     atomic.Pointer[config.Document]
	activatedAt atomic.Pointer[time.Time] // of current
	failing     atomic.Bool
	// readAt is the start of the last successful read of the newest configuration.
	readAt atomic.Pointer[time.Time]
	// readInProgress is set during a call to the store. cancelRead cancels the call
	// or, after it, the wait for the next one.
	readInProgress atomic.Bool
	cancelRead     atomic.Pointer[context.CancelFunc]
	// refreshRequested is set by Refresh until a read starts. Without it, a request
	// that arrives after the wait for the next read would cancel nothing and be lost.
	refreshRequested atomic.Bool

	// wakeup receives a value when another instance has reported its version or
	// the read order has changed.
	wakeup chan struct{}

	mu            sync.Mutex    // guards the fields below and the replacement of current
	raw           []byte        // the active document, without API keys
	compressed    func() []byte // returns raw compressed
	peerVersion   int64         // the highest version that another instance has reported
	peerVersionAt time.Time     // when a version was last reported or, before the first report, when the wait for it began
}

// NewConfigFollower returns a follower that calls apply with each new version.
// Readers of the target registry and the first watcherCount instances in the read
// order long-poll the store for new versions. All others rely on the versions that
// these report.
func NewConfigFollower(
	store Store, role ReadRole, fetch FetchFunc, logger log.Interface, apply func(*config.Document),
	opts ...ConfigOption,
) *ConfigFollower {
	f := &ConfigFollower{
		store: store, role: role, fetch: fetch, logger: logger, apply: apply,
		evacuations: noEvacuations{}, wakeup: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Current returns the active configuration, or nil if there is none yet.
func (f *ConfigFollower) Current() *config.Document { return f.current.Load() }

// ActivatedAt returns when the active configuration was activated, the zero time if
// there is none yet.
func (f *ConfigFollower) ActivatedAt() time.Time {
	if at := f.activatedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Raw returns the active configuration as it was published, with digests in place of API
// keys.
func (f *ConfigFollower) Raw() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raw
}

// Compressed returns the text of Raw compressed with gzip, or nil if there is none yet. It
// compresses each version once, as many
// instances fetch a new version at the same time.
func (f *ConfigFollower) Compressed() []byte {
	f.mu.Lock()
	compressed := f.compressed
	f.mu.Unlock()
	if compressed == nil {
		return nil
	}
	return compressed()
}

// Failing reports whether the last call to the store failed.
func (f *ConfigFollower) Failing() bool { return f.failing.Load() }

// ReadAge returns the time since the start of the last successful read of the
// newest configuration, or the maximum duration if there was none. Long polls do not
// count.
func (f *ConfigFollower) ReadAge() time.Duration {
	if at := f.readAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Duration(1<<63 - 1)
}

// Refresh cancels a read in progress, the delay after a failed one or the wait after
// a successful one, so that the next read fetches the newest configuration. A
// watcher reads it at once. Any other instance first waits until a read is due,
// unless Refresh ended the wait after a successful read.
func (f *ConfigFollower) Refresh() {
	f.refreshRequested.Store(true)
	if cancel := f.cancelRead.Load(); cancel != nil {
		(*cancel)()
	}
}

// RecordRestoration makes the next read fetch the newest configuration, because the
// store was restored from a copy. A read in progress is restarted, and a watcher starts
// one at once. Any other instance continues to rely on the versions that are reported
// from now on: the store may have lost those that were reported before, and the
// instances that had them may have ended.
func (f *ConfigFollower) RecordRestoration() {
	f.mu.Lock()
	f.peerVersion = 0
	f.mu.Unlock()
	f.refreshRequested.Store(true)
	if f.IsWatcher() || f.readInProgress.Load() {
		f.Refresh()
	}
}

// Run follows the store until the context ends. It reads the newest configuration at
// once unless ApplyIfNewer was called.
func (f *ConfigFollower) Run(ctx context.Context) error {
	from := unknownPosition
	retryDelay := backoff{rank: f.role.Rank}
	if f.Current() != nil {
		f.waitUntilReadDue(ctx)
	}
	for ctx.Err() == nil {
		readCtx, cancel := context.WithCancel(ctx)
		f.cancelRead.Store(&cancel)
		f.readInProgress.Store(true)
		// The flag is cleared only after cancelRead and readInProgress are set: a
		// request that is not seen here cancels this read.
		if f.refreshRequested.Swap(false) {
			from = unknownPosition
		}
		next, err := f.read(readCtx, from)
		f.readInProgress.Store(false)
		interrupted := readCtx.Err() != nil
		switch {
		case ctx.Err() != nil:
		case interrupted: // by Refresh, which requests the newest version
			from = unknownPosition
			f.waitUntilReadDue(ctx)
		case errors.Is(err, platform.ErrExpired), errors.Is(err, platform.ErrRestored):
			f.logger.WithError(err).Info("configuration cannot be read on from the known position, reading the newest version")
			from = unknownPosition
		case err != nil:
			f.recordReadResult(err)
			// The store may have been restored meanwhile: a long poll at the known
			// position would learn that only from its response.
			from = unknownPosition
			retryDelay.wait(readCtx)
			f.waitUntilReadDue(ctx)
		default:
			f.recordReadResult(nil)
			retryDelay.reset()
			from = next
			if f.waitUntilReadDue(readCtx); readCtx.Err() != nil {
				from = unknownPosition
			}
		}
		cancel()
	}
	return nil
}

// recordReadResult records the result of a read. It logs the first failure and the
// recovery.
func (f *ConfigFollower) recordReadResult(err error) {
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

// ApplyIfNewer activates a document of another instance if it is valid and newer than the
// active one.
func (f *ConfigFollower) ApplyIfNewer(raw []byte, source string) {
	d, err := platform.ReadPeerDocument(raw)
	f.activate(d, err, source)
}

// applyPublished activates a document from the store if it is valid and newer than the
// active one.
func (f *ConfigFollower) applyPublished(raw []byte) {
	d, err := platform.ReadDocument(raw)
	f.activate(d, err, "store")
}

func (f *ConfigFollower) activate(d platform.PassedDocument, err error, source string) {
	if err != nil {
		f.logger.WithError(err).WithField("source", source).Error("configuration rejected, the last good one stays in force")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	document := d.Document
	if current := f.current.Load(); current != nil && document.Version <= current.Version {
		return
	}
	text := append([]byte(nil), d.Text...)
	f.raw = text
	f.compressed = sync.OnceValue(func() []byte {
		return fasthttp.AppendGzipBytesLevel(nil, text, fasthttp.CompressBestSpeed)
	})
	f.apply(document)
	now := time.Now()
	f.activatedAt.Store(&now)
	f.current.Store(document)
	f.logger.WithField("version", document.Version).WithField("routes", len(document.Routes)).WithField("source", source).
		Info("configuration in force")
}
