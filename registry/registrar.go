package registry

import (
	"context"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
)

// deregisterTimeout limits the call that removes the registration of this
// instance at shutdown.
const deregisterTimeout = time.Second

// Registrar registers this instance in the store and reads the registrations of
// the others.
type Registrar struct {
	store     Store
	directory *membership.Directory
	logger    log.Interface
}

// NewRegistrar returns a registrar that registers the instance directory.Self() and
// adds the other registered instances to the directory.
func NewRegistrar(store Store, directory *membership.Directory, logger log.Interface) *Registrar {
	return &Registrar{store: store, directory: directory, logger: logger}
}

// Register registers this instance and then reads all registrations. In this
// order, at least one of two instances that start at the same time finds the
// other. It retries until it succeeds or the context ends.
func (r *Registrar) Register(ctx context.Context) {
	retryDelay := backoff{rank: r.directory.Rank}
	for ctx.Err() == nil {
		err := r.registerOnce(ctx)
		if err == nil {
			return
		}
		r.logger.WithError(err).Warn("instance could not be registered or the other instances could not be listed, retrying")
		retryDelay.wait(ctx)
	}
}

func (r *Registrar) registerOnce(ctx context.Context) error {
	self := r.directory.Self()
	value, err := peer.EncodeInstance(self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.store.Append(ctx, platform.InstanceTopic, self.ID, value); err != nil {
		return err
	}
	batch, err := r.store.Newest(ctx, platform.InstanceTopic)
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		if record.Value == nil || record.Key == self.ID {
			continue
		}
		instance, err := peer.DecodeInstance(record.Value)
		if err != nil {
			r.logger.WithError(err).WithField("key", record.Key).Warn("registration of another instance is invalid and ignored")
			continue
		}
		r.directory.AddRegistered(instance)
	}
	r.directory.SetListed()
	return nil
}

// Deregister removes the registration of this instance. If that fails, the
// registration stays in the store, and instances that start later send packets to
// its address until they remove the instance from their directories.
func (r *Registrar) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := r.store.Append(ctx, platform.InstanceTopic, r.directory.Self().ID, nil); err != nil {
		r.logger.WithError(err).Warn("instance could not be deregistered")
	}
}
