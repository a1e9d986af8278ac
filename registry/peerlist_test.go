package registry

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
)

// Guards against registrations that lack more instances of a zone that has grown than may
// be missing, and against a call to the store for each change. When the zone doubles, it is
// registered at once, so that chance decides whether a few are missing afterwards.
func TestPeersAreRegistered(t *testing.T) {
	const instances = 50
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		address := func(i int) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		}
		d := membership.NewDirectory(membership.Instance{ID: "a", Zone: "a", PeerAddress: address(0), CallerAddress: address(0), AdminAddress: address(0)})
		registrar := NewRegistrar(store, d, discardLogger)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, registrar.Run(ctx)) })
		defer running.Wait() // also after a failed check: no goroutine may outlast the test
		defer cancel()
		mayLack := func(missing, known int) bool { return float64(missing) < unregisteredFraction*float64(known) }
		missing := func(known int) int {
			listing, err := NewRegistrar(store, membership.NewDirectory(membership.Instance{ID: "x", Zone: "x"}), discardLogger).List(ctx)
			assert.NilError(t, err)
			return known - len(listing.Peers["a"])
		}
		for i := 1; i < instances; i++ {
			d.RecordPacket(membership.Instance{ID: fmt.Sprintf("b-%02d", i), Zone: "a", PeerAddress: address(i)}, time.Hour)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * peersStableFor)
		before, calls := missing(instances), store.appendCount()
		assert.Assert(t, mayLack(before, instances), "%d of %d are missing", before, instances)
		assert.Assert(t, calls <= 8, "%d calls", calls)

		d.RecordPacket(membership.Instance{ID: "c", Zone: "a", PeerAddress: address(60)}, time.Hour)
		time.Sleep(2 * peersStableFor)
		if mayLack(before+1, instances+1) {
			assert.Equal(t, store.appendCount(), calls)
			assert.Equal(t, missing(instances+1), before+1)
			return
		}
		assert.Equal(t, store.appendCount(), calls+1)
		assert.Equal(t, missing(instances+1), 0)
	})
}
