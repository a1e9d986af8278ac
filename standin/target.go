package standin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// Headers and paths of callers, as the platform names them.
const (
	HeaderAttempt  = "Rhubarbrelay-Attempt-Id"
	HeaderDeadline = "Rhubarbrelay-Deadline-Ms"
	EntryPath      = "/-/resolve"
	ReadyPath      = "/-/readyz"
)

// Headers of a target, as the platform names them.
const (
	headerExpect      = "Rhubarbrelay-Expect-Instance"
	headerSeal        = "Rhubarbrelay-Response-Seal"
	headerNotExecuted = "Rhubarbrelay-Not-Executed"
	headerInstance    = "Rhubarbrelay-Instance-Id"
	headerLoad        = "Rhubarbrelay-Server-Load"
	// HeaderWork sets the time that a target works on the request.
	HeaderWork = "Standin-Work-Ms"
	healthPath = "/healthz"
)

// DefaultHeartbeat is the time between two reports of a target to the registry.
const DefaultHeartbeat = 300 * time.Millisecond

// TargetFaults are the failures that a target shows until they are changed.
type TargetFaults struct {
	// Shed refuses every request as not run; Hang runs none and never answers;
	// DropResponse runs requests and closes the connection without an answer; ServerError
	// answers 500; ReportUnhealthy and LieWell report the wrong health.
	Shed, Hang, DropResponse, ServerError, ReportUnhealthy bool
	// ExtraResponse sends a second answer after each one.
	ExtraResponse bool
	// SlowFactor multiplies the time of the work.
	SlowFactor int
}

// Target is the stand-in of a target. It counts every run by request ID.
type Target struct {
	info   targets.Target
	slots  chan struct{}
	queue  int64
	faults atomic.Pointer[TargetFaults]
	state  atomic.Int32
	http   *fasthttp.Server
	probes atomic.Int64

	running, waiting atomic.Int64

	mu     sync.Mutex
	runs   map[string]int
	leftAt time.Time
	late   int // requests that arrived after the drain delay
	drain  time.Duration
}

// TargetOption changes a Target under construction.
type TargetOption func(*Target)

// WithQueue sets the number of requests that may wait for a slot.
func WithQueue(n int) TargetOption { return func(t *Target) { t.queue = int64(n) } }

// WithDrainDelay sets the time after which a leaving target counts a request as
// late.
func WithDrainDelay(delay time.Duration) TargetOption { return func(t *Target) { t.drain = delay } }

// NewTarget returns a target that describes itself as given.
func NewTarget(info targets.Target, opts ...TargetOption) *Target {
	t := &Target{
		info: info, slots: make(chan struct{}, info.Slots), queue: 2 * int64(info.Slots), runs: map[string]int{},
		drain: 2 * time.Second,
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

// Serve answers requests until the listener closes.
func (t *Target) Serve(l net.Listener) error { return t.http.Serve(l) }

// Close stops serving.
func (t *Target) Close() error { return t.http.Shutdown() }

// SetFaults changes the failures.
func (t *Target) SetFaults(faults TargetFaults) { t.faults.Store(&faults) }

// SetState changes the state that the target reports.
func (t *Target) SetState(state targets.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == targets.Draining && t.leftAt.IsZero() {
		t.leftAt = time.Now()
	}
	t.state.Store(int32(state))
}

// Runs returns how often each request ran.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.runs)
}

// LateRequests returns the number of requests that arrived later than the drain delay
// after the target said that it leaves.
func (t *Target) LateRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.late
}

// Registrar writes to the registry.
type Registrar interface {
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) error
}

// Register reports the target to the registry until the context ends, then
// removes its entry.
func (t *Target) Register(ctx context.Context, registry Registrar, heartbeat time.Duration) error {
	for sequence := int64(1); ; sequence++ {
		info := t.info
		info.Sequence, info.State = sequence, targets.State(t.state.Load())
		value, err := platform.EncodeTarget(&info)
		if err != nil {
			return err
		}
		// An outage of the store loses a heartbeat; the next one follows.
		_ = registry.Append(ctx, platform.TargetTopic, info.ID, value)
		select {
		case <-ctx.Done():
			leave, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return registry.Append(leave, platform.TargetTopic, info.ID, nil)
		case <-time.After(heartbeat):
		}
	}
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	h := &ctx.Response.Header
	faults := t.faults.Load()
	if id := ctx.Request.Header.Peek(HeaderAttempt); len(id) > 0 {
		h.SetBytesV(HeaderAttempt, id)
	}
	switch string(ctx.Path()) {
	case healthPath:
		t.probes.Add(1)
		h.Set(headerInstance, t.info.ID)
		if faults.ReportUnhealthy || targets.State(t.state.Load()) == targets.Draining {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case controlPrefix + "stats":
		writeJSON(ctx, map[string]any{"runs": t.Runs(), "late": t.LateRequests(), "probes": t.probes.Load()})
	case controlPrefix + "faults":
		t.controlFaults(ctx)
	case controlPrefix + "drain":
		t.SetState(targets.Draining)
	default:
		t.work(ctx, faults)
	}
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,%d", t.running.Load(), t.waiting.Load(), t.info.Slots, 100*max(1, faults.SlowFactor)))
}

// controlFaults sets the faults named in the query, such as ?shed&slow=4.
func (t *Target) controlFaults(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	t.SetFaults(TargetFaults{
		Shed: args.Has("shed"), Hang: args.Has("mute"), DropResponse: args.Has("cut"), ServerError: args.Has("fail"),
		ReportUnhealthy: args.Has("lie_ill"), ExtraResponse: args.Has("second"), SlowFactor: args.GetUintOrZero("slow"),
	})
}

func (t *Target) work(ctx *fasthttp.RequestCtx, faults *TargetFaults) {
	id := string(ctx.Request.Header.Peek(HeaderAttempt))
	expect := string(ctx.Request.Header.Peek(headerExpect))
	switch {
	case id == "":
		t.refuse(ctx, fasthttp.StatusBadRequest)
		return
	case expect != "" && expect != t.info.ID:
		ctx.Response.Header.Set(headerInstance, t.info.ID)
		t.refuse(ctx, fasthttp.StatusMisdirectedRequest)
		return
	case faults.Shed:
		t.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	case faults.Hang:
		time.Sleep(t.deadline(ctx))
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if !t.enter(ctx) {
		return
	}
	defer t.leave()
	t.count(id)
	t.sleep(ctx, faults)
	t.answer(ctx, id, faults)
}

func (t *Target) refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.Set(headerNotExecuted, "1")
	ctx.SetStatusCode(status)
}

// enter waits for a slot, or refuses the request.
func (t *Target) enter(ctx *fasthttp.RequestCtx) bool {
	if t.waiting.Add(1) > t.queue {
		t.waiting.Add(-1)
		t.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		return true
	case <-time.After(t.deadline(ctx)):
		t.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return false
	}
}

func (t *Target) leave() {
	t.running.Add(-1)
	<-t.slots
}

func (t *Target) deadline(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderDeadline)))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *Target) count(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
	if !t.leftAt.IsZero() && time.Since(t.leftAt) > t.drain {
		t.late++
	}
}

func (t *Target) sleep(ctx *fasthttp.RequestCtx, faults *TargetFaults) {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWork)))
	if err != nil {
		return
	}
	time.Sleep(min(t.deadline(ctx), time.Duration(ms*max(1, faults.SlowFactor))*time.Millisecond))
}

// answer echoes the method, the path and the body.
func (t *Target) answer(ctx *fasthttp.RequestCtx, id string, faults *TargetFaults) {
	body := fmt.Sprintf("%s %s %s %s\n%s", t.info.ID, ctx.Method(), ctx.RequestURI(), id, ctx.PostBody())
	ctx.Response.Header.Set(headerSeal, fmt.Sprintf("%s.%d.%08x", t.info.ID, len(body), rand.Uint32()))
	ctx.SetBodyString(body)
	switch {
	case faults.ServerError:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case faults.DropResponse:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case faults.ExtraResponse:
		second := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\nContent-Length: 6\r\n\r\nsecond", HeaderAttempt, id, headerSeal)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(second)) })
	}
}

// TargetInfo returns the self-description of a target at the listener's address.
func TargetInfo(id, service, zone string, slots int, address netip.AddrPort) targets.Target {
	return targets.Target{
		ID: id, StartedMS: time.Now().UnixMilli(), Service: service, Zone: zone, Version: "v1", Slots: slots, Address: address,
	}
}
