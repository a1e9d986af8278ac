package membership

import (
	"context"
	"sync"
	"time"

	"rhubarbrelay/platform"
)

const (
	// guardTick is the time between two ticks of a Guard.
	guardTick = 100 * time.Millisecond
	// guardGap is the time without a tick after which the process is taken to
	// have been paused.
	guardGap = time.Second
	// aloneTimeout is how long an instance that hears no peer stays stale
	// without the platform, or with it while it knows other instances.
	aloneTimeout = 3 * time.Second
)

// Guard tells whether this process may have been paused since it last knew the
// state of the system. While it is stale nothing may be sent to a target.
//
// A stale guard becomes fresh when, after the resume, a heartbeat arrives from
// a peer whose configuration version is not above the own one. Only peers know
// what targets said of themselves, so that log and list, both read, suffice
// only when no other instance lives or no peer was heard for 3 s. An instance
// that knows no other one that lives and cannot reach the platform has nothing
// to compare its view with; it becomes fresh after 3 s.
type Guard struct {
	now       func() time.Time
	version   func() platform.Offset
	alone     func() bool
	onChange  func(fresh bool)
	isRunning bool

	mu       sync.Mutex
	lastTick time.Time
	stale    bool
	// resumedAt is the time at which the pause was noticed.
	resumedAt         time.Time
	readLog, readList bool
	// freshened is closed when the guard becomes fresh.
	freshened chan struct{}
}

// GuardOption changes a Guard under construction.
type GuardOption func(*Guard)

// WithGuardNow sets the source of the time.
func WithGuardNow(now func() time.Time) GuardOption { return func(g *Guard) { g.now = now } }

// WithVersion sets where the own configuration version comes from. Without it
// any heartbeat counts.
func WithVersion(version func() platform.Offset) GuardOption {
	return func(g *Guard) { g.version = version }
}

// WithAlone sets what tells whether no other instance lives, such as
// Directory.Alone. Without it the instance never counts as alone.
func WithAlone(alone func() bool) GuardOption { return func(g *Guard) { g.alone = alone } }

// WithOnChange sets a function that is called after each change, without a
// lock held. Two changes in quick succession may be told in either order; Fresh
// decides. When it is told of a pause it should start a read of the log and
// the list.
func WithOnChange(fn func(fresh bool)) GuardOption { return func(g *Guard) { g.onChange = fn } }

// NewGuard returns a fresh guard. Until Run it does not detect pauses.
func NewGuard(opts ...GuardOption) *Guard {
	g := &Guard{
		now:      time.Now,
		alone:    func() bool { return false },
		onChange: func(bool) {},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Run ticks until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	g.mu.Lock()
	g.isRunning = true
	g.lastTick = g.now()
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.isRunning = false
		g.mu.Unlock()
	}()
	ticker := time.NewTicker(guardTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.tick()
		}
	}
}

func (g *Guard) tick() {
	g.update(func(now time.Time) {
		g.lastTick = now
		if g.stale && now.Sub(g.resumedAt) >= aloneTimeout && g.alone() {
			g.refresh()
		}
	})
}

// Fresh returns whether requests may be sent to targets. It compares the time
// since the last tick itself, so that the first request after a pause sees it.
func (g *Guard) Fresh() bool {
	fresh := false
	g.update(func(time.Time) { fresh = !g.stale })
	return fresh
}

// Wait returns when the guard is fresh, or the error of the context.
func (g *Guard) Wait(ctx context.Context) error {
	for !g.Fresh() {
		g.mu.Lock()
		freshened := g.freshened
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-freshened:
		}
	}
	return nil
}

// HeardPeer notes a heartbeat that arrived without delay, with the peer's
// configuration version.
func (g *Guard) HeardPeer(version platform.Offset) {
	g.update(func(time.Time) {
		if g.stale && (g.version == nil || version <= g.version()) {
			g.refresh()
		}
	})
}

// ReadLog notes a successful read of the log that began at the time.
func (g *Guard) ReadLog(began time.Time) { g.read(began, &g.readLog) }

// ReadList notes a successful read of the instance list that began at the time.
func (g *Guard) ReadList(began time.Time) { g.read(began, &g.readList) }

func (g *Guard) read(began time.Time, done *bool) {
	g.update(func(now time.Time) {
		if !g.stale || began.Before(g.resumedAt) {
			return
		}
		*done = true
		if g.readLog && g.readList && (g.alone() || now.Sub(g.resumedAt) >= aloneTimeout) {
			g.refresh()
		}
	})
}

// update looks for a pause, then runs the function under the lock.
func (g *Guard) update(fn func(now time.Time)) {
	g.mu.Lock()
	before := g.stale
	now := g.now()
	if g.isRunning && elapsed(g.lastTick, now) > guardGap {
		g.pause(now)
	}
	fn(now)
	after := g.stale
	g.mu.Unlock()
	if before != after {
		g.onChange(!after)
	}
}

// pause marks the guard stale. The time of the tick moves, so that one pause
// is noticed once.
func (g *Guard) pause(now time.Time) {
	if !g.stale {
		g.freshened = make(chan struct{})
	}
	g.stale = true
	g.resumedAt = now
	g.lastTick = now
	g.readLog = false
	g.readList = false
}

func (g *Guard) refresh() {
	g.stale = false
	close(g.freshened)
}

// elapsed returns the longer of the monotonic and the wall time. The monotonic
// clock stands still while a virtual machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
