package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func route(host, prefix string) *Route {
	return &Route{
		Name: host + prefix, Host: host, PathPrefix: prefix, Timeout: time.Second, MaxTries: 1,
		Split: []WeightedService{{Service: "s", Weight: 1}},
	}
}

// Guards against Match returning a route although another one has a longer
// matching prefix, a route of another host, or a route whose prefix ends within
// a segment of the path, or no route for another spelling of its host.
func TestMatch(t *testing.T) {
	d := &Document{
		Version: 1, Services: map[string]*Service{"s": {Name: "s"}},
		Routes: []*Route{
			route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/z/"),
			route("Upper.Example", "/u/"), route("dot.example.", "/d/"),
		},
	}
	assert.NilError(t, d.Validate())
	d.Index()
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "a.example/x/y/"},
		{"a.example", "/x/y", "a.example/x/"},
		{"a.example", "/xy/1", "a.example/"},
		{"A.Example:8080", "/x/", "a.example/x/"},
		{"a.example.", "/x/", "a.example/x/"},
		{"a.example.:8080", "/x/", "a.example/x/"},
		{"a.example..", "/x/", ""},
		{"upper.example", "/u/", "Upper.Example/u/"},
		{"dot.example", "/d/", "dot.example./d/"},
		{"b.example", "/z/1", "b.example/z/"},
		{"b.example", "/z", ""},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := d.Match(tt.host, tt.path); r != nil {
			got = r.Key()
		}
		assert.Equal(t, got, tt.want, "%s%s", tt.host, tt.path)
	}
}
