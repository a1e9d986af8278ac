package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/standin"
)

const (
	startTimeout = 20 * time.Second
	// settleTime passes between the last fault and the checks of recovery.
	settleTime = 4 * time.Second
	// applyTime is the time in which a version comes into force everywhere.
	applyTime = 2 * time.Second
)

// Result is the outcome of a run.
type Result struct {
	Requests int
	Served   int
	Refused  int
	Faults   []string
	// Violations names every broken guarantee.
	Violations []string
}

// Run plays one seed.
func Run(opts Options) (Result, error) {
	var result Result
	w, err := newWorld(opts)
	if err != nil {
		return result, err
	}
	defer w.close()
	if err := w.awaitReady(); err != nil {
		return result, err
	}
	end := time.Now().Add(opts.Duration)
	var seen record
	var group sync.WaitGroup
	for i := range opts.Callers {
		c := &caller{world: w, number: i, random: rand.New(rand.NewPCG(opts.Seed, uint64(2+i))), conns: map[string]*conn{}}
		group.Go(func() { c.run(end.Add(settleTime), seen.add) })
	}
	if !opts.NoFaults {
		w.disturb(end, func(text string) { result.Faults = append(result.Faults, text) })
	}
	group.Wait()
	result.check(w, seen.calls)
	return result, nil
}

func (w *world) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, in := range w.instances {
			if status, _, err := fasthttp.GetTimeout(nil, "http://"+in.address(readyPort)+standin.ReadyPath, time.Second); err == nil && status == fasthttp.StatusOK {
				ready++
			}
		}
		if ready == len(w.instances) {
			return nil
		}
	}
	return fmt.Errorf("instances are not ready after %s", startTimeout)
}

func (r *Result) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// check compares what the callers saw with what the targets ran.
func (r *Result) check(w *world, calls []call) {
	runs := map[string]int{}
	for _, t := range w.allTargets() {
		for id, n := range t.Runs() {
			runs[id] += n
		}
		if late := t.LateRequests(); late > 0 {
			r.violate("target %s got %d requests later than %s after it said that it leaves", t.id, late, drainDelay)
		}
	}
	served := 0
	for _, c := range calls {
		r.Requests++
		if c.status == fasthttp.StatusOK {
			served++
		}
		r.checkCall(c, runs[c.id])
	}
	r.Served = served
	if len(calls) == 0 || served*2 < len(calls) {
		r.violate("only %d of %d requests were served", served, len(calls))
	}
	r.checkVersions(w)
}

func (r *Result) checkCall(c call, runs int) {
	switch {
	case c.once && runs > 1:
		r.violate("request %s, which must not run twice, ran %d times", c.id, runs)
	case c.status == fasthttp.StatusOK && !c.own():
		r.violate("request %s got the body %q", c.id, c.body)
	case c.status == fasthttp.StatusOK && runs == 0:
		r.violate("request %s was answered and has not run", c.id)
	}
	r.checkStatus(c, runs)
}

func (r *Result) checkStatus(c call, runs int) {
	switch c.status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		r.Refused++
		if c.once && runs > 0 {
			r.violate("request %s was called not run and ran", c.id)
		}
	case fasthttp.StatusNotFound:
		r.violate("request %s was refused although its route was always there", c.id)
	case 0:
		if !c.unasked && runs > 0 && c.instance != nil && c.instance.stoppedAsPlanned(c.pid) {
			r.violate("request %s was cut off at %s, whose stop was planned", c.id, c.instance.id)
		}
	}
}

// stoppedAsPlanned returns whether the process was only asked to stop.
func (in *instance) stoppedAsPlanned(pid int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.command.Process.Pid == pid && in.planned
}

// checkVersions asks every instance for the route that only the newest version
// has.
func (r *Result) checkVersions(w *world) {
	for _, in := range w.instances {
		if pid, calm := in.running(); pid == 0 || !calm {
			r.violate("instance %s does not run after the last fault", in.id)
			continue
		}
		status := 0
		for deadline := time.Now().Add(applyTime); status != fasthttp.StatusOK && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI(fmt.Sprintf("http://%s/v%d/", in.address(callerPort), w.version))
			req.Header.SetHost(host)
			req.UseHostHeader = true
			req.Header.Set(standin.HeaderAttempt, fmt.Sprintf("version-%s-%d", in.id, w.version))
			if fasthttp.DoTimeout(req, resp, time.Second) == nil {
				status = resp.StatusCode()
			}
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}
		if status != fasthttp.StatusOK {
			r.violate("instance %s answers %d on the route of version %d", in.id, status, w.version)
		}
	}
}
