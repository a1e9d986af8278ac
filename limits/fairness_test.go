package limits

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a service that takes the places of the others, and against a
// refusal while the instance has room.
func TestFairnessRefusesServiceAboveItsShare(t *testing.T) {
	f := NewFairness(12)
	greedy, first, second := f.Share("greedy"), f.Share("first"), f.Share("second")
	for range 12 {
		assert.Assert(t, greedy.Enter())
	}
	assert.Assert(t, !greedy.Enter())
	for range 4 {
		assert.Assert(t, first.Enter())
		assert.Assert(t, second.Enter())
	}
	assert.Assert(t, !first.Enter())
	for range 9 {
		greedy.Leave()
	}
	assert.Equal(t, f.Total(), 11)
	assert.Assert(t, greedy.Enter())
}

// Guards against counts that drift under concurrent use.
func TestFairnessCountsConcurrentUse(t *testing.T) {
	f := NewFairness(8)
	var group sync.WaitGroup
	for _, name := range []string{"a", "b", "c", "a", "b", "c"} {
		group.Go(func() {
			s := f.Share(name)
			for range 1000 {
				if s.Enter() {
					s.Leave()
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, f.Total(), 0)
	assert.Equal(t, f.active.Load(), int64(0))
}
