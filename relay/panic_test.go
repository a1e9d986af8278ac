package relay

import (
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/timeline"
)

// panicAt panics in its nth look at the freshness, counted from 1.
type panicAt struct{ left atomic.Int64 }

// Fresh implements Freshness.
func (p *panicAt) Fresh() bool {
	if p.left.Add(-1) == 0 {
		panic("test of the freshness")
	}
	return true
}

// panicRecorder panics at an unknown outcome.
type panicRecorder struct{}

// Record implements Recorder.
func (panicRecorder) Record(e timeline.Event) {
	if e.Kind == timeline.RequestUnknown {
		panic("test of the recorder")
	}
}

// Guards against a panic that ends the process, claims more than is known,
// keeps a slot, or is not reported.
func TestPanic(t *testing.T) {
	beforeSlot, withSlot := &panicAt{}, &panicAt{}
	beforeSlot.left.Store(1)
	withSlot.left.Store(2)
	cases := []struct {
		name    string
		opt     Option
		outcome string
	}{
		{"before the slot", WithFreshness(beforeSlot), "not_run"},
		{"with a slot", WithFreshness(withSlot), "not_run"},
		{"after the dispatch", WithRecorder(panicRecorder{}), "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			logged := memory.New()
			var count atomic.Int64
			target := newRawTarget(t, "sk-01", scripted("", &count)) // resets after reading the request
			h := newHarness(t, []config.Target{target}, WithLogger(&log.Logger{Handler: logged}), c.opt)
			a := h.call(t, "POST", "/orders", "body", "Rhubarbrelay-Request-Id: id-1")
			assert.Equal(t, a.status, 500)
			assert.Equal(t, a.outcome, c.outcome)
			assert.Equal(t, a.headers["Rhubarbrelay-Request-Id"], "id-1")
			assert.Equal(t, h.table.Dispatcher("spoolkeep").Stats().InFlight, 0)
			assert.Equal(t, h.pools.Pool(target.Address).Stats().Open, 0)
			assert.Equal(t, h.relay.Stats().Panics, uint64(1))
			assert.Equal(t, len(logged.Entries), 1)
			assert.Assert(t, logged.Entries[0].Fields.Get("stack") != "")
		})
	}
}
