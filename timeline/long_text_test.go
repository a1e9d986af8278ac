package timeline

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against events whose texts quote what others have sent, which together exhaust
// the memory.
func TestLongTextsAreTruncated(t *testing.T) {
	r := NewRecorder("a", NewClock(time.Now))
	long := strings.Repeat("x", 100<<10)
	r.Record(Event{Kind: RequestRetried, Service: long, Target: long, Request: long, Peer: long, Detail: long})
	r.Record(Event{Kind: RequestRetried, Detail: long[:maxTextBytes]})
	events := r.Since(0)
	assert.Equal(t, len(events), 2)
	for _, text := range []string{events[0].Service, events[0].Target, events[0].Request, events[0].Peer, events[0].Detail, events[1].Detail} {
		assert.Equal(t, text, long[:maxTextBytes])
	}
}
