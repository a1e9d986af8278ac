// Package registry follows the contents of the platform's store: the
// configuration and the registrations of targets and instances.
package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"rhubarbrelay/platform"
)

// Store provides the operations of the platform's store that this package uses.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	Read(ctx context.Context, topic platform.Topic, from platform.Position, wait time.Duration) (platform.Batch, error)
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) (platform.Position, error)
}

const (
	// callTimeout limits a call that does not wait for records. It is added to
	// the wait of a long poll.
	callTimeout = time.Second
	// initialBackoff is the delay after the first failed call of the instance of
	// rank 0; for rank n it is n+1 times as long. The delay doubles with each
	// failure up to a limit that also grows with the rank, from minBackoffLimit in
	// steps of backoffLimitStep to maxBackoffLimit. While the store is unavailable,
	// only the instances of low rank call it often; the others receive the updates
	// of these once it is available again.
	initialBackoff   = 50 * time.Millisecond
	minBackoffLimit  = 800 * time.Millisecond
	backoffLimitStep = 400 * time.Millisecond
	maxBackoffLimit  = 4 * time.Second
)

// unknownPosition means that the position is not known and the next read must fetch
// the newest record of each key.
var unknownPosition = platform.Position{Offset: -1}

// backoff computes the exponential delay between failed calls.
type backoff struct {
	rank  func() int
	delay time.Duration
}

func (b *backoff) reset() { b.delay = 0 }

// next returns the next delay. It includes jitter, so that the instances do not
// call the store at the same time.
func (b *backoff) next() time.Duration {
	rank := time.Duration(b.rank())
	limit := min(maxBackoffLimit, minBackoffLimit+rank*backoffLimitStep)
	b.delay = min(limit, max(initialBackoff*(1+rank), 2*b.delay))
	return min(limit, b.delay/2+rand.N(b.delay))
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
