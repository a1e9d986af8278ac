package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/settings"
	"rhubarbrelay/standin"
)

const (
	testTimeout = 20 * time.Second
	testConfig  = `{"version":1,"limits":{},"listeners":[{"host":"a.example","rules":[{"name":"r","kind":"safe","slo-ms":400,` +
		`"priority":1,"match":{"path-prefix":"/"},"action":{"service":"s","timeout-ms":1000,"attempts":2}}]}],` +
		`"clusters":[{"name":"s","health-path":"/h","max-conns":10,"protocol":"h1"}]}`
)

// newTestDaemon returns an instance on unused loopback addresses, whose store has a
// configuration, and the lines that it logs.
func newTestDaemon(t *testing.T, id string) (*Daemon, *memory.Handler) {
	t.Helper()
	d, lines, _ := newTestDaemonWithStore(t, id)
	return d, lines
}

func newTestDaemonWithStore(t *testing.T, id string) (*Daemon, *memory.Handler, *standin.Store) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	store := standin.NewStore()
	store.Put(string(platform.ConfigTopic), platform.ConfigKey, []byte(testConfig))
	served := make(chan error, 1)
	go func() { served <- store.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, store.Close())
		assert.NilError(t, <-served)
	})
	addresses := unusedAddresses(t, 5)
	s, err := settings.Parse("test.ini", fmt.Appendf(nil,
		"[instance]\nid = %s\nzone = a\nregion = r\n[callers]\nlisten = %s\nentry = %s\nready = %s\n[peers]\nlisten = %s\n"+
			"[admin]\nlisten = %s\n[store]\naddress = %s\n[stop]\ngrace = 1s\n",
		id, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], l.Addr()))
	assert.NilError(t, err)
	lines := memory.New()
	return New(s, &log.Logger{Handler: lines, Level: log.InfoLevel}), lines, store
}

// Guards against instances that all state the same capacity.
func TestInstanceStatesItsCapacity(t *testing.T) {
	tests := []struct {
		share, cores float64
		want         int
	}{{1, 1, 1000}, {0.25, 1, 250}, {0.5, 4, 2000}, {0.001, 0.001, 0}, {1024, 1024, 1_048_576_000}}
	for _, tt := range tests {
		assert.Equal(t, millicores(settings.Instance{CPUShare: tt.share, Cores: tt.cores}), tt.want)
	}
	d, _ := newTestDaemon(t, "a-1")
	assert.Equal(t, d.members.Self().Millicores, 1000)
}

// startTestDaemon runs an instance until the test ends.
func startTestDaemon(t *testing.T, d *Daemon) {
	t.Helper()
	stopCtx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(stopCtx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-stopped)
	})
}

func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	return unusedAddresses(t, 1)[0]
}

// unusedAddresses returns different addresses: each stays in use until all are chosen.
func unusedAddresses(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	addresses := make([]netip.AddrPort, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, l.Close()) }()
		addresses = append(addresses, netip.MustParseAddrPort(l.Addr().String()))
	}
	return addresses
}

// Guards against a component that fails after the instance has become ready and
// leaves a process that still listens for callers but neither works nor stops.
func TestFailedComponentStopsInstance(t *testing.T) {
	d, lines := newTestDaemon(t, "a-1")
	errBroken := errors.New("broken")
	failServer := make(chan struct{})
	servers := append(d.servers(), server{
		name: "test server", address: unusedAddress(t),
		serve: func(l net.Listener) error {
			<-failServer
			return errors.Join(errBroken, l.Close())
		},
	})
	stopCtx, cancel := context.WithCancel(context.Background())
	defer cancel() // ends the instance if the test fails
	stopped := make(chan error, 1)
	go func() { stopped <- d.run(stopCtx, servers) }()
	for deadline := time.Now().Add(testTimeout); !d.ready(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "instance did not become ready")
	}
	close(failServer)
	select {
	case err := <-stopped:
		assert.ErrorIs(t, err, errBroken)
	case <-time.After(testTimeout):
		t.Fatal("instance did not stop")
	}
	messages := map[string]int{}
	for _, entry := range lines.Entries {
		messages[entry.Message]++
	}
	for _, want := range []string{"component failed, the instance stops", "instance leaving", "instance stopped"} {
		assert.Equal(t, messages[want], 1, "lines with %q", want)
	}
}

// Guards against an instance that learns of a restoration of the store from another one
// and does not read the configuration again.
func TestConfigurationIsReadAfterRestoration(t *testing.T) {
	d, _ := newTestDaemon(t, "a-1")
	stopCtx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(stopCtx) }()
	eventually(t, "the instance is ready", d.ready)
	eventually(t, "the instance watches the store", d.configFollower.IsWatcher)
	eventually(t, "the era of the store is known", func() bool { return d.targetFollower.Era() > 0 })
	reported := time.Now()
	d.onTargetUpdate(peer.TargetUpdate{To: platform.Position{Era: d.targetFollower.Era() + 1}})
	eventually(t, "the configuration is read again", func() bool { return d.configFollower.ReadAge() < time.Since(reported) })
	cancel()
	assert.NilError(t, <-stopped)
}

// Guards against an instance that is alone and is not found by those that start after
// the store was restored.
func TestLoneInstanceRegistersAfterRestoration(t *testing.T) {
	d, _, store := newTestDaemonWithStore(t, "a-1")
	beforeStart := time.Now()
	stopCtx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(stopCtx) }()
	registered := func() bool {
		batch, err := platform.NewStore(d.settings.Store.Address).Newest(stopCtx, platform.InstanceTopic)
		return err == nil && len(batch.Records) == 1
	}
	eventually(t, "the instance is registered", registered)
	eventually(t, "the era of the store is known", func() bool { return d.targetFollower.Era() > 0 })
	appends := store.Calls()["/-/log-append"]
	store.Restore(time.Since(beforeStart))
	eventually(t, "the instance is registered again", func() bool { return store.Calls()["/-/log-append"] > appends && registered() })
	cancel()
	assert.NilError(t, <-stopped)
}

// Guards against an instance that becomes ready with the version of a restored store,
// or not at all, although an instance that it cannot join through has a newer one.
func TestStartWithNewestKnownConfiguration(t *testing.T) {
	tests := []struct {
		name    string
		running bool // the other instance
		want    int64
	}{
		{"provided", true, 2},
		{"not provided", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other, _, store := newTestDaemonWithStore(t, "a-1")
			store.Put(string(platform.ConfigTopic), platform.ConfigKey, bytes.Replace([]byte(testConfig), []byte(`"version":1`), []byte(`"version":2`), 1))
			known := other.members.Self()
			known.State, known.ConfigVersion = membership.Ready, 2
			if tt.running {
				startTestDaemon(t, other)
				eventually(t, "the other instance is ready", other.ready)
				other.joining.Store(maxConcurrentJoins) // busy with others
			}
			d, lines, _ := newTestDaemonWithStore(t, "a-2")
			d.members.RecordPacket(known, time.Hour)
			stopCtx, cancel := context.WithCancel(context.Background())
			stopped := make(chan error, 1)
			go func() { stopped <- d.Run(stopCtx) }()
			eventually(t, "the instance is ready", d.ready)
			cancel()
			assert.NilError(t, <-stopped)
			var versions []any
			for _, entry := range lines.Entries {
				if entry.Message == "instance is ready" {
					versions = append(versions, entry.Fields.Get("version"))
				}
			}
			assert.DeepEqual(t, versions, []any{tt.want})
		})
	}
}
