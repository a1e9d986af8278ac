package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	fileKeyA, fileKeyB = "mgjqnirth5mgjy5rcpih", "hacruddedev3nax7u27g"
	validTenantFile    = "[tenant cuka 620]\napi_keys = " + fileKeyA + ", " + fileKeyB + "\npriority = 1\nrate_per_second = 319\nburst = 20.5\n" +
		"[service s]\nhealth_path = /h\n[route a.example /x/]\ntimeout = 1s\npublic = true\nservices = s\n"
)

// Guards against a tenant that is lost or altered in a file, and against a key in what
// operators see.
func TestFormatOfTenants(t *testing.T) {
	d, keys, err := ParseWithKeys([]byte(validTenantFile))
	assert.NilError(t, err)
	assert.DeepEqual(t, *d.Tenants[0], Tenant{
		Name: "cuka 620", Keys: []KeyDigest{DigestKey([]byte(fileKeyA)), DigestKey([]byte(fileKeyB))}, Priority: 1, RatePerSecond: 319, Burst: 20.5,
	})
	assert.DeepEqual(t, keys, Keys{DigestKey([]byte(fileKeyA)): fileKeyA, DigestKey([]byte(fileKeyB)): fileKeyB})
	text := string(Format(d))
	assert.Assert(t, !strings.Contains(text, fileKeyA) && !strings.Contains(text, fileKeyB))
	again, keys, err := ParseWithKeys([]byte(text))
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Tenants, d.Tenants)
	assert.Assert(t, again.Routes[0].Public)
	assert.Equal(t, len(keys), 0)
	assert.Equal(t, string(Format(again)), text)

	both := strings.Replace(text, "api_key_digests", "api_keys = new-key-of-the-tenant\napi_key_digests", 1)
	again, keys, err = ParseWithKeys([]byte(both))
	assert.NilError(t, err)
	assert.Equal(t, len(again.Tenants[0].Keys), 3)
	assert.Equal(t, len(keys), 1)
}

// Guards against a file without tenants that is read as one that admits all requests, or as
// one that admits none, against its section on all tenants.
func TestFileWithoutTenants(t *testing.T) {
	const file = "[service s]\nhealth_path = /h\n[route a.example /x/]\ntimeout = 1s\nservices = s\n"
	tests := []struct {
		name, section string
		required      bool
		problem       string
	}{
		{"no section", "", false, ""},
		{"required", "[tenants]\nkeys_required = true\n", true, ""},
		{"not required", "[tenants]\nkeys_required = false\n", false, `section "tenants", key "keys_required", value "": must be true`},
		{"no value", "[tenants]\n", false, `section "tenants", key "keys_required", value "": must be true`},
		{"other value", "[tenants]\nkeys_required = yes\n", false, `neither true nor false`},
		{"with a tenant", "[tenants]\nkeys_required = true\n[tenant a]\napi_keys = k\n", true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, err := Parse([]byte(file + tt.section))
			if tt.problem != "" {
				assert.ErrorIs(t, err, ErrInvalid)
				assert.ErrorContains(t, err, tt.problem)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, d.RequiresKeys(), tt.required)
			again, err := Parse(Format(d))
			assert.NilError(t, err)
			assert.Equal(t, again.RequiresKeys(), tt.required)
		})
	}
}

// Guards against a key in an error, wherever the mistake in the file is, and against one
// that does not state the place.
func TestProblemsOfTenantsContainNoKey(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"misspelt key", "api_keys", "apikeys", `section "tenant cuka 620", key "apikeys", value "": unknown key`},
		{"misspelt section", "[tenant", "[tenat", `section "tenat cuka 620", key "", value "": unknown section`},
		{"keys twice", "priority", "api_keys = " + fileKeyA + "\npriority", `key "api_keys", value "": key given more than once`},
		{"line without a sign", "api_keys =", "api_keys", `line 2: key-value delimiter not found`},
		{"line without a name", "api_keys =", "=", `line 2: empty key name`},
		{"quotation without end", "api_keys =", "\"\"\"api_keys", `missing closing key quote`},
		{"key as a section", "api_keys = ", "[", `unclosed section`},
		{"keys as digests", "api_keys", "api_key_digests", `section "tenant cuka 620", key "api_key_digests", value "": digest 1: not a digest of 32 hexadecimal digits`},
		{"key as priority", "priority = 1", "priority = " + fileKeyA, `key "priority", value "": not a whole number`},
		{"key as rate", "rate_per_second = 319", "rate_per_second = " + fileKeyA, `key "rate_per_second", value "": not a finite number`},
		{"infinite rate", "319", "Inf", `not a finite number of at least 0`},
		{"empty key", ", ", ", ,", `key 2 is empty`},
		{"no list of keys", "api_keys = " + fileKeyA + ", " + fileKeyB, "", `key "api_keys", value "": tenant has no list of API keys`},
		{"same key of another tenant", "[service", "[tenant b]\napi_keys = " + fileKeyB + "\n[service", `tenant "b": API key 1 is also one of tenant "cuka 620"`},
		{"tenant twice", "[service", "[tenant cuka 620]\napi_keys = x\n[service", `tenant "cuka 620": another tenant has the same name`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validTenantFile, tt.old, tt.replacement, 1)
			assert.Assert(t, text != validTenantFile)
			_, err := Parse([]byte(text))
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, !strings.Contains(err.Error(), fileKeyA) && !strings.Contains(err.Error(), fileKeyB), "%v", err)
		})
	}
}

// Guards against a file that cannot state that the last key of a tenant was revoked.
func TestTenantWithoutKeysInFile(t *testing.T) {
	text := strings.Replace(validTenantFile, "api_keys = "+fileKeyA+", "+fileKeyB, "api_keys =", 1)
	d, err := Parse([]byte(text))
	assert.NilError(t, err)
	again, err := Parse(Format(d))
	assert.NilError(t, err)
	assert.Equal(t, len(again.Tenants[0].Keys), 0)
}
