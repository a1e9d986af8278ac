package relay

import (
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// maxRequestAllocation limits the bytes that a small request may allocate in all.
const maxRequestAllocation = 1 << 20

// Guards against a route with a large number of attempts that makes each request allocate
// memory for all of them, although few are ever made: the instance runs out of memory.
func TestManyAttempts(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
	}{
		{"few", 3},
		{"millions", 16 << 20},
		{"without limit", math.MaxInt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			shed := func(req *fasthttp.Request) (string, bool) {
				return notRunResponse(req, fasthttp.StatusServiceUnavailable), false
			}
			// Targets of zone a are tried first.
			h := newHarness(t, targetInfos(
				newScriptedTarget(t, "t-1", "a", shed), newScriptedTarget(t, "t-2", "a", shed), newScriptedTarget(t, "t-3", "b", echo)))
			d := harnessDocument()
			d.Routes[1].MaxTries = tt.attempts
			h.document.Store(d)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := h.call(t, "POST", "/once/", "body")
			runtime.ReadMemStats(&after)
			assert.Equal(t, got.status, fasthttp.StatusOK)
			assert.Equal(t, got.body, "body")
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Assert(t, allocated < maxRequestAllocation, "the request allocated %d bytes", allocated)
		})
	}
}

// Guards against a request that is refused or answered late because of sums with the
// longest timeout of a route or of a caller.
func TestLongestTimeout(t *testing.T) {
	const year = 365 * 24 * time.Hour
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)))
	d := harnessDocument()
	for _, r := range d.Routes {
		r.Timeout, r.Objective = year, year
	}
	h.document.Store(d)
	for _, path := range []string{"/safe/", "/once/"} {
		assert.Equal(t, h.call(t, "POST", path, "body").status, fasthttp.StatusOK)
		assert.Equal(t, h.call(t, "POST", path, "body", "Rhubarbrelay-Deadline-Ms: 9223372036854775807").status, fasthttp.StatusOK)
	}
}
