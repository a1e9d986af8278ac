package settings

import (
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const valid = `[instance]
id = kt-a-1
zone = mid-a
[callers]
listen = 127.0.0.1:8080
[peers]
listen = 127.0.0.1:8081
[admin]
listen = 127.0.0.1:8082
[platform]
address = 127.0.0.1:7000
`

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	s, err := Parse("a.ini", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, s.Callers.EntryTTL, 5*time.Second)
	assert.Equal(t, s.Callers.MaxRequestBody, 8<<20)
	assert.Equal(t, s.Callers.MaxConnections, 10_000)
	assert.Equal(t, s.Peers.MaxInstances, 20)
	assert.Equal(t, s.Peers.Advertise, s.Peers.Listen)
	assert.Equal(t, s.Stop.Margin, 2*time.Second)
	assert.Equal(t, s.Log, Log{Level: "info", Format: "text"})
	assert.Equal(t, s.Admin.Token, "")
}

// Guards against an example file that the daemon refuses, and against an
// example whose commented defaults are not accepted.
func TestParseExample(t *testing.T) {
	s, err := Load("../docs/rhubarbrelayd.ini")
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(s.Peers.Seeds, []netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.12:8081"), netip.MustParseAddrPort("127.0.0.13:8081"),
	}))
	text, err := os.ReadFile("../docs/rhubarbrelayd.ini")
	assert.NilError(t, err)
	var uncommented []string
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "# "); ok && strings.Contains(rest, " = ") {
			line = rest
		}
		uncommented = append(uncommented, line)
	}
	full, err := Parse("full.ini", []byte(strings.Join(uncommented, "")))
	assert.NilError(t, err)
	assert.Assert(t, full.Admin.Token != "")
	full.Admin.Token = ""
	assert.Assert(t, reflect.DeepEqual(full, s), "%+v is not %+v", full, s)
}

// Guards against keys that the example or the operators' page leaves out.
func TestEveryKeyIsDocumented(t *testing.T) {
	example, err := os.ReadFile("../docs/rhubarbrelayd.ini")
	assert.NilError(t, err)
	page, err := os.ReadFile("../docs/operators.md")
	assert.NilError(t, err)
	r, err := newReader("a.ini", []byte(valid))
	assert.NilError(t, err)
	r.settings()
	for k := range r.known {
		assert.Check(t, cmp.Contains(string(example), k.key+" = "))
		assert.Check(t, cmp.Contains(string(page), fmt.Sprintf("| `%s`, `%s` |", k.section, k.key)))
	}
}

// Guards against each kind of wrong setting being accepted, and against errors
// that do not name the place.
func TestParseProblems(t *testing.T) {
	tests := []struct {
		name, old, replacement, want string
	}{
		{"unknown section", "[platform]", "[plattform]", `section "plattform", key "", value "": unknown section`},
		{"unknown key", "zone = mid-a", "zone = mid-a\nzoen = b", `section "instance", key "zoen", value "b": unknown key`},
		{"key outside of a section", "[instance]", "stray = 1\n[instance]", `section "DEFAULT", key "stray", value "1": unknown key`},
		{"duplicate key", "zone = mid-a", "zone = mid-a\nzone = mid-b", `section "instance", key "zone", value "mid-b": key given more than once`},
		{"equal duplicate key", "zone = mid-a", "zone = mid-a\nzone = mid-a", `key "zone", value "mid-a": key given more than once`},
		{"duplicate key in a repeated section", "[platform]", "[instance]\nid = x\n[platform]", `key "id", value "x": key given more than once`},
		{"missing key", "zone = mid-a", "", `section "instance", key "zone", value "": required key is missing`},
		{"empty value", "zone = mid-a", "zone =", `section "instance", key "zone", value "": value is empty`},
		{"separator of idempotency keys in the id", "kt-a-1", "kt~1", `section "instance", key "id", value "kt~1": not a name`},
		{"slash in the zone", "mid-a", "mid/a", `key "zone", value "mid/a": not a name`},
		{"host name", "127.0.0.1:8080", "localhost:8080", `section "callers", key "listen", value "localhost:8080": not an IP address`},
		{"no port", "127.0.0.1:8080", "127.0.0.1", `value "127.0.0.1": not an IP address with a port`},
		{"port 0", "127.0.0.1:8080", "127.0.0.1:0", `value "127.0.0.1:0": port is 0`},
		{"unspecified address", "127.0.0.1:8080", "0.0.0.0:8080", `value "0.0.0.0:8080": unspecified address`},
		{"unspecified mapped address", "127.0.0.1:8080", "[::ffff:0.0.0.0]:8080", `unspecified address`},
		{"multicast address", "127.0.0.1:8080", "224.0.0.1:8080", `multicast address`},
		{"same listener twice", "127.0.0.1:8082", "127.0.0.1:8080", `section "admin", key "listen", value "127.0.0.1:8080": address already used by section "callers", key "listen"`},
		{"same listener as a mapped address", "127.0.0.1:8082", "[::ffff:127.0.0.1]:8081", `address already used by section "peers", key "listen"`},
		{"duration without unit", "[peers]", "entry_ttl = 5\n[peers]", `section "callers", key "entry_ttl", value "5": not a duration`},
		{"duration out of range", "[peers]", "entry_ttl = 1h\n[peers]", `value "1h": outside of 10ms to 5m0s`},
		{"negative margin", "[platform]", "[stop]\nmargin = -1s\n[platform]", `section "stop", key "margin", value "-1s": outside of`},
		{"number with unit", "[peers]", "max_connections = 10k\n[peers]", `key "max_connections", value "10k": not a whole number`},
		{"number out of range", "[admin]", "max_instances = 0\n[admin]", `section "peers", key "max_instances", value "0": outside of 1 to 1000`},
		{"size without unit", "[peers]", "max_request_body = 1000\n[peers]", `key "max_request_body", value "1000": not a size`},
		{"size with a wrong unit", "[peers]", "max_request_body = 8MB\n[peers]", `value "8MB": not a size`},
		{"size out of range", "[peers]", "max_request_body = 2GiB\n[peers]", `value "2GiB": outside of 1KiB to 1GiB`},
		{"bad advertised address", "[admin]", "advertise = nowhere\n[admin]", `section "peers", key "advertise", value "nowhere": not an IP address`},
		{"bad seed", "[admin]", "seeds = 127.0.0.1:1,nowhere\n[admin]", `section "peers", key "seeds", value "nowhere": not an IP address`},
		{"short token", "[platform]", "token = abc\n[platform]", `section "admin", key "token", value "(hidden)": not a token`},
		{"log level", "[platform]", "[log]\nlevel = loud\n[platform]", `section "log", key "level", value "loud": not one of debug, info, warn, error`},
		{"log format", "[platform]", "[log]\nformat = xml\n[platform]", `section "log", key "format", value "xml": not one of text, json`},
		{"no key-value line", "zone = mid-a", "zone", `a.ini: key-value delimiter not found`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.replacement, 1)
			assert.Assert(t, text != valid)
			_, err := Parse("a.ini", []byte(text))
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, "a.ini: ")
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against operators having to fix one error per start.
func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse("a.ini", []byte("[instance]\nid = a b\n[callers]\nlisten = x\n[log]\nlevel = loud\n[extra]\nk = v\n"))
	assert.ErrorIs(t, err, ErrInvalid)
	for _, want := range []string{
		`key "id"`, `key "zone"`, `section "callers", key "listen"`, `section "peers", key "listen"`,
		`section "admin", key "listen"`, `section "platform", key "address"`, `key "level"`, `section "extra"`,
	} {
		assert.Check(t, cmp.Contains(err.Error(), want))
	}
}

// Guards against a missing file being reported without its name.
func TestLoadMissingFile(t *testing.T) {
	_, err := Load("absent.ini")
	assert.ErrorIs(t, err, ErrInvalid)
	assert.ErrorContains(t, err, "absent.ini")
}
