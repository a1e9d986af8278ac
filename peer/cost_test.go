package peer

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// changesPerSecond is the rate of configuration changes in the loaded
// measurement, 32 times the 2,700 a day of the design scale.
const changesPerSecond = 1

// BenchmarkMeshCost measures what a mesh costs per instance with the timings
// of production: control traffic, processor time and memory. Run it with
// -benchtime=1x; each case takes about 27 s.
func BenchmarkMeshCost(b *testing.B) {
	for _, count := range []int{2, 5, 15, 60} {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/changing=%t", count, changing), func(b *testing.B) {
				for b.Loop() {
					measureMesh(b, count, changing)
				}
			})
		}
	}
}

func measureMesh(b *testing.B, count int, changing bool) {
	// The sessions with the seed that all used to join end after Timings.Idle.
	const settle, window = 14 * time.Second, 12 * time.Second
	memoryBefore := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newNetwork()
	nodes := startMesh(b, n, count, WithTimings(DefaultTimings()))
	for _, node := range nodes {
		// Offset -1 would take ten bytes in each heartbeat.
		node.config.version.Store(0)
	}
	time.Sleep(settle)
	if changing {
		// Half of the instances read each version from the log at once, the
		// others 500 ms later.
		go publishVersions(ctx, nodes)
	}
	before := make([]Stats, count)
	sessions := 0
	for i, node := range nodes {
		before[i] = node.mesh.Stats()
		sessions += before[i].Sessions
	}
	processor := processorTime(b)
	time.Sleep(window)
	processor = processorTime(b) - processor
	var sum, most float64
	var snapshots uint64
	for i, node := range nodes {
		after := node.mesh.Stats()
		rate := float64(after.ControlBytes()-before[i].ControlBytes()) / window.Seconds()
		sum += rate
		most = max(most, rate)
		snapshots += after.Snapshots - before[i].Snapshots
	}
	memory := float64(memoryInUse()) - float64(memoryBefore)
	b.ReportMetric(sum/float64(count), "bytes/s/instance")
	b.ReportMetric(most, "max-bytes/s")
	b.ReportMetric(100*processor.Seconds()/window.Seconds()/float64(count), "%core/instance")
	b.ReportMetric(float64(sessions)/float64(count), "sessions/instance")
	b.ReportMetric(memory/float64(sessions)/1024, "KiB/session")
	b.ReportMetric(memory/float64(count)/1024, "KiB/instance")
	b.ReportMetric(float64(snapshots), "snapshots")
	for _, node := range nodes {
		go node.stop()
	}
	for _, node := range nodes {
		node.stop()
	}
}

func publishVersions(ctx context.Context, nodes []*node) {
	ticker := time.NewTicker(time.Second / changesPerSecond / 2)
	defer ticker.Stop()
	for half := 0; ; half++ {
		for i, node := range nodes {
			if i%2 == half%2 {
				node.config.version.Store(int64(1 + half/2))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// memoryInUse returns the bytes of the heap and of the stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward measures a forwarded request between two instances.
func BenchmarkForward(b *testing.B) {
	nodes := startMesh(b, newNetwork(), 2, WithHandler(echo))
	request := make([]byte, 512)
	for b.Loop() {
		_, err := nodes[0].mesh.Forward(context.Background(), nodes[1].id, 1001, request)
		assert.NilError(b, err)
	}
}

// BenchmarkTargetNews measures the time until a target's signal has reached
// all of 60 instances.
func BenchmarkTargetNews(b *testing.B) {
	nodes := startMesh(b, newNetwork(), 60, WithTimings(DefaultTimings()))
	target := netip.MustParseAddrPort("127.9.9.9:80")
	draining := false
	for b.Loop() {
		draining = !draining
		nodes[7].directory.AnnounceTarget(target, draining)
		for _, node := range nodes {
			for node.directory.TargetLeaving(target) != draining {
				time.Sleep(100 * time.Microsecond)
			}
		}
	}
}
