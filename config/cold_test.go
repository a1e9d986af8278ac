package config

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a published limit of cold targets that is lost when an operator edits
// and publishes the file of the configuration.
func TestLimitOfColdTargets(t *testing.T) {
	const text = "[service s]\nhealth_path = /h\ncold = 20s\ncold_per_second = 3.9\n[route a.example /x/]\ntimeout = 1s\nservices = s\n"
	d, err := Parse([]byte(text))
	assert.NilError(t, err)
	again, err := Parse(Format(d))
	assert.NilError(t, err)
	for _, s := range []*Service{d.Services["s"], again.Services["s"]} {
		assert.Equal(t, s.ColdDuration, 20*time.Second)
		assert.Equal(t, s.ColdPerSecond, 3.9)
	}
	for _, value := range []string{"-1", "NaN", "many"} {
		_, err := Parse([]byte(strings.Replace(text, "3.9", value, 1)))
		assert.ErrorContains(t, err, `key "cold_per_second"`)
	}
}
