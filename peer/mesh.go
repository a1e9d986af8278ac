// Package peer exchanges datagrams with the other instances: heartbeats that
// carry the sender's state, and news of the registry of targets, which one
// instance reads for all.
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

// ErrMalformed means that a message of another instance cannot be read.
var ErrMalformed = errors.New("malformed message of an instance")

const (
	// maxPacket is the size of the largest datagram, in bytes.
	maxPacket = 64 << 10
	// MaxNewsChanges bounds the changes in one datagram, so that it fits into one
	// packet of the network.
	MaxNewsChanges = 8
	// leadsOfZone is the number of instances of another zone that news are sent
	// to. Each passes them on, so that the death of one goes unnoticed.
	leadsOfZone = 2
	// leavingRepeats is the number of times that a leaving instance says so;
	// datagrams get lost.
	leavingRepeats  = 3
	leavingInterval = 100 * time.Millisecond
)

// The times between the heartbeats of an instance. Callers are sent to few
// instances, and only the death of those has to be noticed soon. Other zones
// need to know them only for callers whose own zone has none.
const (
	activeInterval = 500 * time.Millisecond
	farInterval    = 2 * time.Second
	idleInterval   = 3 * time.Second
	// forgetInterval is the time between two looks for instances to forget.
	forgetInterval = 10 * time.Second
)

// News holds the changes of the registry between two offsets of its log.
type News struct {
	From, To int64
	Changes  []targets.Change
	// SinceOutage is the time since the end of an outage of the registry, 0
	// when there was none.
	SinceOutage time.Duration
	// Version is the configuration version of the sender.
	Version int64
}

// Stats counts datagrams and their bytes.
type Stats struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut, Malformed, SendErrors uint64
}

// Mesh exchanges datagrams with the instances of a directory. It is safe for
// concurrent use.
type Mesh struct {
	directory *membership.Directory
	clock     *timeline.Clock
	logger    log.Interface
	onNews    func(News)
	seeds     []netip.AddrPort
	active    func() bool

	mu   sync.Mutex
	conn *net.UDPConn // nil before Run

	packetsIn, packetsOut, bytesIn, bytesOut, malformed, sendErrors atomic.Uint64
}

// Option changes a Mesh under construction.
type Option func(*Mesh)

// WithLogger sets the logger.
func WithLogger(logger log.Interface) Option { return func(m *Mesh) { m.logger = logger } }

// WithOnNews sets what receives the news of other instances.
func WithOnNews(fn func(News)) Option { return func(m *Mesh) { m.onNews = fn } }

// WithSeeds sets addresses at which instances may listen, to be asked at the
// start when the store cannot be read.
func WithSeeds(seeds []netip.AddrPort) Option { return func(m *Mesh) { m.seeds = seeds } }

// WithActive sets what tells whether callers are sent to this instance.
func WithActive(active func() bool) Option { return func(m *Mesh) { m.active = active } }

// NewMesh returns a mesh that is not yet running.
func NewMesh(directory *membership.Directory, clock *timeline.Clock, opts ...Option) *Mesh {
	m := &Mesh{directory: directory, clock: clock, logger: log.Log, onNews: func(News) {}, active: func() bool { return true }}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run exchanges datagrams on the socket until the context ends.
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
	group.Go(func() error { return m.beat(ctx) })
	return group.Wait()
}

// beat sends heartbeats. An instance that callers are not sent to beats rarely,
// and in its own zone only.
func (m *Mesh) beat(ctx context.Context) error {
	ticker := time.NewTicker(activeInterval)
	defer ticker.Stop()
	m.greetSeeds()
	var near, far, forgotten time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		near, far, forgotten = near+activeInterval, far+activeInterval, forgotten+activeInterval
		nearNext, farNext := m.intervals()
		if near >= nearNext {
			near = 0
			m.sendTo(m.heartbeat(nearNext), m.isNear)
		}
		if m.active() && far >= farNext {
			far = 0
			m.sendTo(m.heartbeat(farNext), func(in membership.Instance) bool { return !m.isNear(in) })
		}
		if forgotten >= forgetInterval {
			forgotten = 0
			m.directory.Forget()
		}
	}
}

// intervals returns the times between the heartbeats to the own zone and to
// others. What does not beat to other zones is not missed there.
func (m *Mesh) intervals() (near, far time.Duration) {
	if m.active() {
		return activeInterval, farInterval
	}
	return idleInterval, idleInterval
}

// isNear returns whether the instance is in the own zone.
func (m *Mesh) isNear(in membership.Instance) bool { return in.Zone == m.directory.Self().Zone }

// heartbeat returns a packet without what does not change. It announces the next
// one after the interval.
func (m *Mesh) heartbeat(interval time.Duration) *peerpb.Packet {
	return &peerpb.Packet{Sender: heartbeatToWire(m.directory.Self()), IntervalMs: uint32(interval.Milliseconds())}
}

// Introduce tells every known instance of this one. Those of the own zone and
// the seeds are asked for a packet in return; of other zones it is enough to
// know the instances that callers are sent to, which beat by themselves.
func (m *Mesh) Introduce() {
	m.sendTo(&peerpb.Packet{Hello: true}, m.isNear)
	m.sendTo(&peerpb.Packet{}, func(in membership.Instance) bool { return !m.isNear(in) })
	m.greetSeeds()
}

func (m *Mesh) greetSeeds() {
	self := m.directory.Self()
	for _, seed := range m.seeds {
		if seed != self.PeerAddress {
			m.send(&peerpb.Packet{Hello: true}, seed)
		}
	}
}

// Announce tells the instances of the zone at once that the state of this one
// has changed. The others hear it with the next heartbeat.
func (m *Mesh) Announce() { m.announce(false) }

func (m *Mesh) announce(everywhere bool) {
	m.sendTo(&peerpb.Packet{}, func(in membership.Instance) bool { return everywhere || m.isNear(in) })
}

// AnnounceVersion tells the instances of the zone at once which configuration
// this one has, and those that pass news on in other zones where it is the first
// to have it.
func (m *Mesh) AnnounceVersion(first bool) {
	near, far := m.intervals()
	m.sendTo(m.heartbeat(near), m.isNear)
	if first {
		m.sendToLeads(m.heartbeat(far))
	}
}

// AnnounceLeaving tells the instances several times that this one leaves, to
// which callers were sent or not.
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

// Spread sends news of the registry to the instances of the own zone, or of all
// zones. Each datagram covers a range of offsets of its own, so that a lost one
// shows.
func (m *Mesh) Spread(news News, offsets []int64, everywhere bool) {
	for len(news.Changes) > MaxNewsChanges {
		part := News{From: news.From, To: offsets[MaxNewsChanges], Changes: news.Changes[:MaxNewsChanges], SinceOutage: news.SinceOutage}
		m.sendNews(part, everywhere)
		news.From, news.Changes, offsets = part.To, news.Changes[MaxNewsChanges:], offsets[MaxNewsChanges:]
	}
	m.sendNews(news, everywhere)
}

func (m *Mesh) sendNews(news News, everywhere bool) {
	near, far := m.intervals()
	packet := m.heartbeat(near)
	packet.News = newsToWire(news)
	m.sendTo(packet, m.isNear)
	if everywhere {
		packet.PassOn, packet.IntervalMs = true, uint32(far.Milliseconds())
		m.sendToLeads(packet)
	}
}

// sendToLeads sends a packet to the instances that pass news on to their zones.
func (m *Mesh) sendToLeads(packet *peerpb.Packet) {
	data := m.encode(packet)
	for _, in := range m.directory.Leads(leadsOfZone) {
		m.write(data, in.PeerAddress)
	}
}

// passOn sends a packet of another zone to the instances of the own one. They
// hear of a new configuration once it can be read within the zone.
func (m *Mesh) passOn(packet *peerpb.Packet) {
	packet.PassOn, packet.PassedOn = false, true
	packet.Sender.ConfigVersion = min(packet.Sender.GetConfigVersion(), m.directory.Self().ConfigVersion)
	m.sendTo(packet, m.isNear)
}

func (m *Mesh) sendTo(packet *peerpb.Packet, chosen func(membership.Instance) bool) {
	var data []byte
	for _, in := range m.directory.Peers() {
		if !chosen(in) {
			continue
		}
		if data == nil {
			data = m.encode(packet)
		}
		m.write(data, in.PeerAddress)
	}
}

func (m *Mesh) send(packet *peerpb.Packet, to netip.AddrPort) { m.write(m.encode(packet), to) }

func (m *Mesh) encode(packet *peerpb.Packet) []byte {
	if packet.Sender == nil {
		packet.Sender = instanceToWire(m.directory.Self())
		_, far := m.intervals()
		packet.IntervalMs = uint32(far.Milliseconds())
	}
	packet.Clock = uint64(m.clock.Now())
	data, err := proto.Marshal(packet)
	if err != nil {
		m.logger.WithError(err).Error("message to other instances cannot be encoded")
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
		m.sendErrors.Add(1) // the next heartbeat tries again
		return
	}
	m.packetsOut.Add(1)
	m.bytesOut.Add(uint64(n))
}

func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) error {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// A port without a listener at a peer shows as an error of the socket.
			m.sendErrors.Add(1)
			continue
		}
		m.packetsIn.Add(1)
		m.bytesIn.Add(uint64(n))
		if err := m.handle(buf[:n], from); err != nil {
			m.malformed.Add(1)
			m.logger.WithError(err).WithField("from", from.String()).Warn("datagram of an instance was dropped")
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
	known := m.directory.Hear(sender, time.Duration(packet.GetIntervalMs())*time.Millisecond)
	if packet.GetNews() != nil {
		news, err := newsFromWire(packet.GetNews())
		if err != nil {
			return err
		}
		news.Version = sender.ConfigVersion
		m.onNews(news)
	}
	if packet.GetPassOn() {
		m.passOn(&packet)
	}
	if packet.GetPassedOn() {
		return nil // the packet came from another instance than its sender
	}
	if packet.GetHello() || !known {
		m.send(&peerpb.Packet{Hello: !known}, from)
	}
	return nil
}

// Stats returns the counters.
func (m *Mesh) Stats() Stats {
	return Stats{
		PacketsIn: m.packetsIn.Load(), PacketsOut: m.packetsOut.Load(), BytesIn: m.bytesIn.Load(),
		BytesOut: m.bytesOut.Load(), Malformed: m.malformed.Load(), SendErrors: m.sendErrors.Load(),
	}
}
