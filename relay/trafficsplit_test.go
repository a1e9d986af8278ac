package relay

import (
	"math"
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"
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

// Guards against a request with an expectation that counts twice, before its body and after
// it: with two services of the same weight, one would get all of them.
func TestTrafficSplitOfExpectations(t *testing.T) {
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)))
	d := harnessDocument()
	d.Routes[1].Split = []config.WeightedService{{Service: "spoolkeep", Weight: 50}, {Service: "unknown", Weight: 50}}
	h.document.Store(d)
	counts := map[int]int{}
	for range 20 {
		c := h.connect(t)
		c.send(rawRequest("POST", "/once/", "body", "Expect: 100-continue"))
		got := c.mustReceive()
		if got.status == fasthttp.StatusContinue {
			got = c.mustReceive()
		}
		counts[got.status]++
	}
	assert.DeepEqual(t, counts, map[int]int{200: 10, 503: 10})
}

// Guards against weights whose sum does not fit into a number: the service with the largest
// one would get all requests, or the other one.
func TestTrafficSplitWithLargeWeights(t *testing.T) {
	const requests = 200
	tests := []struct {
		name    string
		weights []int
		want    []int // requests of each service
	}{
		{"two of the largest", []int{math.MaxInt, math.MaxInt}, []int{100, 100}},
		{"a third of it", []int{math.MaxInt, math.MaxInt / 3}, []int{150, 50}},
		{"beside none", []int{0, math.MaxInt, math.MaxInt}, []int{0, 100, 100}},
		{"beside the smallest", []int{1, math.MaxInt}, []int{0, 200}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			route := &config.Route{}
			for i, weight := range tt.weights {
				route.Split = append(route.Split, config.WeightedService{Service: strconv.Itoa(i), Weight: weight})
			}
			var s trafficSplits
			counts := make([]int, len(tt.weights))
			for range requests {
				i, err := strconv.Atoi(s.next(route))
				assert.NilError(t, err)
				counts[i]++
			}
			assert.DeepEqual(t, counts, tt.want)
		})
	}
}
