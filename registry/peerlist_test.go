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

// Guards against registrations that lack most instances of a zone that has grown, and
// against a call to the store for each change.
func TestPeersAreRegistered(t *testing.T) {
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
		for i := 1; i < 50; i++ {
			d.RecordPacket(membership.Instance{ID: fmt.Sprintf("b-%02d", i), Zone: "a", PeerAddress: address(i)}, time.Hour)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * peersStableFor)
		listing, err := NewRegistrar(store, membership.NewDirectory(membership.Instance{ID: "x", Zone: "x"}), discardLogger).List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Peers["a"]), 50)
		calls := store.appendCount()
		assert.Assert(t, calls <= 8, "%d calls", calls)

		d.RecordPacket(membership.Instance{ID: "c", Zone: "a", PeerAddress: address(60)}, time.Hour) // one of 51
		time.Sleep(2 * peersStableFor)
		assert.Equal(t, store.appendCount(), calls)
		cancel()
		running.Wait()
	})
}
