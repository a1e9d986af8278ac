package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

// minKey is the minimum length of a new API key. The digests of short keys could be
// reversed by trying all keys.
const minKey = 16

var (
	errNoConfig  = errors.New("no configuration has been published yet")
	errNoTenant  = errors.New("no such tenant")
	errNoKey     = errors.New("no key of the tenant has this digest")
	errAmbiguous = errors.New("several keys of the tenant have a digest that begins so")
	errKeyText   = fmt.Errorf("an API key must have at least %d printable ASCII characters, no spaces and no commas", minKey)
)

// AddKey publishes a version in which the tenant has one more API key, and prints its
// digest. Errors are those of Publish, and contain no key.
func AddKey(ctx context.Context, store Store, tenant, key string, out io.Writer) error {
	isOdd := func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }
	if len(key) < minKey || strings.ContainsFunc(key, isOdd) {
		return errKeyText
	}
	added := config.Keys{}
	digest := added.Add(key)
	err := changeKeys(ctx, store, tenant, added, out, func(keys []config.KeyDigest) ([]config.KeyDigest, error) {
		if slices.Contains(keys, digest) {
			return keys, nil
		}
		return append(keys, digest), nil
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "digest %s\n", digest)
	return err
}

// RevokeKey publishes a version in which the tenant lacks the API key whose digest begins
// with the text. Errors are those of Publish.
func RevokeKey(ctx context.Context, store Store, tenant, digest string, out io.Writer) error {
	return changeKeys(ctx, store, tenant, nil, out, func(keys []config.KeyDigest) ([]config.KeyDigest, error) {
		matches := func(key config.KeyDigest) bool { return strings.HasPrefix(key.String(), strings.ToLower(digest)) }
		i := slices.IndexFunc(keys, matches)
		switch {
		case i < 0:
			return nil, errNoKey
		case slices.ContainsFunc(keys[i+1:], func(key config.KeyDigest) bool { return key != keys[i] && matches(key) }):
			return nil, errAmbiguous
		}
		revoked := keys[i]
		return slices.DeleteFunc(keys, func(key config.KeyDigest) bool { return key == revoked }), nil
	})
}

// changeKeys publishes a version in which the keys of a tenant are changed, and nothing
// else.
func changeKeys(
	ctx context.Context, store Store, tenant string, added config.Keys, out io.Writer,
	change func([]config.KeyDigest) ([]config.KeyDigest, error),
) error {
	p, err := latest(ctx, store)
	if err != nil {
		return err
	}
	if p.document == nil {
		return errNoConfig
	}
	i := slices.IndexFunc(p.document.Tenants, func(t *config.Tenant) bool { return t.Name == tenant })
	if i < 0 {
		return fmt.Errorf("tenant %q: %w", tenant, errNoTenant)
	}
	before := p.document.Tenants[i].Keys
	after, err := change(slices.Clone(before))
	if err != nil {
		return fmt.Errorf("tenant %q: %w", tenant, err)
	}
	if slices.Equal(before, after) {
		_, err := fmt.Fprintf(out, "unchanged at version %d\n", p.document.Version)
		return err
	}
	maps.Copy(p.keys, added)
	keys := make([]string, 0, len(after))
	for _, digest := range after {
		keys = append(keys, p.keys[digest])
	}
	text, err := platform.WithTenantKeys(p.text, tenant, keys)
	if err != nil {
		return fmt.Errorf("tenant %q: %w", tenant, err)
	}
	return p.replace(ctx, store, text, p.document.Version+1, out)
}
