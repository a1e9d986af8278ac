package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// headerCold is the header of health responses in which a target states for how many
// milliseconds it remains cold.
const headerCold = "Rhubarbrelay-Cold-Ms"

// coldTime is the time for which a target is cold, and the requests that it got then.
type coldTime struct {
	mu sync.Mutex
	// stated is set once the target has been cold, or if it was started as one that may
	// be: only then do its health responses have the header.
	stated bool
	until  time.Time
	// countedFrom is when senders must have noticed that it is cold.
	countedFrom time.Time
	runs        []time.Time // when requests arrived while it was cold
}

// SetCold makes the target cold for the given time from now on. Requests that arrive
// before senders must have noticed that are not counted.
func (t *Target) SetCold(left, notice time.Duration) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	now := time.Now()
	t.cold.stated, t.cold.until, t.cold.countedFrom = true, now.Add(left), now.Add(notice)
}

// Requests returns the number of requests that have arrived, those that were not run
// included.
func (t *Target) Requests() int64 { return t.requests.Load() }

// coldLeft returns the remaining cold time, 0 if the target is warm, and whether the
// target states it.
func (t *Target) coldLeft() (left time.Duration, stated bool) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	return max(0, time.Until(t.cold.until)), t.cold.stated
}

// setCold sets the header of a health response.
func (t *Target) setCold(h *fasthttp.ResponseHeader) {
	if left, stated := t.coldLeft(); stated {
		h.Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// recordCold counts a request that arrives while the target is cold.
func (t *Target) recordCold() {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	if now := time.Now(); now.Before(t.cold.until) && !now.Before(t.cold.countedFrom) {
		t.cold.runs = append(t.cold.runs, now)
	}
}

// ColdPeak returns the highest number of requests that arrived within a second while the
// target was cold, and their total.
func (t *Target) ColdPeak() (peak, total int) {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	first := 0
	for last, at := range t.cold.runs {
		for at.Sub(t.cold.runs[first]) > time.Second {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak, len(t.cold.runs)
}
