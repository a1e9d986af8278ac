package registry

import (
	"context"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
)

// withdrawTimeout bounds the attempts to withdraw the own entry at a stop.
const withdrawTimeout = time.Second

// Announcer registers this instance in the store and reads which others have
// done so.
type Announcer struct {
	store     Store
	directory *membership.Directory
	logger    log.Interface
}

// NewAnnouncer returns an announcer of the directory's own instance.
func NewAnnouncer(store Store, directory *membership.Directory, logger log.Interface) *Announcer {
	return &Announcer{store: store, directory: directory, logger: logger}
}

// Announce writes the own entry, then reads all, so that of two instances that
// start at once one sees the other. It tries until the context ends.
func (a *Announcer) Announce(ctx context.Context) {
	pause := backoff{rank: a.directory.Rank}
	for ctx.Err() == nil {
		err := a.announce(ctx)
		if err == nil {
			return
		}
		a.logger.WithError(err).Warn("instance could not be registered, trying again")
		pause.wait(ctx)
	}
}

func (a *Announcer) announce(ctx context.Context) error {
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
		in, err := peer.DecodeInstance(r.Value)
		if err != nil {
			a.logger.WithError(err).WithField("key", r.Key).Warn("entry names no instance")
			continue
		}
		a.directory.List(in)
	}
	a.directory.EndListing()
	return nil
}

// Withdraw drops the own entry. A failure leaves an entry whose instance is not
// heard, which costs the others a datagram at times.
func (a *Announcer) Withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	if err := a.store.Append(ctx, platform.InstanceTopic, a.directory.Self().ID, nil); err != nil {
		a.logger.WithError(err).Warn("entry of this instance could not be withdrawn")
	}
}
