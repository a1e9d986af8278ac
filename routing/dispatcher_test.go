package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/limits"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// maxRefusal is the longest time that a refusal may take.
const maxRefusal = 50 * time.Millisecond

func newTestDispatcher(service *config.Service, opts ...Option) *Dispatcher {
	return NewDispatcher(service, append([]Option{WithRandom(rand.New(rand.NewPCG(1, 2)))}, opts...)...)
}

// warm brings every target to its full limit by successes.
func warm(t *testing.T, d *Dispatcher) {
	t.Helper()
	for range 400 {
		slot := acquire(t, d, Call{})
		time.Sleep(time.Millisecond)
		slot.Release(success(time.Millisecond))
	}
}

func success(latency time.Duration) Result {
	return Result{Status: Succeeded, Latency: latency, Reported: NoReport}
}

func acquire(t *testing.T, d *Dispatcher, call Call) *Slot {
	t.Helper()
	slot, err := d.Acquire(context.Background(), call)
	assert.NilError(t, err)
	return slot
}

// fill takes every free slot.
func fill(t *testing.T, d *Dispatcher, n int) []*Slot {
	t.Helper()
	slots := make([]*Slot, 0, n)
	for range n {
		slots = append(slots, acquire(t, d, Call{}))
	}
	return slots
}

// Guards against a target that rejects quickly attracting the traffic.
func TestFailFastTargetGetsLittleTraffic(t *testing.T) {
	for _, status := range []Status{Failed, Shed} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestDispatcher(fleetService(10, 4))
			bad := address(3)
			attempts, rejected := 4000, 0
			for range attempts {
				slot := acquire(t, d, Call{})
				if slot.Target().Address == bad {
					rejected++
					time.Sleep(100 * time.Microsecond)
					slot.Release(Result{Status: status, Latency: 100 * time.Microsecond, Reported: 0})
					continue
				}
				time.Sleep(5 * time.Millisecond)
				slot.Release(success(5 * time.Millisecond))
			}
			assert.Assert(t, rejected < attempts/100, "%d of %d attempts went to it", rejected, attempts)
			assert.Assert(t, d.Stats().Ejections > 0)
		})
	}
}

// Guards against a target that failed and recovered staying out.
func TestEjectedTargetReturnsThroughTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(4, 4))
		failing := true
		bad := address(1)
		served := 0
		for range 4000 {
			slot := acquire(t, d, Call{})
			time.Sleep(2 * time.Millisecond)
			if slot.Target().Address != bad {
				slot.Release(success(2 * time.Millisecond))
				continue
			}
			if failing {
				slot.Release(Result{Status: Failed, Reported: NoReport})
				failing = d.Stats().Ejections == 0
				continue
			}
			served++
			slot.Release(success(2 * time.Millisecond))
		}
		assert.Equal(t, d.Stats().Returns, uint64(1))
		assert.Assert(t, served > 100, "served %d", served)
	})
}

// Guards against the ejection of all targets when all fail.
func TestEjectionIsCapped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fleetService(10, 4)
		d := newTestDispatcher(service)
		for range 2000 {
			slot, err := d.Acquire(context.Background(), Call{})
			assert.NilError(t, err)
			time.Sleep(time.Millisecond)
			slot.Release(Result{Status: Failed, Reported: NoReport})
		}
		out := 0
		for _, v := range d.Views() {
			if v.Ejected || v.Reason == ReasonTrial {
				out++
			}
		}
		assert.Assert(t, out > 0 && out <= len(service.Targets)*service.EjectPercent/100, "%d out", out)
	})
}

// Guards against long work taking more slots than its share of the service or
// of one target.
func TestLongWorkHoldsBoundedShare(t *testing.T) {
	tests := []struct {
		percent int
		held    int
	}{
		{percent: 25, held: 5}, // of 20 slots
		{percent: 50, held: 10},
		{percent: 100, held: 10}, // half of each target's slots
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			service := fleetService(5, 4)
			service.LongPercent = tt.percent
			d := newTestDispatcher(service)
			warm(t, d)
			held := holdLong(d)
			assert.Equal(t, len(held), tt.held)
			perTarget := map[netip.AddrPort]int{}
			for _, s := range held {
				perTarget[s.Target().Address]++
				assert.Assert(t, perTarget[s.Target().Address] <= 2)
			}
		})
	}
}

// holdLong takes every slot that long work gets.
func holdLong(d *Dispatcher) []*Slot {
	var held []*Slot
	for {
		slot, err := d.Acquire(context.Background(), Call{Long: true})
		if err != nil {
			return held
		}
		held = append(held, slot)
	}
}

// Guards against long work that waits blocking short work behind it.
func TestWaitingLongWorkDoesNotBlockShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(5, 4))
		warm(t, d)
		holdLong(d)
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() { _, _ = d.Acquire(context.Background(), Call{Long: true}) })
		}
		synctest.Wait()
		before := time.Now()
		fill(t, d, 10)
		assert.Equal(t, time.Since(before), time.Duration(0))
		group.Wait()
	})
}

// Guards against a target that has just failed being the emptiest and so the
// next choice, and against its staying out when the others are idle.
func TestFailedTargetIsLastChoiceForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 4))
		warm(t, d)
		failed := acquire(t, d, Call{})
		failed.Release(Result{Status: Failed, Reported: NoReport})
		busy := acquire(t, d, Call{})
		for range 50 {
			slot := acquire(t, d, Call{})
			assert.Assert(t, slot.Target().Address != failed.Target().Address)
			time.Sleep(time.Millisecond)
			slot.Release(success(time.Millisecond))
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, acquire(t, d, Call{}).Target().Address, failed.Target().Address)
		busy.Release(success(time.Second))
	})
}

// Guards against the starvation of long work by a steady queue of short work.
func TestLongWorkIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 2))
		warm(t, d)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for ctx.Err() == nil {
					slot, err := d.Acquire(ctx, Call{})
					if err == nil {
						time.Sleep(time.Millisecond)
						slot.Release(success(time.Millisecond))
					}
				}
			})
		}
		for range 20 {
			slot := acquire(t, d, Call{Long: true})
			time.Sleep(20 * time.Millisecond)
			slot.Release(Result{Status: Succeeded, Latency: 20 * time.Millisecond, Reported: NoReport, Long: true})
		}
		cancel()
		group.Wait()
	})
}

// Guards against classes whose requests run long being treated as short.
func TestLongClassIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(4, 4))
		for i := range 300 {
			call, work := Call{Class: "lookup"}, 2*time.Millisecond
			if i%30 == 0 {
				call, work = Call{Class: "report"}, 100*time.Millisecond
			}
			slot := acquire(t, d, call)
			time.Sleep(work)
			slot.Release(success(work))
		}
		acquire(t, d, Call{Class: "report"})
		acquire(t, d, Call{Class: "lookup"})
		assert.Equal(t, d.Stats().LongHeld, 1)
	})
}

// Guards against a queue that is served by arrival instead of by deadline.
func TestQueueServesEarliestDeadlineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(1, 1))
		held := acquire(t, d, Call{})
		now := time.Now()
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for _, deadline := range []int{30, 10, 20, 40} {
			group.Go(func() {
				slot := acquire(t, d, Call{Deadline: now.Add(time.Duration(deadline) * time.Second)})
				mu.Lock()
				order = append(order, deadline)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				slot.Release(success(time.Millisecond))
			})
			synctest.Wait()
		}
		held.Release(success(time.Millisecond))
		group.Wait()
		assert.DeepEqual(t, order, []int{10, 20, 30, 40})
	})
}

// Guards against a released slot that stays idle while requests wait.
func TestReleasedSlotGoesToWaiterAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(1, 1))
		held := acquire(t, d, Call{})
		const hold = 7*time.Millisecond + reviewInterval/2 // between two reviews of the queue
		released := time.Now().Add(hold)
		go func() {
			time.Sleep(hold)
			held.Release(success(7 * time.Millisecond))
		}()
		acquire(t, d, Call{})
		assert.Equal(t, time.Now(), released)
	})
}

// Guards against refusals that come later than 50 ms, at every way of refusing.
func TestRefusalsComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fleetService(2, 2)
		service.MaxQueue = 20
		d := newTestDispatcher(service)
		warm(t, d)
		fill(t, d, 4)
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				arrived := time.Now()
				_, err := d.Acquire(context.Background(), Call{Arrival: arrived, Long: i%3 == 0})
				assert.Check(t, errors.Is(err, ErrTooLate) || errors.Is(err, ErrQueueFull), "%v", err)
				assert.Check(t, time.Since(arrived) <= maxRefusal)
			})
		}
		group.Wait()
		stats := d.Stats()
		assert.Equal(t, stats.RefusedEarly+stats.RefusedWaited+stats.RefusedFull, uint64(60))
		assert.Equal(t, stats.Waiting, 0)
	})
}

// Guards against waiting for a slot that cannot come before the deadline.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(1, 1))
		for range 50 {
			slot := acquire(t, d, Call{})
			time.Sleep(10 * time.Millisecond)
			slot.Release(success(10 * time.Millisecond))
		}
		held := acquire(t, d, Call{})
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() { _, _ = d.Acquire(context.Background(), Call{}) })
		}
		synctest.Wait()
		before := time.Now()
		_, err := d.Acquire(context.Background(), Call{})
		assert.ErrorIs(t, err, ErrTooLate)
		assert.Equal(t, time.Since(before), time.Duration(0))
		held.Release(success(10 * time.Millisecond))
		group.Wait()
	})
}

// Guards against a slot that is lost when its waiter gives up at the moment at
// which it is handed over.
func TestCanceledWaiterLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(1, 1))
		for range 200 {
			held := acquire(t, d, Call{})
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			group.Go(func() {
				slot, err := d.Acquire(ctx, Call{})
				if err == nil {
					slot.Release(Result{Status: Unused, Reported: NoReport})
				}
			})
			synctest.Wait()
			group.Go(cancel)
			group.Go(func() { held.Release(success(time.Millisecond)) })
			group.Wait()
			assert.Equal(t, d.Stats().InFlight, 0)
			assert.Equal(t, d.Stats().Waiting, 0)
		}
	})
}

// Guards against new work on leaving or drained targets under any policy, and
// against waiters that are left without a target.
func TestNoNewWorkOnLeavingOrDrainedTargets(t *testing.T) {
	for _, policy := range policies() {
		synctest.Test(t, func(t *testing.T) {
			service := fleetService(3, 2)
			service.Policy = policy
			service.Targets[0].Drained = true
			d := newTestDispatcher(service)
			d.SetLeaving(address(1), true)
			for range 50 {
				slot := acquire(t, d, Call{})
				assert.Equal(t, slot.Target().Address, address(2))
				slot.Release(success(time.Millisecond))
			}
			d.SetLeaving(address(2), true)
			_, err := d.Acquire(context.Background(), Call{})
			assert.ErrorIs(t, err, ErrNoTarget)
			d.SetLeaving(address(2), false)
			_, err = d.Acquire(context.Background(), Call{Exclude: []netip.AddrPort{address(2)}})
			assert.ErrorIs(t, err, ErrNoTarget)
		})
	}
}

// Guards against a leaving target that still serves a queue, and a queue that
// waits for nothing.
func TestWaitersAreRefusedWhenLastTargetLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(1, 1))
		held := acquire(t, d, Call{})
		result := make(chan error)
		go func() {
			_, err := d.Acquire(context.Background(), Call{})
			result <- err
		}()
		synctest.Wait()
		d.SetLeaving(address(0), true)
		assert.ErrorIs(t, <-result, ErrNoTarget)
		held.Release(success(time.Millisecond))
		assert.Equal(t, d.Stats().InFlight, 0)
	})
}

// Guards against waiters that keep waiting for the old targets, and against a
// removed target that gets work when its last request ends.
func TestUpdateDuringWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fleetService(1, 1)
		d := newTestDispatcher(service)
		held := acquire(t, d, Call{})
		result := make(chan *Slot)
		go func() {
			slot, err := d.Acquire(context.Background(), Call{})
			assert.Check(t, err)
			result <- slot
		}()
		synctest.Wait()
		changed := fleetService(2, 1)
		changed.Targets = changed.Targets[1:]
		d.Update(changed)
		slot := <-result
		assert.Equal(t, slot.Target().Address, address(1))
		held.Release(success(time.Millisecond))
		slot.Release(success(time.Millisecond))
		slot = acquire(t, d, Call{})
		assert.Equal(t, slot.Target().Address, address(1))
		d.Update(service)
		assert.Equal(t, acquire(t, d, Call{}).Target().Address, address(0))
	})
}

// Guards against a target that is removed and added again with more in flight
// than its slots.
func TestTargetThatComesBackKeepsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fleetService(1, 1)
		d := newTestDispatcher(service)
		acquire(t, d, Call{})
		d.Update(config.NewService(service.Name))
		d.Update(service)
		_, err := d.Acquire(context.Background(), Call{})
		assert.ErrorIs(t, err, ErrTooLate)
	})
}

// Guards against requests that wait for a service that is gone.
func TestTableRefusesWaitersOfRemovedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable()
		fleet := config.NewFleet()
		fleet.Services["spoolkeep"] = fleetService(1, 1)
		table.Update(fleet)
		d := table.Dispatcher("spoolkeep")
		acquire(t, d, Call{})
		result := make(chan error)
		go func() {
			_, err := d.Acquire(context.Background(), Call{})
			result <- err
		}()
		synctest.Wait()
		table.Update(config.NewFleet())
		assert.ErrorIs(t, <-result, ErrNoTarget)
	})
}

// Guards against a full target being chosen because its load comes from other
// instances.
func TestReportedLoadKeepsTargetFromChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 4))
		warm(t, d)
		for range 8 {
			slot := acquire(t, d, Call{})
			result := success(time.Millisecond)
			if slot.Target().Address == address(0) {
				result.Reported = 4
			}
			slot.Release(result)
		}
		assert.Equal(t, acquire(t, d, Call{}).Target().Address, address(1))
		time.Sleep(10 * time.Second)
		assert.Equal(t, acquire(t, d, Call{}).Target().Address, address(0))
	})
}

// Guards against a target whose requests do not come back getting more of them.
func TestTargetThatAnswersNothingIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(4, 4))
		warm(t, d)
		stuck := 0
		for range 300 {
			slot := acquire(t, d, Call{})
			if slot.Target().Address == address(0) {
				stuck++
				continue
			}
			time.Sleep(time.Millisecond)
			slot.Release(success(time.Millisecond))
		}
		assert.Assert(t, stuck <= 2, "%d requests are stuck", stuck)
	})
}

// Guards against a target that has become slow looking like the others until
// its answers come.
func TestTargetIsSlowBeforeItsAnswersCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(4, 4))
		warm(t, d)
		slots := fill(t, d, 8)
		for range 10 {
			time.Sleep(time.Millisecond)
			for i, s := range slots {
				if s.Target().Address != address(0) {
					s.Release(success(time.Millisecond))
					slots[i] = acquire(t, d, Call{Exclude: []netip.AddrPort{address(0)}})
				}
			}
		}
		assert.Equal(t, d.Views()[0].InFlight, 2)
		assert.Equal(t, d.Views()[0].Reason, ReasonSlow)
		for range 6 {
			assert.Assert(t, acquire(t, d, Call{}).Target().Address != address(0))
		}
	})
}

// Guards against a stale load report that makes a request wait, or be refused,
// while a slot is free, and against one that is not used to compare targets.
func TestReportsCompareTargetsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 4))
		warm(t, d)
		reported := acquire(t, d, Call{Exclude: []netip.AddrPort{address(1)}})
		reported.Release(Result{Status: Succeeded, Latency: time.Millisecond, Reported: 50})
		assert.Equal(t, acquire(t, d, Call{}).Target().Address, address(1))
		before := time.Now()
		for range 4 {
			acquire(t, d, Call{Exclude: []netip.AddrPort{address(1)}})
		}
		assert.Equal(t, time.Since(before), time.Duration(0))
	})
}

// Guards against a retry that waits for another target blocking the queue.
func TestWaiterWithExcludedTargetDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 1))
		held := map[netip.AddrPort]*Slot{}
		for _, s := range fill(t, d, 2) {
			held[s.Target().Address] = s
		}
		first, second := make(chan *Slot, 1), make(chan *Slot, 1)
		go func() {
			first <- acquire(t, d, Call{Exclude: []netip.AddrPort{address(1)}})
		}()
		synctest.Wait()
		go func() { second <- acquire(t, d, Call{}) }()
		synctest.Wait()
		held[address(1)].Release(success(time.Millisecond))
		assert.Equal(t, (<-second).Target().Address, address(1))
		held[address(0)].Release(success(time.Millisecond))
		assert.Equal(t, (<-first).Target().Address, address(0))
	})
}

// Guards against retries above the budget of the service.
func TestRetriesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 4))
		first, retries := 1000, 0
		for range first {
			acquire(t, d, Call{}).Release(success(time.Millisecond))
			if d.AllowRetry() {
				retries++
				acquire(t, d, Call{Exclude: []netip.AddrPort{address(0)}}).Release(success(time.Millisecond))
			}
		}
		assert.Assert(t, retries <= first/10+10, "%d retries", retries)
		assert.Equal(t, d.Stats().RetriesAllowed, uint64(retries))
	})
}

// Guards against one service taking all places of the instance.
func TestServiceAboveItsShareIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fairness := limits.NewFairness(10)
		greedy := newTestDispatcher(fleetService(20, 4), WithFairness(fairness))
		modest := config.NewService("dispatchdesk")
		modest.Targets = fleetService(20, 4).Targets
		other := newTestDispatcher(modest, WithFairness(fairness))
		fill(t, greedy, 10)
		_, err := greedy.Acquire(context.Background(), Call{})
		assert.ErrorIs(t, err, ErrQueueFull)
		assert.Assert(t, !strings.Contains(err.Error(), "\n")) // It goes into a header.
		slots := fill(t, other, 5)
		_, err = other.Acquire(context.Background(), Call{})
		assert.ErrorIs(t, err, ErrQueueFull)
		for _, s := range slots {
			s.Release(success(time.Millisecond))
		}
		assert.Equal(t, fairness.Total(), 10)
	})
}

// Guards against a target that comes back getting its full load at once.
func TestReturnedTargetStartsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(2, 8))
		warm(t, d)
		d.SetLeaving(address(0), true)
		d.SetLeaving(address(0), false)
		assert.Equal(t, d.Views()[0].Limit, 1)
		assert.Equal(t, d.Views()[0].Reason, ReasonSlowStart)
		for range 2000 {
			slot := acquire(t, d, Call{})
			time.Sleep(time.Millisecond)
			slot.Release(success(time.Millisecond))
		}
		assert.Equal(t, d.Views()[0].Limit, 8)
	})
}

// Guards against stale or misleading load reports that keep steering requests,
// and against distrust that outlasts them.
func TestContradictedReportsLoseWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(fleetService(1, 4))
		warm(t, d)
		report := func(count, reported int) {
			for range count {
				earlier := acquire(t, d, Call{})
				time.Sleep(time.Millisecond)
				answered := acquire(t, d, Call{})
				time.Sleep(time.Millisecond)
				answered.Release(Result{Status: Succeeded, Latency: time.Millisecond, Reported: reported})
				earlier.Release(success(time.Millisecond))
			}
		}
		report(100, 1)
		assert.Equal(t, d.reports.weight(), 1.0)
		report(100, 0)
		assert.Equal(t, d.reports.weight(), 0.0)
		report(2000, 1)
		assert.Assert(t, d.reports.weight() > 0.9, "%v", d.reports.weight())
	})
}
