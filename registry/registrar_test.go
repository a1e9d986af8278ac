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
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
)

// Guards against a store call for the registration of each of hundreds of instances,
// and against a zone without registered instances after those have failed: instances
// that start later would not find the others.
func TestOnlyFirstInstancesAreRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 20
		store := newFakeStore()
		address := netip.MustParseAddrPort("10.0.0.1:80")
		directories := make([]*membership.Directory, instances)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for i := range instances {
			self := membership.Instance{ID: fmt.Sprintf("i-%02d", i), Zone: "a", Incarnation: 1, PeerAddress: address}
			directories[i] = membership.NewDirectory(self)
		}
		const interval = time.Minute
		for _, d := range directories {
			for _, other := range directories {
				d.RecordPacket(other.Self(), interval)
			}
			registrar := NewRegistrar(store, d, discardLogger)
			running.Go(func() { assert.Check(t, registrar.Run(ctx)) })
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, store.appendCount(), registeredPerZone)

		for _, d := range directories[registeredPerZone:] {
			for i := range registeredPerZone {
				leaving := directories[i].Self()
				leaving.State = membership.Leaving
				d.RecordPacket(leaving, interval)
			}
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, store.appendCount(), 2*registeredPerZone)
		cancel()
		running.Wait()
	})
}

// Guards against registrations that state a number of instances of long ago, by which
// starting instances decide whether all of them may read the store.
func TestRegistrationFollowsSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		address := netip.MustParseAddrPort("10.0.0.1:80")
		d := membership.NewDirectory(membership.Instance{ID: "a", Zone: "a", PeerAddress: address, CallerAddress: address, AdminAddress: address})
		registrar := NewRegistrar(store, d, discardLogger)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { assert.Check(t, registrar.Run(ctx)) })
		for i, want := range []int{1, 2, 2, 4, 4, 4, 4, 8} {
			time.Sleep(10 * time.Second)
			listing, err := registrar.List(ctx)
			assert.NilError(t, err)
			assert.Equal(t, listing.Size, want, "with %d instances", i+1)
			d.RecordPacket(membership.Instance{ID: fmt.Sprint("a-", i), Zone: "a", PeerAddress: address}, time.Hour)
		}
		assert.Equal(t, store.appendCount(), 4)
		cancel()
		running.Wait()
	})
}

// Guards against a size of the deployment that counts only the own zone, or a zone for
// each of its registrations.
func TestListedSize(t *testing.T) {
	store := newFakeStore()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	for _, r := range []struct {
		id, zone string
		size     int
	}{{"a-1", "a", 1}, {"a-2", "a", 20}, {"b-1", "b", 30}, {"c-1", "c", 25}, {"c-2", "c", 25}} {
		value, err := peer.EncodeRegistration(membership.Instance{ID: r.id, Zone: r.zone, PeerAddress: address, CallerAddress: address, AdminAddress: address}, r.size)
		assert.NilError(t, err)
		store.put(platform.InstanceTopic, r.id, string(value))
	}
	directory := membership.NewDirectory(membership.Instance{ID: "a-3", Zone: "a"})
	listing, err := NewRegistrar(store, directory, discardLogger).List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, listing.Size, 20+30+25)
	assert.Equal(t, directory.Count(), 1+5)
}

// Guards against a call that removes a registration which was never written, and
// against a registration that stays because its call seemed to have failed.
func TestDeregister(t *testing.T) {
	tests := []struct {
		name     string
		register func(r *Registrar, s *fakeStore)
		calls    int
	}{
		{"never registered", func(*Registrar, *fakeStore) {}, 0},
		{"registered", func(r *Registrar, _ *fakeStore) { _ = r.register(context.Background()) }, 1},
		{"outcome unknown", func(r *Registrar, s *fakeStore) {
			s.fail(errResponseLost)
			_ = r.register(context.Background())
			s.fail(nil)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := newFakeStore()
			directory := membership.NewDirectory(membership.Instance{ID: "a", Zone: "a", Incarnation: 2})
			r := NewRegistrar(store, directory, discardLogger)
			tt.register(r, store)
			before := store.appendCount()
			r.Deregister(context.Background())
			assert.Equal(t, store.appendCount()-before, tt.calls)
			batch, err := store.Newest(context.Background(), platform.InstanceTopic)
			assert.NilError(t, err)
			assert.Equal(t, len(batch.Records), 0)
		})
	}
}
