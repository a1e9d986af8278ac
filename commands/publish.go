// Package commands implements the operator commands that change a running system.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

// ErrOutcomeUnknown means that the store did not confirm whether a change was
// published.
var ErrOutcomeUnknown = errors.New("unknown whether the change was published")

// ErrAppendedToRestored means that the change was appended, but to a store that was
// restored from a copy since the published configuration was read: it may replace a
// configuration that the operator has not seen, or have a version that is in use.
var ErrAppendedToRestored = errors.New("the version was appended to a restored store, check the configuration in force")

// ErrAdmitsWithoutKey means that the published configuration requires API keys and the one
// to be published does not: with its last tenant removed, it would admit every key.
var ErrAdmitsWithoutKey = errors.New("requests would need no API key any more: " +
	"add a section [tenants] with keys_required = true, which admits nobody, or publish with --without-keys")

// PublishOption changes what Publish accepts.
type PublishOption func(*publishOptions)

type publishOptions struct{ withoutKeys bool }

// WithoutKeys lets requests need no API key any more.
func WithoutKeys() PublishOption { return func(o *publishOptions) { o.withoutKeys = true } }

// Store is the part of the platform's store that publishing uses.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) (platform.Batch, error)
	AppendAt(ctx context.Context, topic platform.Topic, at platform.Position, key string, value []byte) (platform.Position, error)
}

// published is the newest published configuration.
type published struct {
	document *config.Document // nil if there is none
	text     []byte
	keys     config.Keys
	at       platform.Position // where the next version must be appended
}

// LatestConfig returns the newest published configuration, or nil if there is
// none, and the position at which the next version must be appended.
func LatestConfig(ctx context.Context, store Store) (*config.Document, platform.Position, error) {
	p, err := latest(ctx, store)
	return p.document, p.at, err
}

func latest(ctx context.Context, store Store) (published, error) {
	batch, err := store.Newest(ctx, platform.ConfigTopic)
	if err != nil {
		return published{}, err
	}
	p := published{at: batch.Next}
	for _, r := range batch.Records {
		if r.Key != platform.ConfigKey || r.Value == nil {
			continue
		}
		if p.document, err = platform.DecodeDocument(r.Value); err != nil {
			return p, err
		}
		p.text = r.Value
		p.keys, err = platform.DocumentKeys(r.Value)
		return p, err
	}
	return p, nil
}

// Publish publishes the document as the next version, unless it is the same as the
// latest one, and prints the version number. If several operators publish
// concurrently, all but one get platform.ErrConflict. The error wraps
// ErrOutcomeUnknown if the store did not respond to the append, and
// ErrAppendedToRestored if the store was restored since it was read but its end is the
// same, and ErrAdmitsWithoutKey if the document must be published with WithoutKeys. keys
// has the API keys of the document that the latest one does not have.
func Publish(ctx context.Context, store Store, d *config.Document, keys config.Keys, out io.Writer, opts ...PublishOption) error {
	var options publishOptions
	for _, opt := range opts {
		opt(&options)
	}
	p, err := latest(ctx, store)
	if err != nil {
		return err
	}
	baseVersion := int64(0)
	all := maps.Clone(keys)
	if p.document != nil {
		baseVersion = p.document.Version
		all = maps.Clone(p.keys)
		maps.Copy(all, keys)
		if string(config.Format(p.document)) == string(config.Format(d)) {
			_, err := fmt.Fprintf(out, "unchanged at version %d\n", baseVersion)
			return err
		}
		if p.document.RequiresKeys() && !d.RequiresKeys() && !options.withoutKeys {
			return ErrAdmitsWithoutKey
		}
	}
	next := *d
	next.Version = baseVersion + 1
	text, err := platform.EncodeDocument(&next, baseVersion, all)
	if err != nil {
		return err
	}
	return p.replace(ctx, store, text, next.Version, out)
}

// replace appends the text of the next version, and prints its number.
func (p published) replace(ctx context.Context, store Store, text []byte, version int64, out io.Writer) error {
	end, err := store.AppendAt(ctx, platform.ConfigTopic, p.at, platform.ConfigKey, text)
	switch {
	case err != nil && isRejection(err):
		return err
	case err != nil:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case end.Era != p.at.Era:
		return fmt.Errorf("%w: version %d, era %d after era %d: %w", ErrAppendedToRestored, version, end.Era, p.at.Era, platform.ErrRestored)
	}
	_, err = fmt.Fprintf(out, "published version %d\n", version)
	return err
}

// isRejection reports whether the error is a response of the store, which means
// that nothing was published.
func isRejection(err error) bool {
	for _, rejection := range []error{
		platform.ErrConflict, platform.ErrUnavailable, platform.ErrThrottled, platform.ErrFull, platform.ErrRejected,
	} {
		if errors.Is(err, rejection) {
			return true
		}
	}
	return false
}
