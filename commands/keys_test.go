package commands

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const firstKey, secondKey = "mgjqnirth5mgjy5rcpih", "hacruddedev3nax7u27g"

// publishTenants publishes a configuration with the tenants t and u.
func publishTenants(t *testing.T, s *fakeStore) {
	t.Helper()
	text := string(config.Format(parse(t, "kessler"))) + "\n[tenant t]\napi_keys = " + firstKey + "\nburst = 2\n\n[tenant u]\napi_keys = another-key-of-20-c\n"
	d, keys, err := config.ParseWithKeys([]byte(text))
	assert.NilError(t, err)
	assert.NilError(t, Publish(t.Context(), s, d, keys, &bytes.Buffer{}))
}

// keysOf returns the published keys of the tenant t.
func keysOf(t *testing.T, s *fakeStore) []string {
	t.Helper()
	d, err := platform.DecodeDocument(s.value)
	assert.NilError(t, err)
	keys, err := platform.DocumentKeys(s.value)
	assert.NilError(t, err)
	var got []string
	for _, tenant := range d.Tenants {
		for _, digest := range tenant.Keys {
			if tenant.Name == "t" {
				got = append(got, keys[digest])
			}
		}
	}
	return got
}

// Guards against a key that is not added or revoked, against other keys that are lost, and
// against a key in the output.
func TestAddAndRevokeKey(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{}
	var out bytes.Buffer
	assert.ErrorIs(t, AddKey(ctx, s, "t", secondKey, &out), errNoConfig)
	publishTenants(t, s)
	before, _, err := LatestConfig(ctx, s)
	assert.NilError(t, err)
	assert.NilError(t, AddKey(ctx, s, "t", secondKey, &out))
	assert.DeepEqual(t, keysOf(t, s), []string{firstKey, secondKey})
	assert.NilError(t, AddKey(ctx, s, "t", secondKey, &out))
	digest := config.DigestKey([]byte(firstKey))
	assert.NilError(t, RevokeKey(ctx, s, "t", strings.ToUpper(digest.String()[:8]), &out))
	assert.DeepEqual(t, keysOf(t, s), []string{secondKey})
	added := config.DigestKey([]byte(secondKey)).String()
	assert.Equal(t, out.String(), "published version 2\ndigest "+added+"\nunchanged at version 2\ndigest "+added+"\npublished version 3\n")
	after, _, err := LatestConfig(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, len(after.Tenants), 2)
	assert.DeepEqual(t, after.Routes, before.Routes)

	for _, tt := range []struct {
		err  error
		want error
	}{
		{RevokeKey(ctx, s, "t", digest.String(), &out), errNoKey},
		{RevokeKey(ctx, s, "x", added, &out), errNoTenant},
		{AddKey(ctx, s, "x", firstKey, &out), errNoTenant},
		{AddKey(ctx, s, "u", secondKey, &out), config.ErrInvalid}, // that of another tenant
		{AddKey(ctx, s, "t", "short", &out), errKeyText},
		{AddKey(ctx, s, "t", "mgjqnirth5 mgjy5rcpih", &out), errKeyText},
		{AddKey(ctx, s, "t", "mgjqnirth5,mgjy5rcpih", &out), errKeyText},
	} {
		assert.ErrorIs(t, tt.err, tt.want)
		assert.Assert(t, !strings.Contains(tt.err.Error(), firstKey) && !strings.Contains(tt.err.Error(), secondKey), "%v", tt.err)
	}
	assert.DeepEqual(t, keysOf(t, s), []string{secondKey})

	assert.NilError(t, AddKey(ctx, s, "t", firstKey, &out))
	assert.ErrorIs(t, RevokeKey(ctx, s, "t", "", &out), errAmbiguous)

	assert.NilError(t, RevokeKey(ctx, s, "t", added, &out))
	assert.NilError(t, RevokeKey(ctx, s, "t", digest.String(), &out)) // the last key of the tenant
	assert.Equal(t, len(keysOf(t, s)), 0)
	assert.NilError(t, AddKey(ctx, s, "t", firstKey, &out))
}

// Guards against a field that a change of keys drops, as this release does not know it.
func TestChangeOfKeysKeepsUnknownFields(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{}
	publishTenants(t, s)
	s.value = []byte(strings.Replace(string(s.value), `"name":"t",`, `"name":"t","new-of-tenant":[1.50],`, 1))
	s.value = []byte(strings.Replace(string(s.value), `{"version":1,`, `{"new":{"a":"<b>"},"version":1,`, 1))
	assert.NilError(t, AddKey(ctx, s, "t", secondKey, &bytes.Buffer{}))
	assert.NilError(t, RevokeKey(ctx, s, "t", config.DigestKey([]byte(firstKey)).String(), &bytes.Buffer{}))
	assert.DeepEqual(t, keysOf(t, s), []string{secondKey})
	assert.Assert(t, strings.Contains(string(s.value), `"new-of-tenant":[1.50]`) && strings.Contains(string(s.value), `"new":{"a":`), string(s.value))
	assert.Assert(t, strings.Contains(string(s.value), `"base-version":2`) && strings.Contains(string(s.value), `"version":3`), string(s.value))

	before := string(s.value)
	s.value = []byte(strings.Replace(before, `"name":"t"`, `"Name":"t"`, 1)) // ambiguous names are not edited
	assert.ErrorContains(t, AddKey(ctx, s, "t", firstKey, &bytes.Buffer{}), "cannot be edited in place")
}

// Guards against a key that is lost when a published configuration is edited: the file
// that operators edit has digests only.
func TestPublishOfDigests(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{}
	publishTenants(t, s)
	latest, _, err := LatestConfig(ctx, s)
	assert.NilError(t, err)
	text := strings.Replace(string(config.Format(latest)), "burst = 2", "burst = 3", 1)
	d, keys, err := config.ParseWithKeys([]byte(text))
	assert.NilError(t, err)
	assert.NilError(t, Publish(ctx, s, d, keys, &bytes.Buffer{}))
	assert.DeepEqual(t, keysOf(t, s), []string{firstKey})

	known := config.DigestKey([]byte(firstKey))
	unknown := config.DigestKey([]byte(secondKey))
	d, keys, err = config.ParseWithKeys([]byte(strings.Replace(text, known.String(), unknown.String(), 1)))
	assert.NilError(t, err)
	assert.ErrorIs(t, Publish(ctx, s, d, keys, &bytes.Buffer{}), config.ErrInvalid)
}

// Guards against an operator who removes the last tenant from a file, and with it the need
// for API keys.
func TestPublishWithoutLastTenant(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{}
	publishTenants(t, s)
	var out bytes.Buffer
	assert.ErrorIs(t, Publish(ctx, s, parse(t, "kessler"), nil, &out), ErrAdmitsWithoutKey)
	assert.Equal(t, out.String(), "")
	none := parse(t, "kessler")
	none.KeysRequired = true
	assert.NilError(t, Publish(ctx, s, none, nil, &out))
	assert.Assert(t, strings.Contains(string(s.value), `"tenants":[]`), string(s.value))
	assert.NilError(t, Publish(ctx, s, none, nil, &out))
	assert.ErrorIs(t, Publish(ctx, s, parse(t, "kessler"), nil, &out), ErrAdmitsWithoutKey)
	assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), nil, &out, WithoutKeys()))
	assert.Assert(t, !strings.Contains(string(s.value), "tenants"), string(s.value))
	assert.Equal(t, out.String(), "published version 2\nunchanged at version 2\npublished version 3\n")
}
