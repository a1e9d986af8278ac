package registry

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/evacuation"
	"rhubarbrelay/platform"
)

// Guards against an evacuation that is missed because the configuration beside it is old
// or malformed, because the history has expired, or after an outage or a restoration of
// the store.
func TestEvacuationsAreRead(t *testing.T) {
	put := func(s *fakeStore, keysAndValues ...string) {
		for i := 0; i < len(keysAndValues); i += 2 {
			s.put(platform.ConfigTopic, keysAndValues[i], keysAndValues[i+1])
		}
	}
	tests := []struct {
		name   string
		change func(s *fakeStore)
		want   string
	}{
		{"evacuated", func(s *fakeStore) { put(s, "evacuate/b", "{}") }, "a,b"},
		{"ended", func(s *fakeStore) { put(s, "evacuate/a", "") }, ""},
		{"beside an old configuration", func(s *fakeStore) { put(s, "config", documentJSON(2), "evacuate/b", "{}") }, "a,b"},
		{"before a malformed configuration", func(s *fakeStore) { put(s, "evacuate/b", "{}", "config", "{") }, "a,b"},
		{"keys that name no zone", func(s *fakeStore) {
			put(s, "evacuate/", "{}", "evacuate", "{}", "evacuate/\xff", "{}", "evacuate/"+strings.Repeat("z", 64), "{}")
		}, "a"},
		{"expired history", func(s *fakeStore) {
			s.fail(platform.ErrUnavailable)
			time.Sleep(time.Second)
			put(s, "evacuate/b", "{}")
			s.expire(platform.ConfigTopic)
			s.fail(nil)
		}, "a,b"},
		{"restored store without the key", func(s *fakeStore) {
			s.restore(platform.ConfigTopic, 1)
			put(s, "config", documentJSON(6))
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				put(s, "config", documentJSON(5), "evacuate/a", "{}")
				set := evacuation.NewSet()
				f := NewConfigFollower(s, roleOf(reader, false), noPeer, discardLogger, func(*config.Document) {}, WithEvacuations(set))
				ctx, cancel := context.WithCancel(context.Background())
				var running sync.WaitGroup
				running.Go(func() { _ = f.Run(ctx) })
				time.Sleep(100 * time.Millisecond)
				assert.DeepEqual(t, set.State().Names(), []string{"a"})
				tt.change(s)
				time.Sleep(2500 * time.Millisecond)
				assert.Equal(t, strings.Join(set.State().Names(), ","), tt.want)
				cancel()
				running.Wait()
			})
		})
	}
}
