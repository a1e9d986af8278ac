package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
)

// WorkHeader sets the time that a target works on the request. The load
// generator sets it, so that the arrival trace decides the service times.
const WorkHeader = "Standin-Work"

// defaultMaxWaiting bounds the requests that wait for a slot of a target.
const defaultMaxWaiting = 1000

// Target is the stand-in of a target: it works on as many requests at once as
// it has slots, makes the others wait, and counts every run by request id.
type Target struct {
	slots      chan struct{}
	maxWaiting int64
	speed      speed
	draining   atomic.Bool
	rejecting  atomic.Bool
	shedding   atomic.Bool
	silentLoad atomic.Bool
	inFlight   atomic.Int64
	delay      time.Duration
	// staleReports replaces the present load by the sampled one.
	staleReports bool
	sampled      atomic.Int64
	probes       atomic.Int64
	// leavingSince is the time of the first leaving signal in Unix
	// milliseconds, 0 when there is none.
	leavingSince atomic.Int64
	late         atomic.Int64 // requests that arrived after the first leaving signal
	lateAfter    atomic.Int64 // milliseconds from that signal to the latest of them
	stop         chan struct{}
	fault        atomic.Pointer[targetFault]
	runsFile     string
	http         *fasthttp.Server

	mu   sync.Mutex
	runs map[string]int
}

// TargetOption changes a Target under construction.
type TargetOption func(*Target)

// WithNoise slows the target down by the factor for about the given time, at
// random moments that take the given share of the time (0 to 1).
func WithNoise(factor int, length time.Duration, share float64, seed uint64) TargetOption {
	return func(t *Target) {
		go t.makeNoise(factor, length, share, rand.New(rand.NewPCG(seed, seed)))
	}
}

// NewTarget returns a target with the given number of slots.
func NewTarget(slots int, opts ...TargetOption) *Target {
	t := &Target{
		slots:      make(chan struct{}, slots),
		maxWaiting: defaultMaxWaiting,
		stop:       make(chan struct{}),
		runs:       map[string]int{},
	}
	t.http = &fasthttp.Server{Handler: t.handle, MaxRequestBodySize: 16 << 20, NoDefaultServerHeader: true}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Serve answers requests until the listener closes.
func (t *Target) Serve(l net.Listener) error { return t.http.Serve(l) }

// Close stops serving.
func (t *Target) Close() error {
	close(t.stop)
	return t.http.Shutdown()
}

// Runs returns how many times each request id ran.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		runs[id] = n
	}
	return runs
}

func (t *Target) makeNoise(factor int, length time.Duration, share float64, rnd *rand.Rand) {
	for {
		quiet := time.Duration(float64(length) * (1 - share) / share * rnd.ExpFloat64())
		if !t.sleep(quiet) {
			return
		}
		t.speed.set(factor)
		if !t.sleep(time.Duration(float64(length) * (0.5 + rnd.Float64()))) {
			return
		}
		t.speed.set(1)
	}
}

// sleep waits for the duration and returns false when the target stopped.
func (t *Target) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.stop:
		return false
	case <-timer.C:
		return true
	}
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case header.HealthPath:
		t.probes.Add(1)
		t.report(ctx, t.inFlight.Load())
	case "/standin/control":
		t.handleControl(ctx)
	case "/standin/stats":
		t.handleStats(ctx)
	default:
		t.work(ctx)
	}
}

func (t *Target) work(ctx *fasthttp.RequestCtx) {
	if t.rejecting.Load() {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if after := t.leavingFor(); after >= 0 {
		t.late.Add(1)
		t.lateAfter.Store(after)
	}
	waiting := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	if t.shedding.Load() || waiting > t.maxWaiting {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(header.Outcome, header.OutcomeNotRun)
		t.report(ctx, waiting-1)
		return
	}
	if t.failBefore(ctx) {
		return
	}
	t.slots <- struct{}{}
	if err := t.count(string(ctx.Request.Header.Peek(header.RequestID))); err != nil {
		<-t.slots
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	work, _ := time.ParseDuration(string(ctx.Request.Header.Peek(WorkHeader)))
	t.speed.work(work)
	<-t.slots
	time.Sleep(t.delay)
	ctx.Response.Header.SetBytesV(header.RequestID, ctx.Request.Header.Peek(header.RequestID))
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(ctx.PostBody())
	t.report(ctx, t.inFlight.Load()-1)
	t.failAfter(ctx)
}

// leavingFor returns the milliseconds since the first leaving signal, or -1
// without one.
func (t *Target) leavingFor() int64 {
	since := t.leavingSince.Load()
	if since == 0 {
		return -1
	}
	return time.Now().UnixMilli() - since
}

// report adds the target's load and state to an answer.
func (t *Target) report(ctx *fasthttp.RequestCtx, inFlight int64) {
	if t.staleReports {
		inFlight = t.sampled.Load()
	}
	if !t.silentLoad.Load() {
		ctx.Response.Header.Set(header.InFlight, strconv.FormatInt(inFlight, 10))
	}
	state := header.StateReady
	if t.draining.Load() {
		state = header.StateDraining
	}
	ctx.Response.Header.Set(header.State, state)
}

func (t *Target) count(id string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	return t.keepRun(id)
}

// handleControl changes the target's behaviour: PUT /standin/control?
// draining=&rejecting=&shedding=&slow=&silent_load=&fault=&cut=&leaving=. With
// leaving=true the target counts late requests without announcing that it
// drains, for signals that come from elsewhere.
func (t *Target) handleControl(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	flags := []struct {
		name string
		to   *atomic.Bool
	}{
		{"draining", &t.draining},
		{"rejecting", &t.rejecting},
		{"shedding", &t.shedding},
		{"silent_load", &t.silentLoad},
	}
	for _, f := range flags {
		if args.Has(f.name) {
			f.to.Store(args.GetBool(f.name))
		}
	}
	if args.GetBool("draining") || args.GetBool("leaving") {
		t.leavingSince.CompareAndSwap(0, time.Now().UnixMilli())
	} else if args.Has("draining") || args.Has("leaving") {
		t.leavingSince.Store(0)
	}
	if args.Has("fault") {
		t.setFault(string(args.Peek("fault")), args.GetUintOrZero("cut"))
	}
	if args.Has("slow") {
		t.speed.set(args.GetUintOrZero("slow"))
	}
}

// statsMessage is what a target counted, on the wire.
type statsMessage struct {
	Runs   map[string]int `json:"runs"`
	Probes int64          `json:"probes"`
	Late   int64          `json:"late"`
	// LeavingMS and LateAfterMS are in milliseconds since the first leaving signal.
	LeavingMS   int64 `json:"leaving_ms"`
	LateAfterMS int64 `json:"late_after_ms"`
}

func (t *Target) handleStats(ctx *fasthttp.RequestCtx) {
	m := statsMessage{
		Runs: t.Runs(), Probes: t.probes.Load(), Late: t.late.Load(),
		LeavingMS: t.leavingFor(), LateAfterMS: t.lateAfter.Load(),
	}
	answer(ctx)(json.Marshal(m))
}

// Stats is what a target counted.
type Stats struct {
	// Runs counts the runs of each request id.
	Runs map[string]int
	// Probes counts the measuring requests.
	Probes int64
	// Late counts the requests that arrived after the first leaving signal.
	Late int64
	// Leaving is the time since that signal, negative without one, and
	// LateAfter the time from it to the latest of these requests.
	Leaving, LateAfter time.Duration
}

// DecodeStats decodes the answer of a target's /standin/stats.
func DecodeStats(body []byte) (Stats, error) {
	var m statsMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return Stats{}, err
	}
	return Stats{
		Runs: m.Runs, Probes: m.Probes, Late: m.Late,
		Leaving: time.Duration(m.LeavingMS) * time.Millisecond, LateAfter: time.Duration(m.LateAfterMS) * time.Millisecond,
	}, nil
}
