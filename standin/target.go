package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/targets"
)

// Headers and paths of the platform that callers use. In the names of headers, the
// platform calls a request an attempt, and a target an instance or a server.
const (
	HeaderRequestID = "Rhubarbrelay-Attempt-Id"
	HeaderDeadline  = "Rhubarbrelay-Deadline-Ms"
	EntryPath       = "/-/resolve"
	ReadyPath       = "/-/readyz"
)

// Headers of the platform that targets use, and the stand-in's own header and
// health path.
const (
	headerExpectedTarget = "Rhubarbrelay-Expect-Instance"
	headerSeal           = "Rhubarbrelay-Response-Seal"
	headerNotExecuted    = "Rhubarbrelay-Not-Executed"
	headerTargetID       = "Rhubarbrelay-Instance-Id"
	headerLoad           = "Rhubarbrelay-Server-Load"
	headerLimit          = "Server-Limit"
	headerLeaving        = "Server-Leaving"
	// headerEnd ends the process of the target, as a request does that crashes it.
	headerEnd = "Standin-End"
	// HeaderWork sets the processing time of the request in milliseconds.
	HeaderWork = "Standin-Work-Ms"
	// headerSize sets the least size of the response body in bytes.
	headerSize = "Standin-Response-Bytes"
	healthPath = "/healthz"
)

// crashExitCode is the exit code of a target that a request has ended.
const crashExitCode = 70

// DefaultRegistrationInterval is the time between two registrations of a target.
const DefaultRegistrationInterval = 300 * time.Millisecond

// Target is a stand-in for a target. It counts the runs of every request ID.
type Target struct {
	registration targets.Target
	slots        chan struct{}
	queueLimit   int64
	faults       atomic.Pointer[TargetFaults]
	state        atomic.Int32
	http         *fasthttp.Server
	listening    listening
	probes       atomic.Int64
	requests     atomic.Int64
	// stateChanged receives a value when the state was set, so that it is registered.
	stateChanged chan struct{}

	running, waiting atomic.Int64

	mu            sync.Mutex
	runs          map[string]int
	tenants       map[string]string // of the requests that ran, by ID
	credentials   int               // requests with an Authorization header
	drainingSince time.Time
	drainingRuns  []time.Time // when requests began to run since drainingSince
	drainDelay    time.Duration

	cold     coldTime
	runTimes []time.Time // when requests began to run
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// WithQueue sets the number of requests that may wait for a slot.
func WithQueue(n int) TargetOption { return func(t *Target) { t.queueLimit = int64(n) } }

// WithDrainDelay sets the drain delay: requests that begin to run later than this
// after the target started to drain count as late.
func WithDrainDelay(delay time.Duration) TargetOption {
	return func(t *Target) { t.drainDelay = delay }
}

// NewTarget returns a target with the given registration.
func NewTarget(registration targets.Target, opts ...TargetOption) *Target {
	t := &Target{
		registration: registration, slots: make(chan struct{}, registration.Slots), queueLimit: 2 * int64(registration.Slots), runs: map[string]int{}, tenants: map[string]string{},
		drainDelay: 2 * time.Second, stateChanged: make(chan struct{}, 1),
	}
	t.faults.Store(&TargetFaults{})
	t.http = &fasthttp.Server{
		Handler: t.handle, NoDefaultServerHeader: true, NoDefaultContentType: true, MaxRequestBodySize: 16 << 20,
		CloseOnShutdown: true, IdleTimeout: 10 * time.Second,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Serve serves requests until the listener is closed.
func (t *Target) Serve(l net.Listener) error { return t.http.Serve(t.listening.begin(l)) }

// Close stops serving.
func (t *Target) Close() error {
	t.listening.end()
	return t.http.Shutdown()
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults TargetFaults) { t.faults.Store(&faults) }

// SetState sets the state that the target reports.
func (t *Target) SetState(state targets.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == targets.Draining && t.drainingSince.IsZero() {
		t.drainingSince = time.Now()
	}
	t.state.Store(int32(state))
	select {
	case t.stateChanged <- struct{}{}:
	default:
	}
}

// Runs returns the number of runs by request ID.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// Probes returns the number of health probes.
func (t *Target) Probes() int64 { return t.probes.Load() }

// LateRequests returns the number of requests that began to run more than the
// drain delay after the target started to drain.
func (t *Target) LateRequests() int {
	since, runs := t.DrainingRuns()
	late := 0
	for _, at := range runs {
		if at.Sub(since) > t.drainDelay {
			late++
		}
	}
	return late
}

// DrainingRuns returns when the target started to drain, or the zero time, and when
// requests began to run after that.
func (t *Target) DrainingRuns() (since time.Time, runs []time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainingSince, slices.Clone(t.drainingRuns)
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Response.Header
	faults := t.faults.Load()
	if id := ctx.Request.Header.Peek(HeaderRequestID); len(id) > 0 {
		h.SetBytesV(HeaderRequestID, id)
	}
	faults.setStatements(h)
	path := string(ctx.Path())
	if faults.respondEndlessly(ctx, path) {
		return
	}
	switch path {
	case healthPath:
		t.probes.Add(1)
		h.Set(headerTargetID, t.registration.ID)
		t.setCold(h)
		if faults.ReportUnhealthy || !faults.ReportHealthy && targets.State(t.state.Load()) == targets.Draining {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case controlPrefix + "stats":
		peak, total := t.ColdPeak()
		writeJSON(ctx, map[string]any{
			"runs": t.Runs(), "late": t.LateRequests(), "probes": t.Probes(), "tenants": t.Tenants(), "credentials": t.Credentials(),
			"cold_peak": peak, "cold_runs": total,
		})
	case controlPrefix + "cold":
		args := ctx.QueryArgs()
		t.SetCold(time.Duration(args.GetUintOrZero("ms"))*time.Millisecond, time.Duration(args.GetUintOrZero("notice_ms"))*time.Millisecond)
	case controlPrefix + "faults":
		t.handleFaults(ctx)
	case controlPrefix + "drain":
		t.SetState(targets.Draining)
	case controlPrefix + "run-times":
		writeJSON(ctx, t.RunTimes())
	default:
		t.handleRequest(ctx, faults)
	}
	if faults.RetryAfter != "" && ctx.Response.StatusCode() == fasthttp.StatusServiceUnavailable {
		h.Set(fasthttp.HeaderRetryAfter, faults.RetryAfter)
	}
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d", t.running.Load(), t.waiting.Load(), t.registration.Slots, 100*max(1, faults.SlowFactor)))
}

func (t *Target) handleRequest(ctx *fasthttp.RequestCtx, faults *TargetFaults) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	expect := string(ctx.Request.Header.Peek(headerExpectedTarget))
	switch {
	case id == "":
		t.reject(ctx, fasthttp.StatusBadRequest)
		return
	case expect != "" && expect != t.registration.ID:
		ctx.Response.Header.Set(headerTargetID, t.registration.ID)
		t.reject(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	t.requests.Add(1)
	t.recordCold()
	switch {
	case faults.Shed:
		t.reject(ctx, fasthttp.StatusServiceUnavailable)
		return
	case faults.Hang:
		time.Sleep(t.timeout(ctx))
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if len(ctx.Request.Header.Peek(headerEnd)) > 0 {
		os.Exit(crashExitCode)
	}
	if !t.acquireSlot(ctx) {
		return
	}
	defer t.releaseSlot()
	t.recordRun(id)
	t.recordTenant(id, &ctx.Request.Header)
	t.simulateWork(ctx, faults)
	t.respond(ctx, id, faults)
}

func (t *Target) reject(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.Set(headerNotExecuted, "1")
	ctx.SetStatusCode(status)
}

// acquireSlot waits for a slot. It rejects the request if the queue is full or
// the deadline passes.
func (t *Target) acquireSlot(ctx *fasthttp.RequestCtx) bool {
	if t.waiting.Add(1) > t.queueLimit {
		t.waiting.Add(-1)
		t.reject(ctx, fasthttp.StatusServiceUnavailable)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		return true
	case <-time.After(t.timeout(ctx)):
		t.reject(ctx, fasthttp.StatusServiceUnavailable)
		return false
	}
}

func (t *Target) releaseSlot() {
	t.running.Add(-1)
	<-t.slots
}

func (t *Target) timeout(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderDeadline)))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *Target) recordRun(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	t.runTimes = append(t.runTimes, time.Now())
	if !t.drainingSince.IsZero() {
		t.drainingRuns = append(t.drainingRuns, time.Now())
	}
}

// RunTimes returns when requests began to run.
func (t *Target) RunTimes() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.runTimes)
}

func (t *Target) simulateWork(ctx *fasthttp.RequestCtx, faults *TargetFaults) {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWork)))
	if err != nil {
		return
	}
	time.Sleep(min(t.timeout(ctx), time.Duration(ms*max(1, faults.SlowFactor))*time.Millisecond))
}

// respond echoes the ID, the method, the URI and the body of the request, and
// applies the faults of responses.
func (t *Target) respond(ctx *fasthttp.RequestCtx, id string, faults *TargetFaults) {
	body := fmt.Sprintf("%s %s %s %s\n%s", t.registration.ID, ctx.Method(), ctx.RequestURI(), id, ctx.PostBody())
	if size, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerSize))); err == nil && size > len(body) {
		body += strings.Repeat("x", size-len(body))
	}
	ctx.Response.Header.Set(headerSeal, fmt.Sprintf("%s.%d.%08x", t.registration.ID, len(body), rand.Uint32()))
	ctx.SetBodyString(body)
	switch {
	case faults.ServerError:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case faults.DropResponses:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case faults.ExtraResponse:
		second := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: 6\r\n\r\nsecond", HeaderRequestID, id, headerSeal)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(second)) })
	}
}
