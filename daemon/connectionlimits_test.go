package daemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against connections at one port that use all file descriptors, so that no request
// can be sent to a target, and against a limit above that of the settings.
func TestConnectionLimits(t *testing.T) {
	for _, files := range []uint64{0, 64, 1024, 4096, 1 << 20, 1 << 63} {
		for _, configured := range []int{1, 2000, 1_000_000} {
			l := newConnectionLimits(files, configured)
			sum := 0
			for _, limit := range []int{l.callers, l.peers, l.entry, l.ready, l.admin} {
				assert.Assert(t, limit >= 1)
				sum += limit + max(1, limit/8)
			}
			assert.Assert(t, l.callers <= configured && l.peers <= configured)
			assert.Assert(t, files == 0 || uint64(sum) <= files/4*3+5, "%d connections of %d files", sum, files)
		}
	}
	assert.Equal(t, newConnectionLimits(5000, 2000).callers, 2000)
}
