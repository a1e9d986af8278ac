package checks

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// document returns a valid document without findings, after it was changed.
func document(t *testing.T, change func(*config.Document)) *config.Document {
	t.Helper()
	d := &config.Document{
		Version: 1,
		Limits:  config.Limits{HeaderTimeout: time.Second, IdleTimeout: 15 * time.Second},
		Services: map[string]*config.Service{
			"s": {Name: "s", HealthPath: "/h", ColdDuration: 3 * time.Second, ColdPerSecond: 4}, "spare": {Name: "spare", HealthPath: "/h"},
		},
		Routes: []*config.Route{{
			Name: "r", Host: "a.example", PathPrefix: "/x/", Objective: time.Second, Timeout: 2 * time.Second, MaxTries: 2,
			Split: []config.WeightedService{{Service: "s", Weight: 9}, {Service: "spare", Weight: 1}},
		}},
		Tenants: []*config.Tenant{{Name: "t", Keys: []config.KeyDigest{config.DigestKey([]byte("key-of-tenant-t")), {2}}, RatePerSecond: 10, Burst: 5}},
	}
	change(d)
	assert.NilError(t, d.Validate())
	d.Index()
	return d
}

// Guards against a mistake that is not found, and against findings in a configuration
// without mistakes.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*config.Document)
		want   []Finding
	}{
		{"no mistake", func(*config.Document) {}, nil},
		{"weight 0", func(d *config.Document) { d.Routes[0].Split[1].Weight = 0 }, []Finding{
			{Unused, "route a.example /x/", `service "spare" has weight 0 and gets no requests`},
			{Unused, "service spare", "no route leads to the service"},
		}},
		{"host in another spelling", func(d *config.Document) {
			other := *d.Routes[0]
			other.Host = "A.example"
			d.Routes = append(d.Routes, &other)
		}, []Finding{{Unused, "route a.example /x/", "another spelling of the host has a route with the same prefix, which gets all requests"}}},
		{"objective above timeout", func(d *config.Document) { d.Routes[0].Objective = 3 * time.Second }, []Finding{
			{Contradiction, "route a.example /x/", "objective 3s is longer than timeout 2s"},
		}},
		{"all routes public", func(d *config.Document) { d.Routes[0].Public = true }, []Finding{{Unused, "tenant t", "all routes are public"}}},
		{"public without tenants", func(d *config.Document) { d.Routes[0].Public, d.Tenants = true, nil }, []Finding{
			{Unused, "route a.example /x/", "the route is public, but without tenants no route needs an API key"},
		}},
		{"no tenant left", func(d *config.Document) { d.Tenants, d.KeysRequired = nil, true }, []Finding{
			{Contradiction, "tenants", "requests need an API key, but there is no tenant: all of them are refused, but for those of public routes"},
		}},
		{"no key", func(d *config.Document) { d.Tenants[0].Keys = nil }, []Finding{
			{Unused, "tenant t", "the tenant has no API key, so that no request belongs to it"},
		}},
		{"burst below one request", func(d *config.Document) { d.Tenants[0].Burst = 0.5 }, []Finding{
			{Contradiction, "tenant t", "burst 0.5 is less than one request"},
		}},
		{"burst without rate", func(d *config.Document) { d.Tenants[0].RatePerSecond = 0 }, []Finding{
			{Unused, "tenant t", "burst 5 has no effect without a rate"},
		}},
		{"limit of cold targets without duration", func(d *config.Document) { d.Services["s"].ColdDuration = 0 }, []Finding{
			{Contradiction, "service s", "cold targets are limited to 4 requests per second, but no target is cold after its start"},
		}},
		{"limit of cold targets without health path", func(d *config.Document) { d.Services["s"].HealthPath = "" }, []Finding{
			{Contradiction, "service s", "cold targets are limited, but without a health path they cannot tell that they are cold"},
		}},
		{"header timeout above idle timeout", func(d *config.Document) { d.Limits.HeaderTimeout = time.Minute }, []Finding{
			{Contradiction, "limits", "header timeout 1m0s is longer than idle timeout 15s"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, Check(document(t, tt.change)), tt.want)
		})
	}
}

// Guards against a change that is not listed, or listed with the wrong sign, and against
// differences between equal configurations.
func TestCompare(t *testing.T) {
	tests := []struct {
		name   string
		change func(*config.Document)
		want   []Difference
	}{
		{"equal", func(*config.Document) {}, nil},
		{"limit", func(d *config.Document) { d.Limits.MaxBodyBytes = 10 }, []Difference{{"limits", "maximum body bytes changed from 0 to 10"}}},
		{"route", func(d *config.Document) {
			added := *d.Routes[0]
			added.PathPrefix = "/y/"
			d.Routes = append(d.Routes, &added)
			d.Routes[0].Timeout = 3 * time.Second
			d.Routes[0].Split[1].Weight = 2
		}, []Difference{
			{"route a.example /x/", "timeout changed from 2s to 3s"},
			{"route a.example /x/", "services changed from s:9, spare:1 to s:9, spare:2"},
			{"route a.example /y/", "added"},
		}},
		{"route replaced", func(d *config.Document) { d.Routes[0].PathPrefix = "/y/" }, []Difference{
			{"route a.example /x/", "removed"}, {"route a.example /y/", "added"},
		}},
		{"services", func(d *config.Document) {
			d.Services["new"] = &config.Service{Name: "new", HealthPath: "/h"}
			d.Services["s"].ColdPerSecond = 2
		}, []Difference{{"service new", "added"}, {"service s", "requests per second of a cold target changed from 4 to 2"}}},
		{"keys", func(d *config.Document) { d.Tenants[0].Keys = []config.KeyDigest{{2}, {3}, {4}} }, []Difference{
			{"tenant t", "2 keys added"}, {"tenant t", "1 keys revoked"},
		}},
		{"quota", func(d *config.Document) { d.Tenants[0].RatePerSecond = 8 }, []Difference{{"tenant t", "requests per second changed from 10 to 8"}}},
		{"last tenant removed", func(d *config.Document) { d.Tenants, d.KeysRequired = nil, true }, []Difference{{"tenant t", "removed, with its 2 keys"}}},
		{"no tenants any more", func(d *config.Document) { d.Tenants = nil }, []Difference{
			{"tenants", "requests need no API key any more"}, {"tenant t", "removed, with its 2 keys"},
		}},
		{"tenant replaced", func(d *config.Document) { d.Tenants[0].Name = "u" }, []Difference{
			{"tenant t", "removed, with its 2 keys"}, {"tenant u", "added, with 2 keys"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			unchanged := document(t, func(*config.Document) {})
			assert.DeepEqual(t, Compare(unchanged, document(t, tt.change)), tt.want)
		})
	}
	assert.Assert(t, len(Compare(nil, document(t, func(*config.Document) {}))) > 0)
}
