package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	// defaultResolveTimeout bounds the search for a record whose append was not
	// confirmed.
	defaultResolveTimeout = 5 * time.Second
	// resolveWait is the wait of one read while a publisher looks for its record.
	resolveWait = time.Second
	// endReads is the number of reads after which a log that ends below the
	// version in force counts as damaged, not as read stale.
	endReads = 3
)

// The errors of a publication. After ErrUncertain the record may be in the
// log; the change can be published again with the same id.
var (
	ErrConflict  = errors.New("the scope changed since the base version")
	ErrUncertain = errors.New("cannot tell whether the change was published")
)

// ConflictError reports a change that was not accepted because its scope had
// changed. It wraps ErrConflict.
type ConflictError struct {
	Scope string
	Base  config.Version
	// Current is the scope's version and Author who published it.
	Current config.Version
	Author  string
}

// Error names the scope and the version that the author did not see.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: scope %q, base version %d, current version %d by %q", ErrConflict, e.Scope, e.Base, e.Current, e.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Result is the outcome of a publication.
type Result struct {
	// Version is the offset at which the change was accepted.
	Version config.Version
}

// Publisher appends changes to the configuration stream.
type Publisher struct {
	log            Log
	follower       *Follower
	resolveTimeout time.Duration
}

// PublisherOption changes a Publisher under construction.
type PublisherOption func(*Publisher)

// WithFollower makes the publisher read the log through the instance's
// follower instead of one of its own.
func WithFollower(f *Follower) PublisherOption {
	return func(p *Publisher) { p.follower = f }
}

// WithResolveTimeout bounds the time in which the verdict on an appended
// record must be found.
func WithResolveTimeout(d time.Duration) PublisherOption {
	return func(p *Publisher) { p.resolveTimeout = d }
}

// NewPublisher returns a publisher that appends to the log.
func NewPublisher(l Log, opts ...PublisherOption) *Publisher {
	p := &Publisher{log: l, resolveTimeout: defaultResolveTimeout}
	for _, opt := range opts {
		opt(p)
	}
	if p.follower == nil {
		p.follower = NewFollower(l, WithFollowerLogger(&log.Logger{Handler: discard.Default}))
	}
	return p
}

// Publish validates the change, appends it and returns once its acceptance is
// known. A repeat with the same id has the result of the first. The error
// wraps config.ErrInvalid, ErrConflict or platform.ErrUnavailable, after which
// the change was not and will not be accepted, or ErrUncertain.
func (p *Publisher) Publish(ctx context.Context, c Change) (Result, error) {
	if err := c.validate(); err != nil {
		return Result{}, err
	}
	data, err := proto.Marshal(recordOf(c))
	if err != nil {
		return Result{}, err
	}
	if err := p.follower.catchUp(ctx); err != nil {
		return Result{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	w, view := p.follower.watch(c)
	defer p.follower.unwatch(w)
	if view.known {
		return c.result(view)
	}
	if c.Base < view.current {
		return Result{}, c.conflict(view.current, view.author)
	}
	if c.Base == view.current {
		if err := c.validateTarget(p.follower.Fleet()); err != nil {
			return Result{}, err
		}
	}
	offset, err := p.log.Append(ctx, Stream, data)
	if err != nil && !errors.Is(err, platform.ErrUncertain) {
		return Result{}, err
	}
	return p.resolve(ctx, c, w, view.restores, appended{offset: offset, err: err})
}

// appended is the answer to the append of a record.
type appended struct {
	offset platform.Offset
	err    error
}

// resolve reads the log until the verdict on the record is known. It never
// appends again: a request that was not answered may still take effect later.
func (p *Publisher) resolve(ctx context.Context, c Change, w *watch, restores int, a appended) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, p.resolveTimeout)
	defer cancel()
	for {
		view := p.follower.look(w)
		if view.known {
			return c.result(view)
		}
		if view.current > c.Base && view.restores == restores {
			// Every record since the append was read one by one, so another
			// one replaced the base and a later copy of this one is rejected.
			return Result{}, c.conflict(view.current, view.author)
		}
		if a.err == nil && view.version >= a.offset {
			return Result{}, fmt.Errorf("%w: record at offset %d, version %d came from a snapshot without it", ErrUncertain, a.offset, view.version)
		}
		if err := p.follower.poll(ctx, resolveWait); err != nil {
			sleep(ctx, p.follower.retryDelay)
		}
		if ctx.Err() != nil {
			return Result{}, fmt.Errorf("%w: record %q of scope %q not found: %w", ErrUncertain, c.ID, c.Scope, errors.Join(a.err, ctx.Err()))
		}
	}
}

// result translates the verdict on the change.
func (c Change) result(view scopeView) (Result, error) {
	if view.outcome.Verdict == Accepted {
		return Result{Version: view.outcome.Version}, nil
	}
	return Result{}, c.conflict(view.current, view.author)
}

func (c Change) conflict(current config.Version, author string) error {
	return &ConflictError{Scope: c.Scope, Base: c.Base, Current: current, Author: author}
}

// scopeView is what a publisher sees of its record and scope.
type scopeView struct {
	known    bool
	outcome  Outcome
	current  config.Version
	author   string
	version  platform.Offset
	restores int
}

// watch makes the follower remember the verdict on the change's record.
func (f *Follower) watch(c Change) (*watch, scopeView) {
	w := &watch{scope: c.Scope, id: c.ID}
	f.mu.Lock()
	f.watches[w] = struct{}{}
	f.tellWatches()
	f.mu.Unlock()
	return w, f.look(w)
}

func (f *Follower) unwatch(w *watch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.watches, w)
}

func (f *Follower) look(w *watch) scopeView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return scopeView{
		known: w.known, outcome: w.outcome,
		current: f.state.ScopeVersion(w.scope), author: f.state.scopes[w.scope].GetAuthor(),
		version: f.state.Version(), restores: f.restores,
	}
}

// catchUp reads the log to its end. It fails when the log ends below the
// version in force: a record appended there would be invisible to the
// instances that know more than the log.
func (f *Follower) catchUp(ctx context.Context) error {
	short := 0
	for {
		if err := f.poll(ctx, 0); err != nil {
			return err
		}
		version, next := f.end()
		switch {
		case version+1 == next:
			return nil
		case version+1 > next:
			short++
			if short == endReads {
				return fmt.Errorf("the log ends at offset %d, below version %d in force", next, version)
			}
			if short > 1 { // the first may be a race with another read
				sleep(ctx, f.retryDelay)
			}
		}
	}
}

// end returns the version in force and the end of the log at the last read.
func (f *Follower) end() (version, next platform.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Version(), f.logNext
}
