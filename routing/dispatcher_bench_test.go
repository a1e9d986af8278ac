package routing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbrelay/config"
)

// BenchmarkAcquire measures the cost of a decision and its release, with
// parallel callers on one service.
func BenchmarkAcquire(b *testing.B) {
	for _, policy := range policies() {
		for _, targets := range []int{20, 200, 1000} {
			b.Run(fmt.Sprintf("%s/%d", policy, targets), func(b *testing.B) {
				service := fleetService(targets, fleetSlots)
				service.Policy = policy
				d := NewDispatcher(service, WithRandom(rand.New(rand.NewPCG(1, 1))))
				benchmarkParallel(b, d, service)
			})
		}
	}
}

func benchmarkParallel(b *testing.B, d *Dispatcher, service *config.Service) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx := context.Background()
		for pb.Next() {
			now := time.Now()
			slot, err := d.Acquire(ctx, Call{Arrival: now, Deadline: now.Add(service.Deadline)})
			if err != nil {
				continue
			}
			slot.Release(Result{Status: Succeeded, Latency: 5 * time.Millisecond, Reported: 1})
		}
	})
}

// BenchmarkAcquireQueued measures the same while requests wait for slots.
func BenchmarkAcquireQueued(b *testing.B) {
	service := fleetService(20, 1)
	d := NewDispatcher(service, WithRandom(rand.New(rand.NewPCG(1, 1))))
	b.SetParallelism(64)
	benchmarkParallel(b, d, service)
}

// BenchmarkUpdate measures a change of the configuration of a large service.
func BenchmarkUpdate(b *testing.B) {
	service := fleetService(1000, fleetSlots)
	d := NewDispatcher(service)
	for b.Loop() {
		d.Update(service)
	}
}
