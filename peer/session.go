package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/semaphore"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/platform"
)

const (
	// protocolMagic tells a foreign client from an instance.
	protocolMagic = 0x72687562
	// protocolVersion changes when older instances cannot follow.
	protocolVersion = 1
	// queueFrames bounds the frames that wait to be written to one peer.
	queueFrames = 256
	// readBufferBytes holds several heartbeats.
	readBufferBytes = 512
	// writeTimeout bounds the write of one frame to a peer.
	writeTimeout = 3 * time.Second
	// goodbyeTimeout is the time for a goodbye to arrive and for streams that
	// were opened before to be noticed.
	goodbyeTimeout = 200 * time.Millisecond
	// muxBacklog bounds the streams that wait to be accepted.
	muxBacklog = 128
	// muxWindow is the receive window of a stream, the smallest that yamux
	// allows.
	muxWindow = 256 << 10
	// muxKeepAlive is longer than the heartbeat, which detects silence; yamux
	// closes what the heartbeats have given up.
	muxKeepAlive = 15 * time.Second
)

// session is one connection with a peer after both said hello.
type session struct {
	mesh     *Mesh
	mux      *yamux.Session
	control  *yamux.Stream
	reader   *bufio.Reader
	incoming bool
	// peer is the sender of the hello. It does not change.
	peer         membership.Instance
	helloVersion platform.Offset

	queue chan *peerpb.Frame
	ended chan struct{}
	once  sync.Once
	// heardAt and usedAt are Unix times in nanoseconds of the last heartbeat
	// or hello, and of the last use other than heartbeats.
	heardAt atomic.Int64
	usedAt  atomic.Int64
	// version is the peer's configuration version.
	version atomic.Int64
	// compared is set once the peer's version was given to the configuration,
	// serving while the peer served callers then.
	compared, serving atomic.Bool
	// missed is set when a frame was dropped, so that all is sent again.
	missed atomic.Bool
	// farewell is set when either side closes the session on purpose, stopping
	// when the peer said that it ends.
	farewell atomic.Bool
	stopping atomic.Bool
	// active counts the streams in use, of both sides.
	active atomic.Int64
	// createdAt is the time of the hello.
	createdAt time.Time
	delays    delays
	// streams bounds the streams that this side opens, so that opening one
	// never waits for the peer to accept another.
	streams *semaphore.Weighted
}

func muxConfig(m *Mesh) *yamux.Config {
	return &yamux.Config{
		AcceptBacklog:          muxBacklog,
		EnableKeepAlive:        true,
		KeepAliveInterval:      muxKeepAlive,
		ConnectionWriteTimeout: writeTimeout,
		MaxStreamWindowSize:    muxWindow,
		StreamOpenTimeout:      writeTimeout,
		StreamCloseTimeout:     writeTimeout,
		Logger:                 muxLogger{m.logger},
	}
}

// establish opens the control stream and exchanges hellos within the time
// limit. It closes the connection on failure.
func (m *Mesh) establish(ctx context.Context, conn net.Conn, incoming bool) (*session, error) {
	open := yamux.Client
	if incoming {
		open = yamux.Server
	}
	mux, err := open(&countingConn{Conn: conn, counters: &m.counters}, muxConfig(m))
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	ctx, cancel := context.WithTimeout(ctx, m.timings.Hello)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	s := &session{
		mesh: m, mux: mux, incoming: incoming,
		queue:   make(chan *peerpb.Frame, queueFrames),
		ended:   make(chan struct{}),
		streams: semaphore.NewWeighted(muxBacklog - 1),
	}
	err = s.exchangeHellos(ctx)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = mux.Close()
		return nil, fmt.Errorf("hello: %w", err)
	}
	return s, nil
}

func (s *session) exchangeHellos(ctx context.Context) error {
	var err error
	if s.incoming {
		s.control, err = s.mux.AcceptStreamWithContext(ctx)
	} else {
		s.control, err = s.mux.OpenStream()
	}
	if err != nil {
		return err
	}
	s.reader = bufio.NewReaderSize(s.control, readBufferBytes)
	if !s.incoming {
		if err := s.send(&peerpb.Frame{Message: &peerpb.Frame_Hello{Hello: s.mesh.hello()}}); err != nil {
			return err
		}
	}
	if err := s.readHello(); err != nil {
		return err
	}
	if !s.incoming {
		return nil
	}
	return s.send(&peerpb.Frame{Message: &peerpb.Frame_Hello{Hello: s.mesh.hello()}})
}

func (s *session) readHello() error {
	f, err := readFrame(s.reader, controlFrameLimit)
	if err != nil {
		return err
	}
	h := f.GetHello()
	if h.GetMagic() != protocolMagic || h.GetProtocol() != protocolVersion {
		return fmt.Errorf("%w: magic %#x, protocol version %d", ErrForeign, h.GetMagic(), h.GetProtocol())
	}
	if s.peer, err = decodeInstance(h.GetSender()); err != nil {
		return err
	}
	if s.peer.ID == s.mesh.directory.Self().ID {
		return fmt.Errorf("%w: incarnation %d", errSameID, s.peer.Incarnation)
	}
	s.helloVersion = platform.Offset(h.GetConfigVersion())
	s.version.Store(h.GetConfigVersion())
	s.mesh.observeClock(h.GetClock())
	s.createdAt = time.Now()
	s.delays.add(h.GetWallMs(), s.createdAt)
	s.heard()
	s.used()
	return nil
}

var errSameID = errors.New("peer has the id of this instance")

func (s *session) heard() { s.heardAt.Store(time.Now().UnixNano()) }

func (s *session) used() { s.usedAt.Store(time.Now().UnixNano()) }

// silence returns the time since the last heartbeat.
func (s *session) silence() time.Duration { return time.Since(time.Unix(0, s.heardAt.Load())) }

func (s *session) idle() time.Duration { return time.Since(time.Unix(0, s.usedAt.Load())) }

// enqueue sends the frame later. When the peer reads too slowly the frame is
// dropped, and all is sent again when the queue has room.
func (s *session) enqueue(f *peerpb.Frame) {
	select {
	case s.queue <- f:
	default:
		s.missed.Store(true)
		s.mesh.counters.drops.Add(1)
	}
}

func (s *session) write() {
	for {
		select {
		case <-s.ended:
			return
		case f := <-s.queue:
			if err := s.send(f); err != nil {
				s.close()
				return
			}
		}
	}
}

func (s *session) send(f *peerpb.Frame) error {
	b, err := encodeFrame(f, controlFrameLimit)
	if err != nil {
		return err
	}
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	s.mesh.counters.framesOut.Add(1)
	_, err = s.control.Write(b)
	return err
}

// goodbye closes the session on purpose, after the frames that wait.
func (s *session) goodbye(reason string, stopping bool) {
	if s.farewell.Swap(true) {
		return
	}
	s.enqueue(&peerpb.Frame{Message: &peerpb.Frame_Goodbye{
		Goodbye: &peerpb.Goodbye{Reason: reason, Stopping: stopping},
	}})
	s.closeWhenIdle()
}

// closeWhenIdle closes the session when no stream has been in use for a while.
// The while covers streams that the peer opened before it read the goodbye.
func (s *session) closeWhenIdle() {
	giveUp := time.Now().Add(s.mesh.timings.Drain)
	var check func()
	check = func() {
		if s.active.Load() > 0 && time.Now().Before(giveUp) {
			time.AfterFunc(goodbyeTimeout, check)
			return
		}
		s.close()
	}
	time.AfterFunc(goodbyeTimeout, check)
}

// openStream opens a stream for one request. The function that it returns
// closes the stream.
func (s *session) openStream(ctx context.Context) (*yamux.Stream, func(), error) {
	if err := s.streams.Acquire(ctx, 1); err != nil {
		return nil, nil, err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		s.streams.Release(1)
		return nil, nil, err
	}
	s.active.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	return stream, func() {
		stop()
		_ = stream.Close()
		s.active.Add(-1)
		s.streams.Release(1)
	}, nil
}

// fresherThan returns whether the session is with a later incarnation of the
// same instance, or was heard later.
func (s *session) fresherThan(other *session) bool {
	if s.peer.Incarnation != other.peer.Incarnation {
		return s.peer.Incarnation > other.peer.Incarnation
	}
	return s.heardAt.Load() > other.heardAt.Load()
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.mux.Close()
	})
}

// read handles the frames of the control stream.
func (m *Mesh) read(s *session) error {
	for {
		f, err := readFrame(s.reader, controlFrameLimit)
		if err != nil {
			return err
		}
		m.counters.framesIn.Add(1)
		if err := m.handle(s, f); err != nil {
			return err
		}
	}
}

func (m *Mesh) handle(s *session, f *peerpb.Frame) error {
	switch message := f.GetMessage().(type) {
	case *peerpb.Frame_Heartbeat:
		return m.handleHeartbeat(s, message.Heartbeat)
	case *peerpb.Frame_News:
		return m.handleNews(s, f, message.News)
	case *peerpb.Frame_Sync:
		return m.handleSync(s, message.Sync)
	case *peerpb.Frame_Goodbye:
		s.stopping.Store(message.Goodbye.GetStopping())
		if !s.farewell.Swap(true) {
			s.closeWhenIdle()
		}
		return nil
	default:
		return fmt.Errorf("%w: unexpected %T on the control stream", ErrForeign, message)
	}
}

func (m *Mesh) handleHeartbeat(s *session, h *peerpb.Heartbeat) error {
	state, err := decodeState(h.GetState())
	if err != nil {
		return err
	}
	now := time.Now()
	s.heard()
	delay := s.delays.add(h.GetWallMs(), now)
	in := s.peer
	in.State = state
	in.Sequence = h.GetSequence()
	m.directory.Heard(in)
	m.observeClock(h.GetClock())
	version := platform.Offset(h.GetConfigVersion())
	s.version.Store(int64(version))
	m.compare(s, version, state)
	if delay < m.timings.Heartbeat/2 {
		m.observe(version)
	}
	return nil
}

func (m *Mesh) heartbeat() *peerpb.Frame {
	self := m.directory.Self()
	return &peerpb.Frame{Message: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Clock:         uint64(m.clock.Now()),
		ConfigVersion: int64(m.config.Version()),
		WallMs:        time.Now().UnixMilli(),
		State:         encodeState(self.State),
		Sequence:      self.Sequence,
	}}}
}
