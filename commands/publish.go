// Package commands holds what operators do to a running system.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

// ErrOutcomeUnknown means that it is not known whether a change was published.
var ErrOutcomeUnknown = errors.New("unknown whether the change was published")

// Store is where configurations are published.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	AppendAt(ctx context.Context, topic platform.Topic, at int64, key string, value []byte) error
}

// LatestConfig returns the newest configuration, nil when there is none, and the
// offset at which a change of it has to be appended.
func LatestConfig(ctx context.Context, store Store) (*config.Document, int64, error) {
	batch, err := store.Newest(ctx, platform.ConfigTopic)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range batch.Records {
		if r.Key == platform.ConfigKey && r.Value != nil {
			d, err := platform.DecodeDocument(r.Value)
			return d, batch.Next, err
		}
	}
	return nil, batch.Next, nil
}

// Publish publishes the document as the next version and reports it. Of
// operators that publish at once, all but one get platform.ErrConflict. The
// error wraps ErrUncertain when no answer came.
func Publish(ctx context.Context, store Store, d *config.Document, out io.Writer) error {
	now, at, err := LatestConfig(ctx, store)
	if err != nil {
		return err
	}
	base := int64(0)
	if now != nil {
		base = now.Version
		if string(config.Format(now)) == string(config.Format(d)) {
			_, err := fmt.Fprintf(out, "unchanged at version %d\n", base)
			return err
		}
	}
	next := *d
	next.Version = base + 1
	text, err := platform.EncodeDocument(&next, base)
	if err != nil {
		return err
	}
	if err := store.AppendAt(ctx, platform.ConfigTopic, at, platform.ConfigKey, text); err != nil {
		if answered(err) {
			return err
		}
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	_, err = fmt.Fprintf(out, "published version %d\n", next.Version)
	return err
}

// answered returns whether an error is the store's own answer, after which
// nothing was done.
func answered(err error) bool {
	for _, known := range []error{
		platform.ErrConflict, platform.ErrUnavailable, platform.ErrThrottled, platform.ErrFull, platform.ErrRejected,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
