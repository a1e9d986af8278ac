package peer

import (
	"fmt"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"rhubarbrelay/limits"
	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

const (
	// maxPacketSize limits the size of a datagram with demands in bytes, so that it is not
	// fragmented by the network.
	maxPacketSize = 1400
	// demandSize is the size in bytes of the demand of a tenant at most, and demandOverhead
	// that of the clock and of the lengths of the lists.
	demandSize     = 18
	demandOverhead = 40
	// hundredth is the unit of demands on the wire.
	hundredth = 0.01
)

// WithOnDemands sets the function that receives the demands that other instances report.
func WithOnDemands(fn func(limits.DemandReport)) Option { return func(m *Mesh) { m.onDemands = fn } }

// SendDemands sends a report of this instance to the instances with the IDs.
func (m *Mesh) SendDemands(report limits.DemandReport, to []string) {
	local, remote := m.intervals()
	receives := func(in membership.Instance) bool { return slices.Contains(to, in.ID) }
	heartbeat := m.heartbeat(remote)
	perPacket := max(1, (maxPacketSize-demandOverhead-proto.Size(heartbeat))/demandSize)
	for first := 0; first == 0 || first < len(report.Demands); first += perPacket {
		part := demandsToWire(report, report.Demands[first:min(first+perPacket, len(report.Demands))])
		packet := m.heartbeat(local)
		packet.Demands = part
		m.sendTo(packet, func(in membership.Instance) bool { return receives(in) && m.isLocal(in) })
		packet = m.heartbeat(remote)
		packet.Demands = part
		m.sendTo(packet, func(in membership.Instance) bool { return receives(in) && !m.isLocal(in) })
	}
}

// handleDemands passes on the demands in a packet.
func (m *Mesh) handleDemands(packet *peerpb.Packet, sender membership.Instance) error {
	if packet.GetDemands() == nil {
		return nil
	}
	report, err := demandsFromWire(packet.GetDemands())
	if err != nil {
		return err
	}
	report.Instance, report.Incarnation, report.Leaving = sender.ID, sender.Incarnation, sender.State == membership.Leaving
	m.onDemands(report)
	return nil
}

func demandsToWire(report limits.DemandReport, demands []limits.TenantDemand) *peerpb.Demands {
	message := &peerpb.Demands{Idle: report.Idle}
	for _, d := range demands {
		message.Tenants = append(message.Tenants, d.Tenant)
		message.PerSecondHundredths = append(message.PerSecondHundredths, uint32(min(math.MaxUint32, math.Ceil(d.PerSecond/hundredth))))
		message.Admitted = append(message.Admitted, d.Admitted)
	}
	return message
}

func demandsFromWire(message *peerpb.Demands) (limits.DemandReport, error) {
	report := limits.DemandReport{Idle: message.GetIdle()}
	perSecond, admitted := message.GetPerSecondHundredths(), message.GetAdmitted()
	if n := len(message.GetTenants()); len(perSecond) != n || len(admitted) != n {
		return limits.DemandReport{}, fmt.Errorf("%w: %d demands and %d counts of %d tenants", ErrMalformed, len(perSecond), len(admitted), n)
	}
	for i, tenant := range message.GetTenants() {
		report.Demands = append(report.Demands, limits.TenantDemand{Tenant: tenant, PerSecond: float64(perSecond[i]) * hundredth, Admitted: admitted[i]})
	}
	return report, nil
}
