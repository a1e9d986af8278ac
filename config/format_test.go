package config

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against Format differing from the files that the Java library writes,
// and against Parse rejecting them.
func TestFormatMatchesJavaLibrary(t *testing.T) {
	for _, name := range []string{"kessler", "hanbit", "no_tenants"} {
		text, err := os.ReadFile("../java/testdata/" + name + ".ini")
		assert.NilError(t, err)
		d, err := Parse(text)
		assert.NilError(t, err)
		assert.Equal(t, string(Format(d)), string(text))
	}
}

// Guards against Parse rejecting the tenants that the Java library writes, and against
// Format differing from them in more than the keys.
func TestFormatOfTenantsMatchesJavaLibrary(t *testing.T) {
	text, err := os.ReadFile("../java/testdata/tenants.ini")
	assert.NilError(t, err)
	d, keys, err := ParseWithKeys(text)
	assert.NilError(t, err)
	assert.Equal(t, len(keys), 3)
	got := strings.ReplaceAll(string(Format(d)), "api_key_digests", "api_keys")
	for digest, key := range keys {
		got = strings.ReplaceAll(got, digest.String(), key)
	}
	assert.Equal(t, got, string(text))
}

// Guards against an invalid file being accepted, and against errors that do not
// identify the problem. Errors of single keys and values state the section and
// key; those of Validate do not.
func TestParseProblems(t *testing.T) {
	const valid = "[service s]\nhealth_path = /h\n[route a.example /x/]\ntimeout = 1s\nservices = s\n"
	_, err := Parse([]byte(valid))
	assert.NilError(t, err)
	tests := []struct{ name, old, replacement, want string }{
		{"unknown section", "[service s]", "[servcie s]", `section "servcie s", key "", value "": unknown section`},
		{"unknown key", "timeout = 1s", "timeout = 1s\ntimoeut = 2s", `section "route a.example /x/", key "timoeut", value "2s": unknown key`},
		{"key twice", "timeout = 1s", "timeout = 1s\ntimeout = 2s", `key "timeout", value "1s": key given more than once`},
		{"service twice", "[route", "[service s]\nhealth_path = /h\n[route", `section "service s", key "", value "": service defined twice`},
		{"duration without unit", "1s", "1", `key "timeout", value "1": not a duration`},
		{"fraction of a millisecond", "1s", "1500us", `key "timeout", value "1500us": not a duration in whole milliseconds`},
		{"negative number", "timeout = 1s", "timeout = 1s\nattempts = -1", `key "attempts", value "-1": not a whole number`},
		{"boolean", "timeout = 1s", "timeout = 1s\nidempotent = yes", `key "idempotent", value "yes": neither true nor false`},
		{"weight", "services = s", "services = s:many", `key "services", value "s:many": weight is not a whole number`},
		{"unknown service", "services = s", "services = t", `service "t" is not defined`},
		{"no services", "services = s\n", "", `service "" is not defined`},
		{"prefix without trailing slash", "/x/", "/x", `prefix "/x" does not begin and end with a slash`},
		{"no timeout", "timeout = 1s\n", "", `timeout 0s must be greater than 0`},
		{"negative timeout", "timeout = 1s", "timeout = -1s", `timeout -1s must be greater than 0`},
		{"timeout in the wrong unit", "timeout = 1s", "timeout = 3601s", `timeout 1h0m1s is longer than 1h0m0s`},
		{"objective in the wrong unit", "timeout = 1s", "timeout = 1s\nobjective = 3601s", `objective 1h0m1s is longer than 1h0m0s`},
		{"negative objective", "timeout = 1s", "timeout = 1s\nobjective = -1s", `objective -1s is negative`},
		{"health path", "/h", "h", `health path "h" does not begin with a slash`},
		{"empty file", valid, "", `no routes`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.replacement, 1)
			assert.Assert(t, text != valid)
			_, err := Parse([]byte(text))
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, tt.want)
		})
	}
}
