package peer

import (
	"fmt"
	"net/netip"
	"time"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
	"rhubarbrelay/timeline"
)

const (
	// maxNameBytes bounds ids and zones, so that a full batch fits a frame.
	maxNameBytes = 64
	// batchSize is the largest number of instances, and of targets, in one
	// frame. An instance with two names of the largest size and three IPv6
	// addresses takes about 300 bytes.
	batchSize = 128
	// maxClockLead bounds how far a stamp may be ahead of the local time. A
	// stamp from a faulty clock would otherwise outrank all later ones.
	maxClockLead = time.Minute
)

func encodeState(s membership.State) peerpb.State { return peerpb.State(s + 1) }

func decodeState(s peerpb.State) (membership.State, error) {
	if s <= peerpb.State_STATE_UNSPECIFIED || s > peerpb.State_STATE_DEAD {
		return 0, fmt.Errorf("%w: instance state %d", ErrForeign, s)
	}
	return membership.State(s - 1), nil
}

func encodeInstance(in membership.Instance) *peerpb.InstanceInfo {
	return &peerpb.InstanceInfo{
		Id: in.ID, Zone: in.Zone, Incarnation: in.Incarnation,
		CallerAddress: encodeAddress(in.CallerAddress),
		PeerAddress:   encodeAddress(in.PeerAddress),
		AdminAddress:  encodeAddress(in.AdminAddress),
		State:         encodeState(in.State), Sequence: in.Sequence,
	}
}

func decodeInstance(m *peerpb.InstanceInfo) (membership.Instance, error) {
	if m.GetId() == "" || len(m.GetId()) > maxNameBytes || len(m.GetZone()) > maxNameBytes {
		return membership.Instance{}, fmt.Errorf("%w: instance id %.80q, zone %.80q", ErrForeign, m.GetId(), m.GetZone())
	}
	state, err := decodeState(m.GetState())
	if err != nil {
		return membership.Instance{}, err
	}
	in := membership.Instance{
		ID: m.GetId(), Zone: m.GetZone(), Incarnation: m.GetIncarnation(),
		State: state, Sequence: m.GetSequence(),
	}
	for _, field := range []struct {
		text    string
		address *netip.AddrPort
	}{
		{m.GetCallerAddress(), &in.CallerAddress},
		{m.GetPeerAddress(), &in.PeerAddress},
		{m.GetAdminAddress(), &in.AdminAddress},
	} {
		if *field.address, err = decodeAddress(field.text); err != nil {
			return membership.Instance{}, err
		}
	}
	return in, nil
}

func encodeAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func decodeAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, fmt.Errorf("%w: address %.80q", ErrForeign, text)
	}
	return a, nil
}

func encodeInstances(all []membership.Instance) []*peerpb.InstanceInfo {
	out := make([]*peerpb.InstanceInfo, 0, len(all))
	for _, in := range all {
		out = append(out, encodeInstance(in))
	}
	return out
}

func encodeTargets(all []membership.TargetReport) []*peerpb.TargetNews {
	out := make([]*peerpb.TargetNews, 0, len(all))
	for _, t := range all {
		out = append(out, &peerpb.TargetNews{
			Address: t.Address.String(), Draining: t.Draining, Clock: uint64(t.Stamp),
		})
	}
	return out
}

// decodeNews returns the reports. It leaves out targets with a stamp from a
// clock that is far ahead.
func decodeNews(instances []*peerpb.InstanceInfo, targets []*peerpb.TargetNews, now time.Time) (membership.News, error) {
	var news membership.News
	for _, m := range instances {
		in, err := decodeInstance(m)
		if err != nil {
			return news, err
		}
		news.Instances = append(news.Instances, in)
	}
	for _, m := range targets {
		a, err := decodeAddress(m.GetAddress())
		if err != nil {
			return news, err
		}
		stamp := timeline.Stamp(m.GetClock())
		if stamp.Time().After(now.Add(maxClockLead)) {
			continue
		}
		news.Targets = append(news.Targets, membership.TargetReport{Address: a, Draining: m.GetDraining(), Stamp: stamp})
	}
	return news, nil
}

// batches splits news into parts that fit a frame.
func batches(news membership.News) []membership.News {
	var all []membership.News
	for !news.Empty() {
		i := min(batchSize, len(news.Instances))
		t := min(batchSize, len(news.Targets))
		all = append(all, membership.News{Instances: news.Instances[:i], Targets: news.Targets[:t]})
		news = membership.News{Instances: news.Instances[i:], Targets: news.Targets[t:]}
	}
	return all
}
