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

const validSettings = `[instance]
id = kt-a-1
zone = mid-a
region = midlands
[callers]
listen = 127.0.0.1:8080
entry = 127.0.0.1:8083
ready = 127.0.0.1:8084
[peers]
listen = 127.0.0.1:8081
[admin]
listen = 127.0.0.1:8082
[store]
address = 127.0.0.1:7000
`

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	s, err := Parse("a.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Callers.EntryTTL, 2*time.Second)
	assert.Equal(t, s.Callers.MaxConnections, 2000)
	assert.Equal(t, s.Instance.Memory, 256<<20)
	assert.Equal(t, s.Instance.CPUShare, 1.0)
	assert.Equal(t, s.Instance.Cores, 1.0)
	assert.Equal(t, s.Stop.Grace, 6*time.Second)
	assert.Equal(t, s.Budgets, Budgets{
		DrainDelay: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 20, RetryWindow: 10 * time.Second, ProbesPerSecond: 60,
		QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20, ColdOverage: 1.5, ColdSlack: 8, EvacuationDelay: 5 * time.Second,
	})
	assert.Equal(t, s.Log, Log{Level: "info", Format: "text"})
	assert.Equal(t, s.Admin.Token, "")
}

// Guards against an example file that the daemon rejects. Its commented lines
// show the defaults, so the test also fails if one of them is invalid or sets
// another value; only the token has no default.
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
	assert.Assert(t, reflect.DeepEqual(full, s), "the commented lines give %+v instead of the defaults %+v", full, s)
}

// Guards against keys that are missing in docs/rhubarbrelayd.ini or
// docs/OPERATIONS.md, for example after a key was added.
func TestEveryKeyIsDocumented(t *testing.T) {
	example, err := os.ReadFile("../docs/rhubarbrelayd.ini")
	assert.NilError(t, err)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	r, err := newReader("a.ini", []byte(validSettings))
	assert.NilError(t, err)
	r.settings()
	for k := range r.known {
		assert.Check(t, strings.Contains(string(example), k.key+" = "), "docs/rhubarbrelayd.ini lacks key %s", k.key)
		row := fmt.Sprintf("| `%s`, `%s` |", k.section, k.key)
		assert.Check(t, strings.Contains(string(page), row), "docs/OPERATIONS.md lacks the table row %s", row)
	}
}

// Guards against each kind of invalid setting being accepted, and against errors
// that do not state the file, section, key and value. For malformed INI, the error
// must state the file and what is malformed.
func TestParseProblems(t *testing.T) {
	tests := []struct {
		name, old, replacement, want string
	}{
		{"unknown section", "[store]", "[stoer]", `section "stoer", key "", value "": unknown section`},
		{"unknown key", "zone = mid-a", "zone = mid-a\nzoen = b", `section "instance", key "zoen", value "b": unknown key`},
		{"key outside of a section", "[instance]", "stray = 1\n[instance]", `section "DEFAULT", key "stray", value "1": unknown key`},
		{"duplicate key", "zone = mid-a", "zone = mid-a\nzone = mid-b", `section "instance", key "zone", value "mid-b": key given more than once`},
		{"equal duplicate key", "zone = mid-a", "zone = mid-a\nzone = mid-a", `key "zone", value "mid-a": key given more than once`},
		{"duplicate key in a repeated section", "[store]", "[instance]\nid = x\n[store]", `key "id", value "x": key given more than once`},
		{"missing key", "zone = mid-a", "", `section "instance", key "zone", value "": required key is missing`},
		{"empty value", "zone = mid-a", "zone =", `section "instance", key "zone", value "": value is empty`},
		{"tilde in the id", "kt-a-1", "kt~1", `section "instance", key "id", value "kt~1": not a name`},
		{"slash in the zone", "mid-a", "mid/a", `key "zone", value "mid/a": not a name`},
		{"host name", "127.0.0.1:8080", "localhost:8080", `section "callers", key "listen", value "localhost:8080": not an IP address`},
		{"no port", "127.0.0.1:8080", "127.0.0.1", `value "127.0.0.1": not an IP address with a port`},
		{"port 0", "127.0.0.1:8080", "127.0.0.1:0", `value "127.0.0.1:0": port is 0`},
		{"unspecified address", "127.0.0.1:8080", "0.0.0.0:8080", `value "0.0.0.0:8080": unspecified address`},
		{"unspecified mapped address", "127.0.0.1:8080", "[::ffff:0.0.0.0]:8080", `unspecified address`},
		{"multicast address", "127.0.0.1:8080", "224.0.0.1:8080", `multicast address`},
		{"same listener twice", "127.0.0.1:8082", "127.0.0.1:8080", `section "admin", key "listen", value "127.0.0.1:8080": address already used by section "callers", key "listen"`},
		{"same listener as a mapped address", "127.0.0.1:8082", "[::ffff:127.0.0.1]:8083", `address already used by section "callers", key "entry"`},
		{"duration without unit", "[peers]", "entry_ttl = 5\n[peers]", `section "callers", key "entry_ttl", value "5": not a duration`},
		{"duration out of range", "[peers]", "entry_ttl = 1h\n[peers]", `value "1h": outside of 10ms to 5m0s`},
		{"negative grace", "[store]", "[stop]\ngrace = -1s\n[store]", `section "stop", key "grace", value "-1s": outside of`},
		{"number with unit", "[peers]", "max_connections = 10k\n[peers]", `key "max_connections", value "10k": not a whole number`},
		{"number out of range", "[peers]", "max_connections = 0\n[peers]", `section "callers", key "max_connections", value "0": outside of 1 to 1000000`},
		{"size without unit", "[callers]", "memory = 1000\n[callers]", `key "memory", value "1000": not a size`},
		{"size with a wrong unit", "[callers]", "memory = 8MB\n[callers]", `value "8MB": not a size`},
		{"size out of range", "[callers]", "memory = 1MiB\n[callers]", `value "1MiB": outside of 32MiB to 1024GiB`},
		{"no processor", "[callers]", "cpu_share = 0\n[callers]", `section "instance", key "cpu_share", value "0": not a number from 0.001 to 1024`},
		{"cores with unit", "[callers]", "cores = 2x\n[callers]", `key "cores", value "2x": not a number`},
		{"negative ratio", "[store]", "[budgets]\nretry_ratio = -1\n[store]", `section "budgets", key "retry_ratio", value "-1": not a number from 0 to 10`},
		{"not a number", "[store]", "[budgets]\nprobes_per_second = NaN\n[store]", `value "NaN": not a number`},
		{"bad seed", "[admin]", "seeds = 127.0.0.1:1,nowhere\n[admin]", `section "peers", key "seeds", value "nowhere": not an IP address`},
		{"short token", "[store]", "token = abc\n[store]", `section "admin", key "token", value "(hidden)": not a token`},
		{"log level", "[store]", "[log]\nlevel = loud\n[store]", `section "log", key "level", value "loud": not one of debug, info, warn, error`},
		{"log format", "[store]", "[log]\nformat = xml\n[store]", `section "log", key "format", value "xml": not one of text, json`},
		{"line without an equals sign", "zone = mid-a", "zone", `a.ini: key-value delimiter not found`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validSettings, tt.old, tt.replacement, 1)
			assert.Assert(t, text != validSettings)
			_, err := Parse("a.ini", []byte(text))
			assert.ErrorIs(t, err, ErrInvalid)
			assert.ErrorContains(t, err, "a.ini: ")
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against only the first problem being reported: operators would have to
// start the daemon once per problem.
func TestParseReportsAllProblems(t *testing.T) {
	_, err := Parse("a.ini", []byte("[instance]\nid = a b\n[callers]\nlisten = x\n[log]\nlevel = loud\n[extra]\nk = v\n"))
	assert.ErrorIs(t, err, ErrInvalid)
	for _, want := range []string{
		`key "id"`, `key "zone"`, `section "callers", key "listen"`, `section "peers", key "listen"`,
		`section "admin", key "listen"`, `section "store", key "address"`, `key "level"`, `section "extra"`,
	} {
		assert.Check(t, cmp.Contains(err.Error(), want))
	}
}

// Guards against an error about a missing file that does not state its name.
func TestLoadMissingFile(t *testing.T) {
	_, err := Load("absent.ini")
	assert.ErrorIs(t, err, ErrInvalid)
	assert.ErrorContains(t, err, "absent.ini")
}
