package config

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validDocument = `# Two sections of one service.
[target spoolkeep sk-01]
address = 127.0.0.2:9000
zone = mid-a

[service spoolkeep]
deadline = 2s

[route spoolkeep POST /orders]
idempotent = false
deadline = 1m30s
long = true
`

// Guards against a document whose defaults or section order change its meaning.
func TestParseDocumentFillsDefaults(t *testing.T) {
	services, err := ParseDocument([]byte(validDocument))
	assert.NilError(t, err)
	assert.Equal(t, len(services), 1)
	s := services[0]
	assert.Equal(t, s.MaxWait, DefaultMaxWait)
	assert.Equal(t, s.Targets[0].Slots, DefaultSlots)
	assert.Equal(t, s.Routes[0].Idempotency, NonIdempotent)
}

// Guards against invalid content that reaches the log because the parser
// accepts it, and against reasons that do not name the place.
func TestParseDocumentReportsProblem(t *testing.T) {
	const service = "[service a]\n"
	const target = "[target a t1]\naddress = 127.0.0.1:1\nzone = z\n"
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown section", "[pool a]\n", `section "pool a": unknown section`},
		{"unknown key", service + "colour = red\n", `section "service a", key "colour", value "red": unknown key`},
		{"key outside", "policy = slots\n", "key outside of a section"},
		{"duplicate key", service + "max_queue = 5\nmax_queue = 5\n", `key "max_queue", value "5, 5": key set more than once`},
		{"duplicate service", service + service, "service defined twice"},
		{"duplicate target", service + target + strings.ReplaceAll(target, ":1", ":2"), "target defined twice"},
		{"duplicate route", service + "[route a GET /x]\n[route a GET /x]\n", "route defined twice"},
		{"duplicate address", service + target + strings.ReplaceAll(target, "t1", "t2"), "already the address of target t1"},
		{"mapped address", service + target + "[target a t2]\naddress = [::ffff:127.0.0.1]:1\nzone = z\n", "already the address of target t1"},
		{"shared address", service + target + strings.ReplaceAll(service+target, " a", " b"), "already the address of a target of service a"},
		{"undefined service", target, `undefined service "a"`},
		{"zero duration", service + "deadline = 0s\n", `key "deadline", value "0s": must be greater than 0`},
		{"negative duration", service + "probe_interval = -1s\n", "must be greater than 0"},
		{"huge duration", service + "deadline = 25h\n", "must be at most 24h0m0s"},
		{"no duration", service + "deadline = 5\n", "not a duration"},
		{"wait above deadline", service + "deadline = 40ms\n", "must be shorter than the deadline 40ms"},
		{"no slots", service + target + "slots = 0\n", "must be from 1 to"},
		{"few connections", service + target + "slots = 8\nmax_connections = 7\n", "must be at least the 8 slots"},
		{"percent", service + "retry_percent = 101\n", "must be from 0 to 100"},
		{"no number", service + "long_percent = ten\n", "not a whole number"},
		{"policy", service + "policy = fastest\n", "unknown policy"},
		{"service name", "[service Spool]\n", `name "Spool"`},
		{"target name", service + strings.ReplaceAll(target, "t1", "t/1"), `name "t/1"`},
		{"zone name", service + strings.ReplaceAll(target, "= z", "= Z A"), `key "zone", value "Z A"`},
		{"no zone", service + "[target a t1]\naddress = 127.0.0.1:1\n", `key "zone", value "": missing`},
		{"no address", service + "[target a t1]\nzone = z\n", `key "address", value "": missing`},
		{"no port", service + strings.ReplaceAll(target, ":1", ":0"), "not the address of a host and port"},
		{"any address", service + strings.ReplaceAll(target, "127.0.0.1", "0.0.0.0"), "not the address of a host and port"},
		{"method", service + "[route a FETCH /x]\n", `unknown method "FETCH"`},
		{"lower-case method", service + "[route a get /x]\n", `unknown method "get"`},
		{"path", service + "[route a GET x]\n", `must start with "/"`},
		{"query in path", service + "[route a GET /x?y]\n", "characters that no path contains"},
		{"route deadline", service + "[route a GET /x]\ndeadline = 0s\n", "must be greater than 0"},
		{"line without delimiter", service + "[route a GET /x]\nidempotent\n", `line 3: "idempotent" has no "="`},
		{"open section", "[service a\n", `does not end with "]"`},
		{"quoted value", service + "policy = \"slots\"\n", "quotation mark"},
		{"empty value", service + "policy =\n", "has no value"},
		{"oversized", service + "#" + strings.Repeat("x", MaxDocumentBytes), "larger than 1048576 bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseDocument([]byte(tt.text))
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against operators who repair one problem per attempt, and against one
// fault reported as two.
func TestParseDocumentReportsAllProblems(t *testing.T) {
	text := "[service a]\npolicy = x\ndeadline = y\nmax_queue = -1\n[target a t1]\naddress = z\nzone = z\n[what]\n"
	_, err := ParseDocument([]byte(text))
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Problems), 5, "%v", err)
}

// Guards against a Java library whose text differs from the canonical form.
func TestFormatDocumentMatchesJavaLibrary(t *testing.T) {
	for _, name := range []string{"kessler.ini", "hanbit.ini"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "java", "testdata", name))
			assert.NilError(t, err)
			services, err := ParseDocument(text)
			assert.NilError(t, err)
			assert.Equal(t, len(services), 2)
			assert.Equal(t, string(FormatDocument(services)), string(text))
		})
	}
}

// FuzzParseDocument guards against panics, and against accepted text that the
// canonical form does not reproduce.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("[service a]\nmax_wait = 1.5ms\n\n[target a b]\naddress = [::1%lo]:80\nzone = c\n"))
	f.Add([]byte("[service a.b]\r\n; note\r\nretry_percent=0\r\n[route a.b GET /%41;=x]\r\nidempotent = T\r\n"))
	f.Add([]byte("[service a]\nmax_queue = 1 \\\nmax_wait = `1ms`\n[DEFAULT]\nx = %(y)s\n"))
	f.Add([]byte("\xef\xbb\xbf[service a]\n\"\"\"\n= 1\n[]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		services, err := ParseDocument(text)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalid)
			return
		}
		canonical := FormatDocument(services)
		again, err := ParseDocument(canonical)
		assert.NilError(t, err, "%s", canonical)
		assert.Assert(t, bytes.Equal(FormatDocument(again), canonical))
	})
}
