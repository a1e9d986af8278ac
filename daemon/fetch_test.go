package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"
)

const (
	// slowLink is the bandwidth of a link, in bytes per second: 10 Mbit/s.
	slowLink = 10_000_000 / 8
	// concurrentFetches is the number of instances that one behind a slow link must be
	// able to serve at the same time.
	concurrentFetches = 5
	largeConfigRoutes = 2000
)

// countingListener counts the bytes that its connections send.
type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.sent}, err
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// largeConfig returns a configuration with random names and paths.
func largeConfig(version int) []byte {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // not a secret
	rules := make([]string, 0, largeConfigRoutes)
	for range largeConfigRoutes {
		rules = append(rules, fmt.Sprintf(`{"name":"r-%07x","kind":"safe","slo-ms":%d,"priority":1,"match":{"path-prefix":"/%08x/"},`+
			`"action":{"service":"s","timeout-ms":%d,"attempts":2}}`, random.Uint32(), 100+random.IntN(900), random.Uint32(), 1000+random.IntN(9000)))
	}
	return fmt.Appendf(nil, `{"version":%d,"limits":{},"listeners":[{"host":"a.example","rules":[%s]}],`+
		`"clusters":[{"name":"s","health-path":"/h","max-conns":10,"protocol":"h1"}]}`, version, strings.Join(rules, ","))
}

// startCounted runs an instance until the test ends and returns the number of bytes
// that its administration API has sent.
func startCounted(t *testing.T, d *Daemon) *atomic.Int64 {
	t.Helper()
	var sent atomic.Int64
	servers := d.servers()
	for i, s := range servers {
		if s.address == d.settings.Admin.Listen {
			servers[i].serve = func(l net.Listener) error { return s.serve(countingListener{l, &sent}) }
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.run(ctx, servers) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-stopped)
	})
	eventually(t, "the instance is ready", d.ready)
	return &sent
}

// Guards against a large configuration that a few instances cannot transfer at the same
// time over the slow link of another one before their requests time out. Each of them
// would then start again from zero, and keep the link full.
func TestLargeConfigOverSlowLink(t *testing.T) {
	source, _ := newTestDaemon(t, "a-1")
	d, _ := newTestDaemon(t, "a-2")
	sent := startCounted(t, source)
	raw := largeConfig(2)
	source.configFollower.ApplyIfNewer(raw, "test")
	through := source.members.Self()
	d.members.AddSightings([]membership.Sighting{{Instance: through}})

	fetched, from := d.fetchConfig(1)
	assert.Assert(t, string(fetched) == string(raw), "%d of %d bytes fetched", len(fetched), len(raw))
	assert.Equal(t, from, through.ID)
	assertFits(t, sent.Swap(0), fetchTimeout)

	snapshot, err := d.fetchState(through)
	assert.NilError(t, err)
	assert.Assert(t, string(snapshot.Config) == string(raw), "%d of %d bytes joined with", len(snapshot.Config), len(raw))
	assertFits(t, sent.Load(), joinTimeout)
}

// Guards against a key that an instance passes to another one, and against another one
// that gets a configuration without the key's digest.
func TestFetchedConfigHasNoKeys(t *testing.T) {
	const key = "mgjqnirth5mgjy5rcpih"
	source, _ := newTestDaemon(t, "a-1")
	d, _ := newTestDaemon(t, "a-2")
	startCounted(t, source)
	published := strings.Replace(string(largeConfig(2)), `"limits"`, `"tenants":[{"name":"t","api-keys":["`+key+`"]}],"limits"`, 1)
	source.configFollower.ApplyIfNewer([]byte(published), "test")
	through := source.members.Self()
	d.members.AddSightings([]membership.Sighting{{Instance: through}})
	fetched, from := d.fetchConfig(1)
	snapshot, err := d.fetchState(through)
	assert.NilError(t, err)
	for _, text := range []string{string(fetched), string(snapshot.Config)} {
		assert.Assert(t, strings.Contains(text, "digests") && !strings.Contains(text, key))
	}
	d.configFollower.ApplyIfNewer(fetched, from)
	assert.Equal(t, d.configFollower.Current().TenantOf(config.DigestKey([]byte(key))).Name, "t")
}

// assertFits checks that concurrentFetches responses pass a slow link within a timeout.
func assertFits(t *testing.T, response int64, timeout time.Duration) {
	t.Helper()
	most := int64(slowLink*timeout.Seconds()) / concurrentFetches
	assert.Assert(t, response > 0 && response <= most, "response of %d bytes, at most %d fit", response, most)
}
