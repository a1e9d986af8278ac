// Package registry follows what the platform's store holds: the configuration,
// the registrations of targets, and the instances of the system.
package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"rhubarbrelay/platform"
)

// Store is the part of the platform's store that the followers use.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	Read(ctx context.Context, topic platform.Topic, from int64, wait time.Duration) (platform.Batch, error)
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) error
}

const (
	// callTimeout bounds a call that does not wait for records.
	callTimeout = time.Second
	// firstBackoff is the pause after a failed call. It doubles up to
	// maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// unknownOffset means that the next read must be of the newest records.
const unknownOffset = -1

// backoff is the growing pause between failed calls.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// wait pauses with a random share, so that instances do not call at once.
func (b *backoff) wait(ctx context.Context) {
	b.pause = min(maxBackoff, max(firstBackoff, 2*b.pause))
	sleep(ctx, b.pause/2+rand.N(b.pause))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
