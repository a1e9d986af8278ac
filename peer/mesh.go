// Package peer exchanges datagrams with the other instances: heartbeats with the
// sender's state, and updates of the target registry, so that one instance can
// read the registry for all. It also encodes the state that a starting instance
// reads from another one.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"rhubarbrelay/crashes"
	"rhubarbrelay/limits"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/targets"
	"rhubarbrelay/timeline"
)

// ErrMalformed means that a packet or a registration of another instance cannot be
// decoded.
var ErrMalformed = errors.New("malformed data from another instance")

const (
	// maxDatagramSize is the size of the largest datagram, in bytes.
	maxDatagramSize = 64 << 10
	// MaxUpdateChanges limits the changes in one datagram, so that it is not
	// fragmented by the network.
	MaxUpdateChanges = 8
	// forwardersPerZone is the number of instances of a remote zone that receive
	// an update directly. Each forwards it within the zone, so that no update is
	// lost if one of them has failed.
	forwardersPerZone = 2
	// leavingRepeats is the number of times that an instance announces that it
	// leaves, because datagrams can be lost.
	leavingRepeats  = 3
	leavingInterval = 100 * time.Millisecond
)

// Stats holds the numbers of datagrams and bytes received and sent, of malformed
// datagrams and of socket errors.
type Stats struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut, Malformed, SendErrors uint64
}

// Mesh exchanges datagrams with the other instances of a directory. It is safe
// for concurrent use.
type Mesh struct {
	directory *membership.Directory
	clock     *timeline.Clock
	logger    log.Interface
	onUpdate  func(TargetUpdate)
	// onStatements receives the statements of targets that other instances have heard.
	onStatements func([]targets.Statement)
	// onStartNotice receives the notices of instances that have read the store.
	onStartNotice func(sender membership.Instance, notice StartNotice)
	// onDemands receives the demands that other instances report.
	onDemands   func(limits.DemandReport)
	seeds       []netip.AddrPort
	active      func() bool
	crashes     CrashLedger // nil for none
	evacuations Evacuations // nil for none

	mu   sync.Mutex   // guards the fields below
	conn *net.UDPConn // nil before Run
	// The other instances are not told of these yet.
	joined            []membership.Sighting
	changedCrashes    []crashes.Record
	changedStatements []targets.Statement

	// These receive a value when the corresponding one of the lists above has got an
	// element.
	joinedSignal, crashSignal, statementSignal chan struct{}
	// evacuationSignal receives a value when the set of evacuated zones must be sent.
	evacuationSignal chan struct{}
	// startedAt is when Run was called.
	startedAt time.Time
	// memberRequests limits the requests for the instances that others know, memberResponses
	// the responses to such requests.
	memberRequests, memberResponses *rate.Limiter

	packetsIn, packetsOut, bytesIn, bytesOut, malformed, sendErrors atomic.Uint64
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithLogger sets the logger. The default is the global one.
func WithLogger(logger log.Interface) Option { return func(m *Mesh) { m.logger = logger } }

// WithOnTargetUpdate sets the function that receives the updates of other
// instances.
func WithOnTargetUpdate(fn func(TargetUpdate)) Option { return func(m *Mesh) { m.onUpdate = fn } }

// WithSeeds sets addresses at which other instances may listen. They make it
// possible to find the others at the start while the store is unavailable.
func WithSeeds(seeds []netip.AddrPort) Option { return func(m *Mesh) { m.seeds = seeds } }

// WithActive sets the function that reports whether this instance is active, that
// is, whether callers are sent to it.
func WithActive(active func() bool) Option { return func(m *Mesh) { m.active = active } }

// NewMesh returns a mesh, which sends and receives nothing before Run.
func NewMesh(directory *membership.Directory, clock *timeline.Clock, opts ...Option) *Mesh {
	m := &Mesh{
		directory: directory, clock: clock, logger: log.Log, onUpdate: func(TargetUpdate) {}, active: func() bool { return true },
		joinedSignal: make(chan struct{}, 1), crashSignal: make(chan struct{}, 1), statementSignal: make(chan struct{}, 1),
		evacuationSignal: make(chan struct{}, 1), memberRequests: rate.NewLimiter(rate.Every(memberRequestInterval), 1),
		memberResponses: rate.NewLimiter(rate.Every(memberResponseInterval), 1),
		onStatements:    func([]targets.Statement) {}, onDemands: func(limits.DemandReport) {},
		onStartNotice: func(membership.Instance, StartNotice) {},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run exchanges datagrams on the socket until the context ends, and closes it.
func (m *Mesh) Run(ctx context.Context, conn *net.UDPConn) error {
	m.mu.Lock()
	m.conn, m.startedAt = conn, time.Now()
	m.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx, conn) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	group.Go(func() error { return m.sendHeartbeats(ctx) })
	group.Go(func() error {
		collect(ctx, m.joinedSignal, introductionDelay, m.sendIntroductions)
		return nil
	})
	group.Go(func() error {
		collect(ctx, m.statementSignal, statementDelay, m.sendChangedStatements)
		return nil
	})
	group.Go(func() error {
		collect(ctx, m.crashSignal, crashRecordDelay, m.sendChangedCrashes)
		return nil
	})
	group.Go(func() error {
		collect(ctx, m.evacuationSignal, 0, m.sendEvacuations)
		return nil
	})
	return group.Wait()
}

// sendTo sends a packet to the other instances that match.
func (m *Mesh) sendTo(packet *peerpb.Packet, match func(membership.Instance) bool) {
	var data []byte
	for _, in := range m.directory.Peers() {
		if !match(in) {
			continue
		}
		if data == nil {
			data = m.encode(packet)
		}
		m.write(data, in.PeerAddress)
	}
}

func (m *Mesh) send(packet *peerpb.Packet, to netip.AddrPort) { m.write(m.encode(packet), to) }

// encode encodes a packet with the current timestamp. Without a sender it becomes
// a complete packet of this instance. A complete packet may go to any zone and
// announces the intervals for the local zone and for remote zones.
func (m *Mesh) encode(packet *peerpb.Packet) []byte {
	if packet.Sender == nil {
		packet.Sender = instanceToWire(m.directory.Self())
		local, remote := m.intervals()
		packet.IntervalMs, packet.LocalIntervalMs = uint32(remote.Milliseconds()), uint32(local.Milliseconds())
		if m.crashes != nil {
			packet.Crashes = crashesToWire(m.crashes.Blocked(maxCrashRecords))
		}
		m.addEvacuations(packet)
		m.addMembers(packet)
	}
	packet.Clock = uint64(m.clock.Now())
	data, err := proto.Marshal(packet)
	if err != nil {
		m.logger.WithError(err).Error("packet for other instances cannot be encoded")
	}
	return data
}

func (m *Mesh) write(data []byte, to netip.AddrPort) {
	m.mu.Lock()
	conn := m.conn
	m.mu.Unlock()
	if conn == nil || len(data) == 0 {
		return
	}
	n, err := conn.WriteToUDPAddrPort(data, to)
	if err != nil {
		m.sendErrors.Add(1) // the next heartbeat sends the state again
		return
	}
	m.packetsOut.Add(1)
	m.bytesOut.Add(uint64(n))
}

func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// If no process listens on the port of a peer, some systems report the ICMP
			// error here as an error of the socket. Linux does so only for connected sockets.
			m.sendErrors.Add(1)
			continue
		}
		m.packetsIn.Add(1)
		m.bytesIn.Add(uint64(n))
		if err := m.handle(buf[:n], from); err != nil {
			m.malformed.Add(1)
			m.logger.WithError(err).WithField("from", from.String()).Warn("malformed packet from another instance dropped")
		}
	}
}

func (m *Mesh) handle(data []byte, from netip.AddrPort) error {
	var packet peerpb.Packet
	if err := proto.Unmarshal(data, &packet); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	sender, err := instanceFromWire(packet.GetSender())
	if err != nil {
		return err
	}
	m.clock.Observe(timeline.Timestamp(packet.GetClock()))
	starts := sender.PeerAddress.IsValid() && !m.directory.Knows(sender.ID, sender.Incarnation)
	known := m.directory.RecordPacket(sender, m.announcedInterval(&packet, sender))
	if packet.GetNews() != nil {
		update, err := updateFromWire(packet.GetNews())
		if err != nil {
			return err
		}
		update.ConfigVersion = sender.ConfigVersion
		m.onUpdate(update)
	}
	if len(packet.GetJoined()) > 0 {
		if err := m.handleIntroduction(&packet); err != nil {
			return err
		}
	}
	if err := errors.Join(m.handleCrashes(&packet), m.handleStatements(&packet), m.handleEvacuations(&packet, from), m.handleDemands(&packet, sender)); err != nil {
		return err
	}
	m.handleStartNotice(sender, &packet)
	if packet.GetPassOn() {
		m.forward(&packet)
	}
	if packet.GetPassedOn() {
		return nil // the packet was forwarded, so from is not the address of its sender
	}
	if starts {
		m.sendBlocked(from)
	}
	m.handleMembers(&packet, sender, from)
	if packet.GetHello() || !known {
		m.send(&peerpb.Packet{Hello: !known}, from)
	}
	return nil
}

// Stats returns the current counters.
func (m *Mesh) Stats() Stats {
	return Stats{
		PacketsIn: m.packetsIn.Load(), PacketsOut: m.packetsOut.Load(), BytesIn: m.bytesIn.Load(),
		BytesOut: m.bytesOut.Load(), Malformed: m.malformed.Load(), SendErrors: m.sendErrors.Load(),
	}
}
