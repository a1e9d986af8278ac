package registry

import (
	"net/netip"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// passOn encodes targets for another instance and returns what that decodes.
func passOn(t *testing.T, all []targets.Target) []targets.Target {
	t.Helper()
	data, err := peer.EncodeSnapshot(peer.Snapshot{Targets: peer.TargetState{Targets: all}})
	assert.NilError(t, err)
	snapshot, err := peer.DecodeSnapshot(data)
	assert.NilError(t, err)
	return snapshot.Targets.Targets
}

// checkPassedOn checks that a record, and a sound one after it, arrive at other instances
// as this one has decoded them.
func checkPassedOn(t *testing.T, odd platform.Record) (decoded []targets.Change) {
	t.Helper()
	f := &TargetFollower{logger: discardLogger}
	sound := platform.Record{Key: "sound", Value: []byte(registration("ready", 1))}
	decoded = f.decodeChanges([]platform.Record{odd, sound})
	for _, c := range decoded {
		assert.Assert(t, utf8.ValidString(c.ID), "ID %q cannot be encoded", c.ID)
	}
	all := f.decodeTargets([]platform.Record{odd, sound})
	assert.DeepEqual(t, passOn(t, all), all, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Equal(t, all[len(all)-1].ID, "sound")
	for _, target := range all {
		assert.NilError(t, target.Validate())
	}
	return decoded
}

// Guards against a record of another writer that keeps all others from being passed on to
// the other instances, or that names a target which cannot be used.
func TestOddRecords(t *testing.T) {
	good := registration("ready", 1)
	long := strings.Repeat("x", 100_000)
	tests := []struct {
		name, key, value string
		usable           bool
	}{
		{"control", "t-1", good, true},
		{"ID that is not UTF-8", "t-\xff\xfe", good, false},
		{"removal with an ID that is not UTF-8", "t-\xff\xfe", "", false},
		{"no ID", "", good, false},
		{"long service", "t-1", strings.Replace(good, `"service":"s"`, `"service":"`+long+`"`, 1), false},
		{"long zone", "t-1", strings.Replace(good, `"zone":"a"`, `"zone":"`+long+`"`, 1), false},
		{"long version", "t-1", strings.Replace(good, `"version":"v1"`, `"version":"`+long+`"`, 1), false},
		{"service that is not UTF-8", "t-1", strings.Replace(good, `"service":"s"`, "\"service\":\"s\xff\"", 1), true},
		{"port out of range", "t-1", strings.Replace(good, "10.0.0.1:80", "10.0.0.1:65536", 1), false},
		{"port 0", "t-1", strings.Replace(good, "10.0.0.1:80", "10.0.0.1:0", 1), false},
		{"unspecified address", "t-1", strings.Replace(good, "10.0.0.1:80", "0.0.0.0:80", 1), false},
		{"multicast address", "t-1", strings.Replace(good, "10.0.0.1:80", "224.0.0.1:80", 1), false},
		{"long state", "t-1", strings.Replace(good, `"ready"`, `"`+long+`"`, 1), false},
		{"address with a zone", "t-1", strings.Replace(good, "10.0.0.1:80", "[fe80::1%"+long+"]:80", 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			odd := platform.Record{Key: tt.key}
			if tt.value != "" {
				odd.Value = []byte(tt.value)
			}
			decoded := checkPassedOn(t, odd)
			assert.Equal(t, len(decoded) == 2 && decoded[0].Target != nil, tt.usable)
		})
	}
}

// Guards against records that decode but do not survive being passed on.
func FuzzRecordIsPassedOn(f *testing.F) {
	f.Add("t-1", []byte(registration("ready", 1)))
	f.Add("t-\xff", []byte(registration("draining", 1)))
	f.Add("t-1", []byte(strings.Replace(registration("ready", 1), `"slots":4`, `"slots":4294967296`, 1)))
	f.Add("t-1", []byte(strings.Replace(registration("ready", 1), `"cold-left-ms":0`, `"cold-left-ms":18446744073710`, 1)))
	f.Add("t-1", []byte(strings.Replace(registration("ready", 1), `10.0.0.1:80`, `[::ffff:10.0.0.1%z]:80`, 1)))
	f.Add("", []byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		checkPassedOn(t, platform.Record{Key: key, Value: value})
	})
}

// Guards against a log that an entry of another writer fills, which is written again and
// again.
func TestOddRecordIsLoggedRarely(t *testing.T) {
	for _, odd := range []platform.Record{{Key: "t-\xff"}, {Key: "t-1", Value: []byte("[")}} {
		lines := memory.New()
		f := NewTargetFollower(newFakeStore(), targets.NewDirectory(), fakeBroadcaster{}, func() int { return 0 }, func() int { return 0 }, ignoreChange, func() {},
			&log.Logger{Handler: lines, Level: log.InfoLevel})
		for range 100 {
			f.decodeChanges([]platform.Record{odd})
		}
		assert.Assert(t, len(lines.Entries) > 0)
		assert.Assert(t, len(lines.Entries) <= 10, "%d lines", len(lines.Entries))
	}
}
