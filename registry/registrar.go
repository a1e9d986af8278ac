package registry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
)

const (
	// registeredPerZone is the number of instances of each zone that are registered.
	// Starting instances find the others through them if no seed responds. There is
	// more than one, so that some are alive after the failure of others.
	registeredPerZone = 3
	// registrationCheckInterval is the mean time between two checks whether this instance
	// has become one of them.
	registrationCheckInterval = time.Second
	// registerTimeout limits the call that registers this instance. The store appends
	// the records of a topic one after the other: when many instances register at the
	// same time, a call waits for those before it, and repeating it would make all of
	// them wait longer. The store itself rejects a call that would wait 2 s.
	registerTimeout = 3 * time.Second
	// deregisterTimeout limits the call that removes the registration of this
	// instance at shutdown.
	deregisterTimeout = time.Second
)

// Registrar registers this instance in the store and reads the registrations of
// the others.
type Registrar struct {
	store     Store
	directory *membership.Directory
	logger    log.Interface
	// attempted is set before the first call that registers this instance, which the
	// store may execute even if it fails.
	attempted atomic.Bool
	// registeredCount is the number of instances of the zone in the registration, 0 if
	// there is none.
	registeredCount atomic.Int64
	peers           peerList
	// storeEra returns the era of the store, 0 if it is not known. The store states the
	// era in which it has registered or removed this instance.
	storeEra                  func() int64
	registeredEra, removedEra atomic.Int64
	// leaving is set by Deregister.
	leaving atomic.Bool
}

// RegistrarOption changes an optional property of a Registrar.
type RegistrarOption func(*Registrar)

// WithStoreEra sets the function that returns the era of the store, 0 if it is not
// known.
func WithStoreEra(era func() int64) RegistrarOption { return func(r *Registrar) { r.storeEra = era } }

// NewRegistrar returns a registrar that registers the instance directory.Self() and
// adds the other registered instances to the directory.
func NewRegistrar(store Store, directory *membership.Directory, logger log.Interface, options ...RegistrarOption) *Registrar {
	r := &Registrar{store: store, directory: directory, logger: logger, storeEra: func() int64 { return 0 }}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run keeps this instance registered while it is among the first registeredPerZone
// instances of its zone that are presumed alive, by ID, until the context ends. It
// registers it again when the number of instances of the zone has doubled or halved,
// and after the store was restored from a copy, which may lack the registration. After
// Deregister it only removes a registration that such a copy contains again.
func (r *Registrar) Run(ctx context.Context) error {
	retryDelay := backoff{rank: r.directory.Rank}
	for {
		sleep(ctx, registrationCheckInterval/2+rand.N(registrationCheckInterval))
		if ctx.Err() != nil {
			return nil
		}
		if r.leaving.Load() {
			if r.removedEra.Load() > 0 && r.storeEra() > r.removedEra.Load() {
				r.remove(ctx)
			}
			continue
		}
		if r.directory.ZoneRank() >= registeredPerZone || !r.outdated() {
			continue
		}
		if err := r.registerAgain(ctx); err != nil {
			r.logger.WithError(err).Warn("instance could not be registered, retrying")
			retryDelay.wait(ctx)
			continue
		}
		retryDelay.reset()
	}
}

// outdated reports whether this instance is not registered, or with at most half or at
// least twice the number of instances of the zone that it knows, or without some that it
// has known for a while.
func (r *Registrar) outdated() bool {
	registered, known := r.registeredCount.Load(), int64(r.directory.ZoneCount())
	return known >= 2*registered || 2*known <= registered || r.storeEra() > r.registeredEra.Load() ||
		r.peers.outdated(r.directory.ZonePeers())
}

// registerAgain registers this instance. If the store was restored since it was
// registered, it also reads all registrations: an instance that has started meanwhile
// found none.
func (r *Registrar) registerAgain(ctx context.Context) error {
	previousEra := r.registeredEra.Load()
	if err := r.register(ctx); err != nil {
		return err
	}
	if previousEra == 0 || r.registeredEra.Load() == previousEra {
		return nil
	}
	if _, err := r.List(ctx); err != nil {
		r.registeredEra.Store(previousEra) // the next check registers and reads again
		return err
	}
	return nil
}

// Register registers this instance and then reads all registrations. In this
// order, at least one of two instances that start at the same time finds the
// other. It retries until it succeeds or the context ends.
func (r *Registrar) Register(ctx context.Context) {
	retryDelay := backoff{rank: r.directory.Rank}
	for ctx.Err() == nil {
		err := r.register(ctx)
		if err == nil {
			_, err = r.List(ctx)
		}
		if err == nil {
			return
		}
		r.logger.WithError(err).Warn("instance could not be registered or the other instances could not be listed, retrying")
		retryDelay.wait(ctx)
	}
}

// register registers this instance.
func (r *Registrar) register(ctx context.Context) error {
	self, known := r.directory.Self(), r.directory.ZoneCount()
	peers := r.peers.merge(r.directory.ZonePeers())
	value, err := peer.EncodeRegistration(self, known, peers...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	r.attempted.Store(true)
	era := r.storeEra()
	end, err := r.store.Append(ctx, platform.InstanceTopic, self.ID, value)
	if err != nil {
		return err
	}
	// The era that was known may be wrong, if another instance has reported it.
	r.registeredEra.Store(max(era, end.Era))
	r.registeredCount.Store(int64(known))
	r.peers.setRegistered(peers)
	return nil
}

// Listing is what the registrations tell of the deployment.
type Listing struct {
	// Size is the number of instances: the sum over the zones of the highest number that
	// a registration of the zone states.
	Size int
	// Peers are the addresses at which the instances receive packets, by zone. This
	// instance is not among them.
	Peers map[string][]netip.AddrPort
}

// List adds all registered instances to the directory and returns what the registrations
// tell.
func (r *Registrar) List(ctx context.Context) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := r.store.Newest(ctx, platform.InstanceTopic)
	if err != nil {
		return Listing{}, err
	}
	self := r.directory.Self()
	zoneSizes, listing := map[string]int{}, Listing{Peers: map[string][]netip.AddrPort{}}
	for _, record := range batch.Records {
		if record.Value == nil {
			continue
		}
		registration, err := peer.DecodeRegistration(record.Value)
		if err != nil {
			r.logger.WithError(err).WithField("key", record.Key).Warn("registration of another instance is invalid and ignored")
			continue
		}
		in := registration.Instance
		zoneSizes[in.Zone] = max(zoneSizes[in.Zone], registration.ZoneInstances)
		listing.Peers[in.Zone] = append(append(listing.Peers[in.Zone], registration.ZonePeers...), in.PeerAddress)
		if record.Key != self.ID {
			r.directory.AddRegistered(in)
		}
	}
	r.directory.SetListed()
	for zone, n := range zoneSizes {
		listing.Size += n
		listing.Peers[zone] = uniqueAddresses(listing.Peers[zone], self.PeerAddress)
	}
	r.peers.setListed(listing.Peers[self.Zone])
	return listing, nil
}

// Deregister removes the registration of this instance, if it may have one. If that
// fails, the registration stays in the store, and instances that start later send
// packets to its address until they remove the instance from their directories.
func (r *Registrar) Deregister(ctx context.Context) {
	r.leaving.Store(true)
	if r.attempted.Load() {
		r.remove(ctx)
	}
}

func (r *Registrar) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	end, err := r.store.Append(ctx, platform.InstanceTopic, r.directory.Self().ID, nil)
	if err != nil {
		r.logger.WithError(err).Warn("instance could not be deregistered")
		return
	}
	r.removedEra.Store(end.Era)
}
