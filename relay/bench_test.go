package relay

import (
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/upstream"
)

const benchBody = 512 // bytes, about the size of an order

func newBenchRequest() *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod("POST")
	req.Header.SetRequestURI("/orders")
	req.Header.SetHost("spoolkeep")
	req.Header.Set(header.RequestID, "0123456789abcdef")
	req.SetBodyString(strings.Repeat("x", benchBody))
	return req
}

// benchTarget answers like a target that reports its load.
func benchTarget(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(header.InFlight, "1")
	ctx.Response.Header.Set(header.State, header.StateReady)
	echo(ctx)
}

// BenchmarkRelay measures one caller after the other, through the relay and
// directly.
func BenchmarkRelay(b *testing.B) {
	target := newTarget(b, "sk-01", benchTarget)
	h := newHarness(b, []config.Target{target})
	paths := []struct {
		name       string
		address    string
		idempotent string
	}{
		{"direct", target.Address.String(), "false"},
		{"relayed", h.address, "false"},
		{"relayed_idempotent", h.address, "true"},
	}
	for _, path := range paths {
		b.Run(path.name, func(b *testing.B) {
			pool := upstream.NewPool(config.Target{Address: netip.MustParseAddrPort(path.address)}, 1)
			defer pool.Close()
			req, resp := newBenchRequest(), &fasthttp.Response{}
			req.Header.Set(header.Idempotent, path.idempotent)
			b.ReportAllocs()
			for b.Loop() {
				if err := pool.Exchange(req, resp, upstream.Terms{Deadline: time.Now().Add(testTimeout)}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAddedLatency measures the latency that the relay adds at a constant
// rate of calls, counted from the intended send time. Direct and relayed calls
// alternate in blocks, so that both see the same machine.
func BenchmarkAddedLatency(b *testing.B) {
	const (
		rate     = 5000 // calls per second
		block    = 2500 // calls
		highest  = int64(10 * time.Second)
		accuracy = 3 // significant digits
	)
	target := newTarget(b, "sk-01", benchTarget)
	h := newHarness(b, []config.Target{target})
	direct := upstream.NewPool(target, 64)
	relayed := upstream.NewPool(config.Target{Address: netip.MustParseAddrPort(h.address)}, 64)
	defer direct.Close()
	defer relayed.Close()
	histograms := []*hdrhistogram.Histogram{
		hdrhistogram.New(1, highest, accuracy), hdrhistogram.New(1, highest, accuracy),
	}
	pools := []*upstream.Pool{direct, relayed}
	for _, pool := range pools { // opens the connections
		runBlock(b, pool, block, rate, hdrhistogram.New(1, highest, accuracy))
	}
	b.ResetTimer()
	for done := 0; done < b.N; done += block {
		for i := range pools {
			runBlock(b, pools[i], min(block, b.N-done), rate, histograms[i])
		}
	}
	report := func(name string, quantile float64) {
		d, r := histograms[0].ValueAtQuantile(quantile), histograms[1].ValueAtQuantile(quantile)
		b.ReportMetric(float64(d)/1e3, "direct-"+name+"-us")
		b.ReportMetric(float64(r)/1e3, "relayed-"+name+"-us")
		b.ReportMetric(float64(r-d)/1e3, "added-"+name+"-us")
	}
	report("p50", 50)
	report("p99", 99)
}

func runBlock(b *testing.B, pool *upstream.Pool, calls, rate int, histogram *hdrhistogram.Histogram) {
	const workers = 32
	intended := make(chan time.Time, calls)
	var group sync.WaitGroup
	var mu sync.Mutex
	for range workers {
		group.Go(func() {
			req, resp := newBenchRequest(), &fasthttp.Response{}
			for at := range intended {
				err := pool.Exchange(req, resp, upstream.Terms{Deadline: time.Now().Add(testTimeout)})
				latency := time.Since(at)
				assert.Check(b, err)
				mu.Lock()
				_ = histogram.RecordValue(int64(latency))
				mu.Unlock()
			}
		})
	}
	start := time.Now()
	for i := range calls {
		at := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		// A sleep ends late by more than the latency that is measured.
		for time.Now().Before(at) {
			runtime.Gosched()
		}
		intended <- at
	}
	close(intended)
	group.Wait()
}
