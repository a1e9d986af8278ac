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
	"google.golang.org/protobuf/proto"

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

// Heartbeat intervals of an instance. Only a few instances, the active ones,
// receive callers, and only their failure must be detected quickly. Remote zones
// need their heartbeats only for callers whose own zone has too few ready
// instances.
const (
	activeInterval       = 500 * time.Millisecond
	activeRemoteInterval = 2 * time.Second
	inactiveInterval     = 3 * time.Second
	// removeInterval is the time between two removals of instances that were
	// last seen long ago.
	removeInterval = 10 * time.Second
)

// TargetUpdate holds the changes of the target registry from the offset From of
// its log up to, but not including, the offset To.
type TargetUpdate struct {
	From, To int64
	Changes  []targets.Change
	// SinceOutage is the time since the end of an outage of the registry, 0 if
	// there was none recently.
	SinceOutage time.Duration
	// ConfigVersion is set in received updates only. It is the version of the
	// sender's active configuration. In a forwarded update it is that of the
	// forwarder if the forwarder has a lower one.
	ConfigVersion int64
}

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
	seeds     []netip.AddrPort
	active    func() bool

	mu     sync.Mutex            // guards the fields below
	conn   *net.UDPConn          // nil before Run
	joined []membership.Sighting // the other instances are not told of these yet

	// joinedSignal receives a value when joined has got an element.
	joinedSignal chan struct{}

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
		joinedSignal: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run exchanges datagrams on the socket until the context ends, and closes it.
func (m *Mesh) Run(ctx context.Context, conn *net.UDPConn) error {
	m.mu.Lock()
	m.conn = conn
	m.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.receive(ctx, conn) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	group.Go(func() error { return m.sendHeartbeats(ctx) })
	group.Go(func() error { return m.sendIntroductions(ctx) })
	return group.Wait()
}

// sendHeartbeats sends heartbeats until the context ends. An instance that is not
// active sends fewer of them, and only in its local zone.
func (m *Mesh) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(activeInterval)
	defer ticker.Stop()
	m.GreetSeeds()
	var sinceLocal, sinceRemote, sinceRemoval time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		sinceLocal, sinceRemote, sinceRemoval = sinceLocal+activeInterval, sinceRemote+activeInterval, sinceRemoval+activeInterval
		localInterval, remoteInterval := m.intervals()
		if sinceLocal >= localInterval {
			sinceLocal = 0
			m.sendTo(m.heartbeat(localInterval), m.isLocal)
		}
		if m.active() && sinceRemote >= remoteInterval {
			sinceRemote = 0
			m.sendTo(m.heartbeat(remoteInterval), func(in membership.Instance) bool { return !m.isLocal(in) })
		}
		if sinceRemoval >= removeInterval {
			sinceRemoval = 0
			m.directory.RemoveDead()
		}
	}
}

// intervals returns the heartbeat intervals that this instance announces to the
// local zone and to remote zones. An instance that is not active announces
// inactiveInterval to both, but sends periodic heartbeats only to the local zone:
// remote zones do not need to detect its failure.
func (m *Mesh) intervals() (local, remote time.Duration) {
	if m.active() {
		return activeInterval, activeRemoteInterval
	}
	return inactiveInterval, inactiveInterval
}

// isLocal reports whether the instance is in the local zone.
func (m *Mesh) isLocal(in membership.Instance) bool { return in.Zone == m.directory.Self().Zone }

// heartbeat returns a packet without the fields that do not change within an
// incarnation. It announces the next heartbeat after the interval.
func (m *Mesh) heartbeat(interval time.Duration) *peerpb.Packet {
	return &peerpb.Packet{Sender: heartbeatToWire(m.directory.Self()), IntervalMs: uint32(interval.Milliseconds())}
}

// SendHello sends a complete packet, one with the zone and the addresses of this
// instance, to every instance in the directory and to the seeds. It requests one in
// return from the instances of the local zone and the seeds, but not from remote
// zones: only their active instances are needed in the directory, and these send
// heartbeats anyway.
func (m *Mesh) SendHello() {
	m.sendTo(&peerpb.Packet{Hello: true}, m.isLocal)
	m.sendTo(&peerpb.Packet{}, func(in membership.Instance) bool { return !m.isLocal(in) })
	m.GreetSeeds()
}

// GreetSeeds sends a complete packet to each seed and requests one in return.
func (m *Mesh) GreetSeeds() {
	self := m.directory.Self()
	for _, seed := range m.seeds {
		if seed != self.PeerAddress {
			m.send(&peerpb.Packet{Hello: true}, seed)
		}
	}
}

// AnnounceState sends the changed state of this instance to the local zone at once.
// Remote zones receive it with the next periodic heartbeat, which only an active
// instance sends them.
func (m *Mesh) AnnounceState() { m.announce(false) }

func (m *Mesh) announce(allZones bool) {
	m.sendTo(&peerpb.Packet{}, func(in membership.Instance) bool { return allZones || m.isLocal(in) })
}

// AnnounceVersion sends the configuration version of this instance to the local
// zone at once and, if allZones is set, to the forwarders of remote zones. An
// instance that is among the first to have the version sets allZones.
func (m *Mesh) AnnounceVersion(allZones bool) {
	local, remote := m.intervals()
	m.sendTo(m.heartbeat(local), m.isLocal)
	if allZones {
		m.sendToForwarders(m.heartbeat(remote))
	}
}

// AnnounceLeaving announces several times that this instance leaves: to all zones
// if it was active, else to the local zone.
func (m *Mesh) AnnounceLeaving(ctx context.Context, wasActive bool) {
	for range leavingRepeats {
		m.announce(wasActive)
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavingInterval):
		}
	}
}

// BroadcastUpdate sends an update of the target registry to the instances of the
// local zone or of all zones. It is split into datagrams with consecutive ranges
// of offsets, so that the receivers detect a lost one. offsets[i] is the offset of
// update.Changes[i]; without them, the changes must fit into one datagram.
func (m *Mesh) BroadcastUpdate(update TargetUpdate, offsets []int64, allZones bool) {
	for len(update.Changes) > MaxUpdateChanges {
		part := TargetUpdate{From: update.From, To: offsets[MaxUpdateChanges], Changes: update.Changes[:MaxUpdateChanges], SinceOutage: update.SinceOutage}
		m.sendUpdate(part, allZones)
		update.From, update.Changes, offsets = part.To, update.Changes[MaxUpdateChanges:], offsets[MaxUpdateChanges:]
	}
	m.sendUpdate(update, allZones)
}

func (m *Mesh) sendUpdate(update TargetUpdate, allZones bool) {
	local, remote := m.intervals()
	packet := m.heartbeat(local)
	packet.News = updateToWire(update)
	m.sendTo(packet, m.isLocal)
	if allZones {
		packet.PassOn, packet.IntervalMs = true, uint32(remote.Milliseconds())
		m.sendToForwarders(packet)
	}
}

// sendToForwarders sends a packet to the forwarders of the remote zones.
func (m *Mesh) sendToForwarders(packet *peerpb.Packet) {
	data := m.encode(packet)
	for _, in := range m.directory.Forwarders(forwardersPerZone) {
		m.write(data, in.PeerAddress)
	}
}

// forward sends a packet of a remote zone to the instances of the local zone. The
// configuration version in it is lowered to that of this instance if the sender has
// a higher one, so that no version is reported to the receivers before they can
// fetch it within the zone.
func (m *Mesh) forward(packet *peerpb.Packet) {
	packet.PassOn, packet.PassedOn = false, true
	packet.Sender.ConfigVersion = min(packet.Sender.GetConfigVersion(), m.directory.Self().ConfigVersion)
	m.sendTo(packet, m.isLocal)
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
	if packet.GetPassOn() {
		m.forward(&packet)
	}
	if packet.GetPassedOn() {
		return nil // the packet was forwarded, so from is not the address of its sender
	}
	if packet.GetHello() || !known {
		m.send(&peerpb.Packet{Hello: !known}, from)
	}
	return nil
}

// announcedInterval returns the time until the next heartbeat that the sender of a
// packet announces to the local zone.
func (m *Mesh) announcedInterval(packet *peerpb.Packet, sender membership.Instance) time.Duration {
	interval := packet.GetIntervalMs()
	if local := packet.GetLocalIntervalMs(); local > 0 && m.isLocal(sender) {
		interval = local
	}
	return time.Duration(interval) * time.Millisecond
}

// Stats returns the current counters.
func (m *Mesh) Stats() Stats {
	return Stats{
		PacketsIn: m.packetsIn.Load(), PacketsOut: m.packetsOut.Load(), BytesIn: m.bytesIn.Load(),
		BytesOut: m.bytesOut.Load(), Malformed: m.malformed.Load(), SendErrors: m.sendErrors.Load(),
	}
}
