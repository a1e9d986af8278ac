package configlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"

	"github.com/apex/log"
)

const (
	// defaultPollWait is the wait of one long poll of the log.
	defaultPollWait = 10 * time.Second
	// defaultRetryDelay is the pause after a failed read of the log.
	defaultRetryDelay = 500 * time.Millisecond
)

// Log reads and appends streams of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (platform.Offset, error)
	Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error)
}

// Follower keeps the configuration of one instance up to date.
type Follower struct {
	log        Log
	logger     log.Interface
	pollWait   time.Duration
	retryDelay time.Duration
	fleet      atomic.Pointer[config.Fleet]

	mu          sync.Mutex
	state       *State
	subscribers []func(*config.Fleet)
}

// FollowerOption changes a Follower under construction.
type FollowerOption func(*Follower)

// WithFollowerLogger sets the logger.
func WithFollowerLogger(l log.Interface) FollowerOption {
	return func(f *Follower) { f.logger = l }
}

// NewFollower returns a follower of the configuration stream.
func NewFollower(l Log, opts ...FollowerOption) *Follower {
	f := &Follower{
		log:        l,
		logger:     log.Log,
		pollWait:   defaultPollWait,
		retryDelay: defaultRetryDelay,
		state:      NewState(),
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

// Subscribe calls the function with every configuration that comes into
// force, the present one first. Calls come one at a time and in order.
func (f *Follower) Subscribe(fn func(*config.Fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	fn(f.Fleet())
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil {
			f.logger.WithError(err).Debug("configuration log not readable")
			sleep(ctx, f.retryDelay)
		}
	}
	return nil
}

func (f *Follower) poll(ctx context.Context) error {
	page, err := f.log.Read(ctx, Stream, f.Version()+1, f.pollWait)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, rec := range page.Records {
		f.state.Apply(rec)
	}
	f.putInForce()
	return nil
}

// putInForce publishes the fleet of the present state when it is newer. The
// caller holds the lock.
func (f *Follower) putInForce() {
	if f.state.Version() <= f.Version() {
		return
	}
	fleet, problems := f.state.Fleet(f.Fleet())
	for _, problem := range problems {
		f.logger.WithError(problem).Error("configuration accepted but not in force")
	}
	f.fleet.Store(fleet)
	f.logger.WithField("version", int64(fleet.Version)).Info("configuration in force")
	for _, fn := range f.subscribers {
		fn(fleet)
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
