package config

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a review that hides a change or lists it in a random order.
func TestDiff(t *testing.T) {
	before := NewService("a")
	before.Targets = []Target{
		{Name: "t2", Address: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "z", Slots: 4, MaxConnections: 200},
		{Name: "t1", Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "z", Slots: 4, MaxConnections: 200},
	}
	before.Routes = []Route{{Method: "GET", PathPrefix: "/x", Idempotency: Idempotent}}
	after := NewService("a")
	after.MaxQueue = 9
	after.Targets = []Target{
		{Name: "t3", Address: netip.MustParseAddrPort("127.0.0.1:3"), Zone: "z", Slots: 4, MaxConnections: 200},
		{Name: "t2", Address: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "z", Slots: 6, MaxConnections: 200},
	}
	after.Routes = []Route{{Method: "GET", PathPrefix: "/x", Long: true}}
	want := []Difference{
		{Kind: Changed, Section: "service a", Key: "max_queue", Old: "512", New: "9"},
		{Kind: Removed, Section: "target a t1"},
		{Kind: Changed, Section: "target a t2", Key: "slots", Old: "4", New: "6"},
		{Kind: Added, Section: "target a t3"},
		{Kind: Changed, Section: "route a GET /x", Key: "idempotent", Old: "true"},
		{Kind: Changed, Section: "route a GET /x", Key: "long", New: "true"},
	}
	assert.DeepEqual(t, Diff(before, after), want)
	assert.Equal(t, len(Diff(before, before)), 0)
	assert.DeepEqual(t, Diff(nil, NewService("a")), []Difference{{Kind: Added, Section: "service a"}})
	assert.DeepEqual(t, Diff(NewService("a"), nil), []Difference{{Kind: Removed, Section: "service a"}})
}

// Guards against a reordered list of targets that is reported as a change.
func TestDiffIgnoresOrder(t *testing.T) {
	one := Target{Name: "t1", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	two := Target{Name: "t2", Address: netip.MustParseAddrPort("127.0.0.1:2")}
	a, b := NewService("a"), NewService("a")
	a.Targets, b.Targets = []Target{one, two}, []Target{two, one}
	assert.Equal(t, len(Diff(a, b)), 0)
}
