package registry

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const revokedKey, keptKey = "mgjqnirth5mgjy5rcpih", "hacruddedev3nax7u27g"

// documentWithKeys returns a published document in which each key has a tenant.
func documentWithKeys(version int, keys ...string) string {
	tenants := make([]string, 0, len(keys))
	for i, key := range keys {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t-%d","api-keys":[%q]}`, i, key))
	}
	return strings.Replace(documentJSON(version), `"limits"`, `"tenants":[`+strings.Join(tenants, ",")+`],"limits"`, 1)
}

// hasKey reports whether requests with the key are admitted.
func hasKey(f *ConfigFollower, key string) bool {
	return f.Current().TenantOf(config.DigestKey([]byte(key))) != nil
}

// Guards against a key that an instance hands on or logs.
func TestFollowerKeepsNoKeys(t *testing.T) {
	lines := memory.New()
	f := NewConfigFollower(nil, roleOf(nonWatcher, false), noPeer, &log.Logger{Handler: lines, Level: log.DebugLevel}, func(*config.Document) {})
	f.applyRecords([]platform.Record{{Key: platform.ConfigKey, Value: []byte(documentWithKeys(3, revokedKey, keptKey))}})
	assert.Assert(t, hasKey(f, revokedKey) && hasKey(f, keptKey))
	other := NewConfigFollower(nil, roleOf(nonWatcher, false), noPeer, discardLogger, func(*config.Document) {})
	other.ApplyIfNewer(f.Raw(), "peer")
	assert.Assert(t, hasKey(other, revokedKey) && hasKey(other, keptKey))
	assert.Equal(t, string(other.Raw()), string(f.Raw()))

	// Each is rejected.
	f.applyRecords([]platform.Record{
		{Key: platform.ConfigKey, Value: []byte(documentWithKeys(4, revokedKey, revokedKey))},
		{Key: platform.ConfigKey, Value: []byte(documentWithKeys(5, revokedKey, ""))},
		{Key: platform.ConfigKey, Value: []byte(documentWithKeys(6, revokedKey)[:120])},
		{Key: platform.ConfigKey, Value: []byte(strings.Replace(documentWithKeys(7, revokedKey), `"version":7`, `"version":"`+revokedKey+`"`, 1))},
	})
	assert.Equal(t, f.Current().Version, int64(3))
	assert.Equal(t, len(lines.Entries), 5)
	text := string(f.Raw())
	for _, entry := range lines.Entries {
		text += fmt.Sprintf("%s %v\n", entry.Message, entry.Fields)
	}
	assert.Assert(t, !strings.Contains(text, revokedKey) && !strings.Contains(text, keptKey), text)
}

// Guards against a revoked key that is admitted again because of an older copy of the
// configuration, from whatever source.
func TestRevocationIsNotUndone(t *testing.T) {
	f := NewConfigFollower(nil, roleOf(nonWatcher, false), noPeer, discardLogger, func(*config.Document) {})
	digest := config.DigestKey([]byte(revokedKey))
	withDigest := strings.Replace(documentWithKeys(4, keptKey), `"api-keys"`,
		`"api-key-digests":["`+base64.StdEncoding.EncodeToString(digest[:])+`"],"api-keys"`, 1)
	store := func(text string) {
		f.applyRecords([]platform.Record{{Key: platform.ConfigKey, Value: []byte(text)}})
	}
	peer := func(text string) { f.ApplyIfNewer([]byte(text), "peer") }
	store(documentWithKeys(2, revokedKey, keptKey))
	assert.Assert(t, hasKey(f, revokedKey))
	older := string(f.Raw())
	store(documentWithKeys(3, keptKey))
	for _, step := range []struct {
		name  string
		apply func(string)
		text  string
	}{
		{"older version of the store", store, documentWithKeys(2, revokedKey, keptKey)},
		{"same version of a restored store", store, documentWithKeys(3, revokedKey, keptKey)},
		{"older version of another instance", peer, older},
		{"older version of an instance of another release", peer, documentWithKeys(2, revokedKey, keptKey)},
		{"digest in a document of the store", store, withDigest},
		{"newer version without the key of a tenant", store, documentWithKeys(9, revokedKey, "")},
	} {
		step.apply(step.text)
		assert.Assert(t, !hasKey(f, revokedKey) && hasKey(f, keptKey), step.name)
	}
	assert.Equal(t, f.Current().Version, int64(4)) // control
	peer(documentWithKeys(5, revokedKey))
	assert.Assert(t, hasKey(f, revokedKey))
}
