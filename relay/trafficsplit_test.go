package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// Guards against parts of a route that get more or less than their weight in a
// short run of requests.
func TestSplits(t *testing.T) {
	route := &config.Route{Split: []config.WeightedService{{Service: "a", Weight: 70}, {Service: "b", Weight: 20}, {Service: "c", Weight: 10}}}
	var s splits
	counts := map[string]int{}
	for i := 1; i <= 200; i++ {
		counts[s.next(route)]++
		for _, p := range route.Split {
			want := float64(i*p.Weight) / 100
			got := float64(counts[p.Service])
			assert.Assert(t, got > want-1 && got < want+1, "%s got %g of %g after %d", p.Service, got, want, i)
		}
	}
}
