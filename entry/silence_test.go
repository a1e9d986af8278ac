package entry

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// Guards against entry responses that name an instance more than 6 s after it was killed.
// One that was not active is considered dead only 7.8 s after its last packet, and takes
// the place of the active ones that were killed with it.
func TestKilledInstancesAreNotNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const killed = 4
		address := func(i int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i)) }
		instance := func(i int) membership.Instance {
			return membership.Instance{
				ID: fmt.Sprintf("a-%d", i), Zone: "a", Incarnation: 1, State: membership.Ready,
				CallerAddress: address(i), PeerAddress: address(i), AdminAddress: address(i),
			}
		}
		d := membership.NewDirectory(instance(killed + 1))
		s := NewSelector(d, WithSilence(d.Silence))
		for i := 1; i <= killed; i++ {
			interval := coldModelInactive
			if i <= minActive {
				interval = coldModelActive
			}
			d.RecordPacket(instance(i), interval)
		}
		assert.Equal(t, len(s.Select("a")), minActive)
		time.Sleep(2 * time.Second) // the others that were not active take over
		assert.Equal(t, len(s.Select("a")), minActive)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if elapsed := 6 * time.Second; d.Silence("a-1") >= elapsed {
				assert.Equal(t, fmt.Sprint(s.Select("a")), fmt.Sprint([]netip.AddrPort{address(killed + 1)}))
			}
		}
	})
}
