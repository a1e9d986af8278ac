package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against services that get more or less than their share of a short run
// of requests.
func TestTrafficSplits(t *testing.T) {
	route := &config.Route{Split: []config.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	var s trafficSplits
	counts := map[string]int{}
	for i := 1; i <= 200; i++ {
		counts[s.next(route)]++
		for _, ws := range route.Split {
			want := float64(i*ws.Weight) / 100
			got := float64(counts[ws.Service])
			assert.Assert(t, got > want-1 && got < want+1, "service %s got %g requests of %g expected after %d", ws.Service, got, want, i)
		}
	}
}
