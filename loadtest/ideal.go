package loadtest

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"time"
)

// Ideal returns the latency of each request in a central queue that knows
// every slot at every moment: first come, first served, no transfer times, and
// among free slots one of a target that is not slow. It is the lower bound that
// policies are compared with.
func Ideal(p *Profile, trace []Request, targets, slots int) []time.Duration {
	q := newCentralQueue(p, targets, slots)
	latencies := make([]time.Duration, len(trace))
	for i, r := range trace {
		latencies[i] = q.run(r) - r.At
	}
	return latencies
}

// centralQueue keeps the time at which each slot becomes free.
type centralQueue struct {
	busy slotHeap
	free []int // targets of the free slots
	slow []*noiseSchedule
}

func newCentralQueue(p *Profile, targets, slots int) *centralQueue {
	q := &centralQueue{}
	for t := range targets {
		q.slow = append(q.slow, newNoiseSchedule(p.Noise, p.Seed+uint64(t)))
		for range slots {
			q.free = append(q.free, t)
		}
	}
	return q
}

// run starts the request on the first slot that is free and returns the time
// at which it ends.
func (q *centralQueue) run(r Request) time.Duration {
	for len(q.busy) > 0 && q.busy[0].until <= r.At {
		q.free = append(q.free, heap.Pop(&q.busy).(busySlot).target)
	}
	start := r.At
	if len(q.free) == 0 {
		next := heap.Pop(&q.busy).(busySlot)
		start = next.until
		q.free = append(q.free, next.target)
	}
	target := q.takeFree(start)
	end := q.slow[target].finish(start, r.Work)
	heap.Push(&q.busy, busySlot{until: end, target: target})
	return end
}

func (q *centralQueue) takeFree(at time.Duration) int {
	best := 0
	for i, t := range q.free {
		if !q.slow[t].slowAt(at) {
			best = i
			break
		}
	}
	target := q.free[best]
	q.free[best] = q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	return target
}

// busySlot is a slot that works on a request.
type busySlot struct {
	until  time.Duration
	target int
}

// slotHeap orders busy slots by the time at which they become free.
type slotHeap []busySlot

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slotHeap) Push(x any) { *h = append(*h, x.(busySlot)) }

// Pop implements heap.Interface.
func (h *slotHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// noiseSchedule is the sequence of slow moments of one target.
type noiseSchedule struct {
	noise Noise
	rnd   *rand.Rand
	slow  []interval
}

// interval is a slow moment of a target.
type interval struct {
	start, end time.Duration
}

func newNoiseSchedule(n Noise, seed uint64) *noiseSchedule {
	return &noiseSchedule{noise: n, rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (s *noiseSchedule) quiet() bool { return s.noise.Share <= 0 || s.noise.Factor <= 1 }

// next returns the first slow moment that ends after the time.
func (s *noiseSchedule) next(at time.Duration) interval {
	i := sort.Search(len(s.slow), func(i int) bool { return s.slow[i].end > at })
	for i == len(s.slow) {
		s.extend()
		if s.slow[i].end <= at {
			i++
		}
	}
	return s.slow[i]
}

func (s *noiseSchedule) extend() {
	var last time.Duration
	if len(s.slow) > 0 {
		last = s.slow[len(s.slow)-1].end
	}
	length := float64(s.noise.Length)
	start := last + time.Duration(length*(1-s.noise.Share)/s.noise.Share*s.rnd.ExpFloat64())
	s.slow = append(s.slow, interval{start, start + time.Duration(length*(0.5+s.rnd.Float64()))})
}

func (s *noiseSchedule) slowAt(at time.Duration) bool {
	return !s.quiet() && at >= s.next(at).start
}

// finish returns when work ends that begins at the time and takes the given
// time at the usual speed.
func (s *noiseSchedule) finish(at, work time.Duration) time.Duration {
	if s.quiet() {
		return at + work
	}
	factor := time.Duration(s.noise.Factor)
	for {
		slow := s.next(at)
		if usual := slow.start - at; usual > 0 {
			if work <= usual {
				return at + work
			}
			work -= usual
			at = slow.start
		}
		if left := slow.end - at; work*factor <= left {
			return at + work*factor
		}
		work -= (slow.end - at) / factor
		at = slow.end
	}
}
