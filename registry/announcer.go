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

// Announcer registers this instance in the store and reads the registrations of
// the others.
type Announcer struct {
	store     Store
	directory *membership.Directory
	logger    log.Interface
}

// NewAnnouncer returns an announcer for the instance that owns the directory.
func NewAnnouncer(store Store, directory *membership.Directory, logger log.Interface) *Announcer {
	return &Announcer{store: store, directory: directory, logger: logger}
}

// Announce registers this instance and then reads all registrations. In this
// order, at least one of two instances that start at the same time finds the
// other. It retries until it succeeds or the context ends.
func (a *Announcer) Announce(ctx context.Context) {
	retryDelay := backoff{rank: a.directory.Rank}
	for ctx.Err() == nil {
		err := a.registerOnce(ctx)
		if err == nil {
			return
		}
		a.logger.WithError(err).Warn("instance could not be registered, retrying")
		retryDelay.wait(ctx)
	}
}

func (a *Announcer) registerOnce(ctx context.Context) error {
	self := a.directory.Self()
	value, err := peer.EncodeInstance(self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.store.Append(ctx, platform.InstanceTopic, self.ID, value); err != nil {
		return err
	}
	batch, err := a.store.Newest(ctx, platform.InstanceTopic)
	if err != nil {
		return err
	}
	for _, r := range batch.Records {
		if r.Value == nil || r.Key == self.ID {
			continue
		}
		instance, err := peer.DecodeInstance(r.Value)
		if err != nil {
			a.logger.WithError(err).WithField("key", r.Key).Warn("registration of an instance is invalid")
			continue
		}
		a.directory.AddRegistered(instance)
	}
	a.directory.SetListed()
	return nil
}

// Withdraw removes the registration of this instance. If that fails, the entry
// stays in the store and the other instances send it a datagram from time to
// time.
func (a *Announcer) Withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := a.store.Append(ctx, platform.InstanceTopic, a.directory.Self().ID, nil); err != nil {
		a.logger.WithError(err).Warn("instance could not be deregistered")
	}
}
