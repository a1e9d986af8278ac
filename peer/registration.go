package peer

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

// maxRegisteredPeers limits the addresses in a registration. With 19 bytes each they
// take less than a third of the 262,144 bytes that the store accepts.
const maxRegisteredPeers = 4096

// Registration is the record of an instance in the store.
type Registration struct {
	Instance membership.Instance
	// ZoneInstances is the number of instances of its zone that it knew.
	ZoneInstances int
	// ZonePeers are the addresses at which these receive packets. Older releases state
	// none.
	ZonePeers []netip.AddrPort
}

// EncodeRegistration encodes the registration of an instance in the store.
// zoneInstances is the number of instances of its zone that it knows, zonePeers are
// the addresses at which these receive packets.
func EncodeRegistration(in membership.Instance, zoneInstances int, zonePeers ...netip.AddrPort) ([]byte, error) {
	m := instanceToWire(in)
	m.ZoneInstances = int32(zoneInstances)
	for _, address := range zonePeers[:min(len(zonePeers), maxRegisteredPeers)] {
		data, err := address.MarshalBinary()
		if err != nil {
			return nil, err
		}
		m.ZonePeers = append(append(m.ZonePeers, byte(len(data))), data...)
	}
	return proto.Marshal(m)
}

// DecodeRegistration decodes a registration. The error wraps ErrMalformed.
func DecodeRegistration(data []byte) (Registration, error) {
	var m peerpb.Instance
	if err := proto.Unmarshal(data, &m); err != nil {
		return Registration{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	in, err := instanceFromWire(&m)
	if err != nil {
		return Registration{}, err
	}
	peers, err := addressesFromWire(m.GetZonePeers())
	return Registration{Instance: in, ZoneInstances: int(m.GetZoneInstances()), ZonePeers: peers}, err
}

func addressesFromWire(data []byte) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for len(data) > 0 {
		length := int(data[0])
		if length >= len(data) {
			return nil, fmt.Errorf("%w: truncated address in a registration", ErrMalformed)
		}
		var address netip.AddrPort
		if err := address.UnmarshalBinary(data[1 : 1+length]); err != nil {
			return nil, fmt.Errorf("%w: invalid address in a registration: %w", ErrMalformed, err)
		}
		if !address.IsValid() {
			return nil, fmt.Errorf("%w: empty address in a registration", ErrMalformed)
		}
		addresses, data = append(addresses, address), data[1+length:]
	}
	return addresses, nil
}
