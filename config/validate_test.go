package config

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a version that is rejected because the sum of its weights does not fit
// into a number.
func TestValidateLargeWeights(t *testing.T) {
	r := route("a.example", "/")
	r.Split = []WeightedService{{Service: "s", Weight: math.MaxInt}, {Service: "t", Weight: math.MaxInt}}
	d := &Document{Version: 1, Services: map[string]*Service{"s": {Name: "s"}, "t": {Name: "t"}}, Routes: []*Route{r}}
	assert.NilError(t, d.Validate())
	r.Split[0].Weight, r.Split[1].Weight = 0, 0
	assert.ErrorContains(t, d.Validate(), "no service has a positive weight")
}
