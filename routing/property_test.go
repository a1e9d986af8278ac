package routing

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against more requests in flight than slots by own count, against
// calls that never end and against lost slots, under any mix of calls,
// cancellations, failures and changes of the targets.
func TestDispatcherKeepsItsSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 80).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { runSteps(t, steps) })
	})
}

// step is one call or change, a while after the previous one.
type step struct {
	pause   time.Duration
	change  int // 0 to 2 change the targets, others make a call
	target  int
	call    Call
	work    time.Duration
	timeout time.Duration
	status  Status
}

func drawStep(t *rapid.T) step {
	ms := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond / 2
	}
	s := step{
		pause:   ms("pause", 4),
		change:  rapid.IntRange(0, 20).Draw(t, "change"),
		target:  rapid.IntRange(0, 2).Draw(t, "target"),
		work:    ms("work", 100),
		timeout: ms("timeout", 120),
		status:  Status(rapid.IntRange(int(Succeeded), int(Unused)).Draw(t, "status")),
	}
	s.call.Long = rapid.Bool().Draw(t, "long")
	if rapid.Bool().Draw(t, "exclude") {
		s.call.Exclude = []netip.AddrPort{address(s.target)}
	}
	return s
}

func runSteps(t *testing.T, steps []step) {
	const slots = 2
	service := fleetService(3, slots)
	d := NewDispatcher(service, WithRandom(rand.New(rand.NewPCG(1, 1))))
	var mu sync.Mutex
	held := map[netip.AddrPort]int{}
	var group sync.WaitGroup
	for _, s := range steps {
		time.Sleep(s.pause)
		switch s.change {
		case 0:
			d.SetLeaving(address(s.target), s.call.Long)
			continue
		case 1:
			d.Update(fleetService(s.target, slots))
			continue
		case 2:
			d.Update(service)
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
			defer cancel()
			arrived := time.Now()
			slot, err := d.Acquire(ctx, s.call)
			assert.Check(t, time.Since(arrived) <= maxRefusal)
			if err != nil {
				return
			}
			at := slot.Target().Address
			mu.Lock()
			held[at]++
			assert.Check(t, held[at] <= slots, "%d in flight on %s", held[at], at)
			mu.Unlock()
			time.Sleep(s.work)
			mu.Lock()
			held[at]--
			mu.Unlock()
			slot.Release(Result{Status: s.status, Latency: s.work, Reported: NoReport, Long: s.call.Long})
		})
	}
	group.Wait()
	stats := d.Stats()
	assert.Equal(t, stats.InFlight, 0)
	assert.Equal(t, stats.LongHeld, 0)
	assert.Equal(t, stats.Waiting, 0)
	for _, target := range d.targets {
		assert.Equal(t, len(target.slots), 0)
	}
}
