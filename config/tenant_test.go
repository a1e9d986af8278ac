package config

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a document that is accepted although a request could belong to two
// tenants or none, or carries a name that a target does not get, and against a key or its
// digest in an error.
func TestValidateTenants(t *testing.T) {
	const secret = "mgjqnirth5mgjy5rcpih"
	key, other := DigestKey([]byte(secret)), DigestKey([]byte("other"))
	tests := []struct {
		name    string
		tenants []*Tenant
		want    string // empty if the document is valid
	}{
		{"two tenants", []*Tenant{{Name: "a", Keys: []KeyDigest{key}}, {Name: "b", Keys: []KeyDigest{other}, RatePerSecond: 2.5}}, ""},
		{"key twice in a tenant", []*Tenant{{Name: "a", Keys: []KeyDigest{key, key}}}, ""},
		{"name with a space", []*Tenant{{Name: "a b", Keys: []KeyDigest{key}}}, ""},
		{"name beyond ASCII", []*Tenant{{Name: "m\u00fcller", Keys: []KeyDigest{key}}}, ""},
		{"same key", []*Tenant{{Name: "a", Keys: []KeyDigest{key}}, {Name: "b", Keys: []KeyDigest{other, key}}}, `tenant "b": API key 2 is also one of tenant "a"`},
		{"no key", []*Tenant{{Name: "a"}}, ""},
		{"no name", []*Tenant{{Keys: []KeyDigest{key}}}, `tenant "": name is empty`},
		{"line break", []*Tenant{{Name: "a\r\nx: y", Keys: []KeyDigest{key}}}, `not valid in a header`},
		{"zero byte", []*Tenant{{Name: "a\x00", Keys: []KeyDigest{key}}}, `not valid in a header`},
		{"space at the end", []*Tenant{{Name: "a ", Keys: []KeyDigest{key}}}, `not valid in a header`},
		{"tab", []*Tenant{{Name: "\ta", Keys: []KeyDigest{key}}}, `not valid in a header`},
		{"long name", []*Tenant{{Name: strings.Repeat("a", maxTenantName+1), Keys: []KeyDigest{key}}}, `longer than 256 bytes`},
		{"same name", []*Tenant{{Name: "a", Keys: []KeyDigest{key}}, {Name: "a", Keys: []KeyDigest{other}}}, `tenant "a": another tenant has the same name`},
		{"negative priority", []*Tenant{{Name: "a", Keys: []KeyDigest{key}, Priority: -1}}, `tenant "a": priority -1 is negative`},
		{"negative rate", []*Tenant{{Name: "a", Keys: []KeyDigest{key}, RatePerSecond: -1}}, `tenant "a": rate -1 or burst 0 is negative`},
		{"rate is no number", []*Tenant{{Name: "a", Keys: []KeyDigest{key}, RatePerSecond: math.NaN()}}, `rate NaN`},
		{"infinite burst", []*Tenant{{Name: "a", Keys: []KeyDigest{key}, Burst: math.Inf(1)}}, `burst +Inf`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &Document{
				Version: 1, Services: map[string]*Service{"s": {Name: "s"}}, Routes: []*Route{route("a.example", "/")}, Tenants: tt.tenants,
			}
			err := d.Validate()
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, !strings.Contains(err.Error(), secret) && !strings.Contains(err.Error(), key.String()))
		})
	}
}
