// Package peer connects the instances of the system with each other: sessions
// with heartbeats, news that reaches every instance, the exchange of the
// configuration, and requests forwarded to another instance.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/semaphore"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

// Timings holds the periods and time limits of a Mesh.
type Timings struct {
	// Heartbeat is the time between two heartbeats on a session.
	Heartbeat time.Duration
	// Silence is the time without a heartbeat after which a session is
	// dialled again.
	Silence time.Duration
	// Check is the time between two passes over the sessions.
	Check time.Duration
	// Dial bounds a connection attempt, Hello the exchange of hellos after it.
	Dial  time.Duration
	Hello time.Duration
	// MinBackoff and MaxBackoff bound the pause between failed dials.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Idle is how long an unchosen session stays after its last use.
	Idle time.Duration
	// DeadProbe is the time between attempts to reach an instance that is
	// believed dead, which find each other again after a partition.
	DeadProbe time.Duration
	// Batch is the time over which local news is collected into one message.
	Batch time.Duration
	// ConfigDelay is how long the log has to deliver a version that a peer has,
	// before a snapshot is fetched. Fetching at once would cost a snapshot per
	// change on every instance that reads the log a little later.
	ConfigDelay time.Duration
	// Forward bounds a forwarded request whose context has no deadline.
	Forward time.Duration
	// Drain bounds the wait for forwarded requests in progress when a session
	// or the mesh ends on purpose. It is longer than any deadline.
	Drain time.Duration
}

// DefaultTimings returns the timings of production.
func DefaultTimings() Timings {
	return Timings{
		Heartbeat:   time.Second,
		Silence:     3 * time.Second,
		Check:       200 * time.Millisecond,
		Dial:        time.Second,
		Hello:       2 * time.Second,
		MinBackoff:  200 * time.Millisecond,
		MaxBackoff:  10 * time.Second,
		Idle:        10 * time.Second,
		DeadProbe:   5 * time.Second,
		Batch:       50 * time.Millisecond,
		ConfigDelay: time.Second,
		Forward:     10 * time.Second,
		Drain:       time.Minute,
	}
}

const (
	// maxIncoming bounds the accepted connections, maxHandshakes those of them
	// that have not said hello.
	maxIncoming   = 128
	maxHandshakes = 32
	// maxDials bounds the connection attempts in progress.
	maxDials = 8
	// maxForwards bounds the streams of other instances that are in progress:
	// forwarded requests and configuration requests.
	maxForwards = 256
)

// Config is the configuration in force, as far as it is exchanged with peers.
type Config interface {
	// Version returns the offset of the last record applied.
	Version() platform.Offset
	// Snapshot returns the folded configuration.
	Snapshot() ([]byte, error)
	// Offer takes a peer's snapshot.
	Offer(snapshot []byte) error
	// RequireAtLeast says that a peer has this version.
	RequireAtLeast(version platform.Offset)
}

// Handler executes a forwarded request within the timeout.
type Handler func(ctx context.Context, request []byte, timeout time.Duration) ([]byte, error)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Mesh keeps the sessions of this instance. It is safe for concurrent use.
type Mesh struct {
	directory *membership.Directory
	config    Config
	logger    log.Interface
	clock     *timeline.Clock
	handler   Handler
	dialer    Dialer
	observe   func(platform.Offset)
	seeds     []netip.AddrPort
	timings   Timings
	answerCap int
	counters  counters
	sequence  atomic.Uint64
	dials     *semaphore.Weighted
	shakes    *semaphore.Weighted
	incoming  *semaphore.Weighted
	forwards  *semaphore.Weighted

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // Bounds the goroutines that Forward starts; set by Run.
	group    sync.WaitGroup
	sessions map[*session]bool
	contacts map[string]*contact
	seen     *seen
	behind   behind
}

// Option changes a Mesh under construction.
type Option func(*Mesh)

// WithLogger sets the logger.
func WithLogger(l log.Interface) Option { return func(m *Mesh) { m.logger = l } }

// WithClock sets the hybrid logical clock that heartbeats carry.
func WithClock(c *timeline.Clock) Option { return func(m *Mesh) { m.clock = c } }

// WithHandler sets what executes the requests that other instances forward.
// Without a handler every such request is refused as not executed.
func WithHandler(h Handler) Option { return func(m *Mesh) { m.handler = h } }

// WithDialer sets how connections are opened.
func WithDialer(d Dialer) Option { return func(m *Mesh) { m.dialer = d } }

// WithHeartbeatObserver sets a function that is called with the configuration
// version of each heartbeat that arrived without delay. A heartbeat that
// waited in a buffer while this process was paused does not count.
func WithHeartbeatObserver(fn func(platform.Offset)) Option {
	return func(m *Mesh) { m.observe = fn }
}

// WithSeeds sets the addresses to try while no other instance is known.
func WithSeeds(seeds []netip.AddrPort) Option { return func(m *Mesh) { m.seeds = seeds } }

// WithTimings replaces the default timings.
func WithTimings(t Timings) Option { return func(m *Mesh) { m.timings = t } }

// WithForwardLimit sets the largest forwarded request and answer in bytes.
func WithForwardLimit(limit int) Option { return func(m *Mesh) { m.answerCap = limit } }

// NewMesh returns a mesh without sessions.
func NewMesh(directory *membership.Directory, config Config, opts ...Option) *Mesh {
	m := &Mesh{
		directory: directory,
		config:    config,
		logger:    log.Log,
		clock:     timeline.NewClock(time.Now),
		dialer:    dialTCP,
		observe:   func(platform.Offset) {},
		timings:   DefaultTimings(),
		answerCap: controlFrameLimit,
		dials:     semaphore.NewWeighted(maxDials),
		shakes:    semaphore.NewWeighted(maxHandshakes),
		incoming:  semaphore.NewWeighted(maxIncoming),
		forwards:  semaphore.NewWeighted(maxForwards),
		sessions:  map[*session]bool{},
		contacts:  map[string]*contact{},
		seen:      newSeen(),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

// Run accepts and keeps sessions until the context ends. Then it refuses new
// forwarded requests as not executed, finishes those in progress, closes the
// listener, says goodbye to the peers and returns when all its goroutines have
// ended.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	// The goroutines outlive ctx by the time that the goodbyes take.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	m.mu.Lock()
	m.ctx = inner
	m.mu.Unlock()
	m.start(func(ctx context.Context) { m.accept(ctx, listener) })
	m.start(m.flood)
	m.start(m.check)
	<-ctx.Done()
	m.drain(inner)
	_ = listener.Close()
	m.sendPending()
	m.closeAll("instance stops")
	cancel()
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.group.Wait()
	return nil
}

// drain waits for the forwarded requests in progress. While it waits for the
// whole semaphore, no new request obtains a part of it. Sessions go on, since
// the answers need them.
func (m *Mesh) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.timings.Drain)
	defer cancel()
	if err := m.forwards.Acquire(ctx, maxForwards); err != nil {
		m.logger.Warn("forwarded requests in progress at the stop")
		return
	}
	m.forwards.Release(maxForwards)
}

// start runs the function in a goroutine that Run waits for. It returns false
// when the mesh does not run.
func (m *Mesh) start(fn func(context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return false
	}
	ctx := m.ctx
	m.group.Go(func() { fn(ctx) })
	return true
}

func (m *Mesh) accept(ctx context.Context, listener net.Listener) {
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || isClosed(err) {
				return
			}
			m.logger.WithError(err).Warn("peer connection not accepted")
			sleep(ctx, m.timings.MinBackoff)
			continue
		}
		if !m.shakes.TryAcquire(1) {
			m.counters.drops.Add(1)
			_ = conn.Close()
			continue
		}
		started := m.start(func(ctx context.Context) {
			defer m.shakes.Release(1)
			m.welcome(ctx, conn)
		})
		if !started {
			m.shakes.Release(1)
			_ = conn.Close()
		}
	}
}

// welcome exchanges hellos on an accepted connection.
func (m *Mesh) welcome(ctx context.Context, conn net.Conn) {
	if !m.incoming.TryAcquire(1) {
		// Without a hello the peer knows that nothing was delivered.
		m.counters.drops.Add(1)
		_ = conn.Close()
		return
	}
	s, err := m.establish(ctx, conn, true)
	if err != nil {
		m.incoming.Release(1)
		m.logger.WithField("remote", conn.RemoteAddr().String()).WithError(err).Warn("peer connection closed")
		return
	}
	m.register(s)
}

// register takes a session into service. It replaces a session in the same
// direction with the same instance.
func (m *Mesh) register(s *session) {
	m.mu.Lock()
	var replaced []*session
	for other := range m.sessions {
		if other.peer.ID == s.peer.ID && (other.incoming == s.incoming || other.peer.Incarnation < s.peer.Incarnation) {
			replaced = append(replaced, other)
			delete(m.sessions, other)
		}
	}
	m.sessions[s] = true
	// The pause stays until the session has lasted, so that a peer that closes
	// each session at once is not dialled without pause.
	c := m.contact(s.peer.ID)
	c.dialing = false
	c.lost = false
	c.failed++
	c.next = time.Now().Add(m.backoff(c.failed))
	m.mu.Unlock()
	for _, other := range replaced {
		other.goodbye("replaced by a new session", false)
	}
	if m.directory.Heard(s.peer) {
		// The other peers may have no session with a new instance.
		m.relay(s, syncFrame(membership.News{Instances: []membership.Instance{s.peer}}))
	}
	m.sendSync(s)
	m.compare(s, s.helloVersion, s.peer.State)
	started := m.start(func(ctx context.Context) {
		m.serve(ctx, s)
		m.release(s)
	})
	if !started {
		s.close()
		m.release(s)
	}
}

// release frees the place of an accepted session.
func (m *Mesh) release(s *session) {
	if s.incoming {
		m.incoming.Release(1)
	}
}

// serve runs the session until it ends.
func (m *Mesh) serve(ctx context.Context, s *session) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	var parts sync.WaitGroup
	parts.Go(s.write)
	parts.Go(func() { m.acceptStreams(ctx, s) })
	err := m.read(s)
	s.close()
	parts.Wait()
	m.mu.Lock()
	registered := m.sessions[s]
	delete(m.sessions, s)
	if registered && ctx.Err() == nil && (!s.farewell.Load() || s.stopping.Load()) {
		// The peer has probably ended; the next dial tells.
		m.contact(s.peer.ID).lost = true
	}
	m.mu.Unlock()
	entry := m.logger.WithField("peer", s.peer.ID).WithError(err)
	if isProtocolError(err) {
		entry.Warn("peer session closed")
	} else {
		entry.Debug("peer session closed")
	}
}

// list returns the sessions in service, without those that end on purpose.
func (m *Mesh) list() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*session, 0, len(m.sessions))
	for s := range m.sessions {
		if !s.farewell.Load() {
			all = append(all, s)
		}
	}
	return all
}

// sessionWith returns the session with the instance that was heard last, of
// those with its latest incarnation.
func (m *Mesh) sessionWith(id string) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *session
	for s := range m.sessions {
		if s.peer.ID == id && !s.farewell.Load() && (best == nil || s.fresherThan(best)) {
			best = s
		}
	}
	return best
}

func (m *Mesh) closeAll(reason string) {
	var parts sync.WaitGroup
	for _, s := range m.list() {
		parts.Go(func() {
			s.goodbye(reason, true)
			<-s.ended
		})
	}
	parts.Wait()
}

// hello returns the first message of this instance on a session.
func (m *Mesh) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Magic: protocolMagic, Protocol: protocolVersion,
		Sender:        encodeInstance(m.directory.Self()),
		ConfigVersion: int64(m.config.Version()),
		Clock:         uint64(m.clock.Now()),
		WallMs:        time.Now().UnixMilli(),
	}
}
