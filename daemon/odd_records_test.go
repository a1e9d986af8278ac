package daemon

import (
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
)

// Guards against instances that end, or that stop following the registry, because another
// writer has left an odd entry among those of the targets.
func TestOddEntriesOfOtherWriters(t *testing.T) {
	s := newCutSystem(t, cutShapes[0])
	registration := standin.NewRegistration("t", "s", "z-0", 4, netip.MustParseAddrPort("10.0.0.1:80"))
	sound, err := platform.EncodeTarget(&registration)
	assert.NilError(t, err)
	odd := []struct{ key, value string }{
		{"nested", strings.Repeat(`{"a":`, 40_000)},
		{"large number", strings.Replace(string(sound), `"slots":4`, `"slots":1e999`, 1)},
		{"many slots", strings.Replace(string(sound), `"slots":4`, `"slots":4294967296`, 1)},
		{"port", strings.Replace(string(sound), registration.Address.String(), "10.0.0.1:65536", 1)},
		{"t-\xff", string(sound)},
		{"long", strings.Replace(string(sound), `"version":"v1"`, `"version":"`+strings.Repeat("x", 100_000)+`"`, 1)},
	}
	for _, o := range odd {
		s.store.Put(string(platform.TargetTopic), o.key, []byte(o.value))
	}
	startCutTarget(t, s.store, "s", cutTargets)
	eventually(t, "all instances know the sound target and no other one", func() bool {
		for _, d := range s.instances {
			if d.targets.Count() != cutTargets+1 {
				return false
			}
		}
		return true
	})
	for i := range s.instances {
		assert.Equal(t, s.served(i), cutRequests)
	}
}
