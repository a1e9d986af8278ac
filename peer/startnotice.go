package peer

import (
	"net/netip"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

// maxNoticeInstances limits the instances in a notice, so that it is not fragmented by
// the network and hundreds of notices pass a slow link in a few milliseconds.
const maxNoticeInstances = 3

// StartNotice tells a starting instance through which ones it can join.
type StartNotice struct {
	// Loading is set while the sender still reads its state from the store.
	Loading bool
	// Instances is the number of instances that the sender notifies.
	Instances int
	// Ready are other instances that have the state, of which the first few are sent.
	Ready []membership.Sighting
}

// WithOnStartNotice sets the function that receives the notices of other instances. It
// is called after the directory has their content.
func WithOnStartNotice(fn func(sender membership.Instance, notice StartNotice)) Option {
	return func(m *Mesh) { m.onStartNotice = fn }
}

// Notify sends a notice to each address in turn. Before each datagram it calls wait with
// its size, and ends if that returns false.
func (m *Mesh) Notify(notice StartNotice, to []netip.AddrPort, wait func(size int) bool) {
	packet := &peerpb.Packet{StartNotice: &peerpb.StartNotice{Loading: notice.Loading, Instances: int32(notice.Instances)}}
	for _, s := range notice.Ready[:min(len(notice.Ready), maxNoticeInstances)] {
		packet.Joined = append(packet.Joined, sightingToWire(s))
	}
	data := m.encode(packet)
	for _, address := range to {
		if !wait(len(data)) {
			return
		}
		m.write(data, address)
	}
}

func (m *Mesh) handleStartNotice(sender membership.Instance, packet *peerpb.Packet) {
	notice := packet.GetStartNotice()
	if notice == nil || sender.ID == m.directory.Self().ID {
		return
	}
	m.onStartNotice(sender, StartNotice{Loading: notice.GetLoading(), Instances: int(notice.GetInstances())})
}
