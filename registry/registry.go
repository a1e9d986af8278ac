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
	// firstBackoff is the pause after a failed call, for each step of the rank
	// of the instance. It doubles up to a bound that grows with the rank as well,
	// from minMaxBackoff by backoffStep to maxMaxBackoff: while the store is away
	// few instances ask for all, and the others hear of its return from them.
	firstBackoff  = 50 * time.Millisecond
	minMaxBackoff = 800 * time.Millisecond
	backoffStep   = 400 * time.Millisecond
	maxMaxBackoff = 4 * time.Second
)

// unknownOffset means that the next read must be of the newest records.
const unknownOffset = -1

// backoff is the growing pause between failed calls.
type backoff struct {
	rank  func() int
	pause time.Duration
}

func (b *backoff) reset() { b.pause = 0 }

// next returns the next pause, with a random share, so that instances do not
// call at once.
func (b *backoff) next() time.Duration {
	rank := time.Duration(b.rank())
	bound := min(maxMaxBackoff, minMaxBackoff+rank*backoffStep)
	b.pause = min(bound, max(firstBackoff*(1+rank), 2*b.pause))
	return min(bound, b.pause/2+rand.N(b.pause))
}

func (b *backoff) wait(ctx context.Context) { sleep(ctx, b.next()) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
