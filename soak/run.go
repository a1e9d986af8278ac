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
	// recoveryTime is how long the callers continue after the end time of the
	// fault injection. A fault that is in progress at that time still runs to
	// its end.
	recoveryTime = 4 * time.Second
	// configTimeout is the time within which an instance must serve the newest
	// configuration version when it is checked.
	configTimeout = 2 * time.Second
	// versionInterval is the time between two requests that check that no instance
	// returns to an older version.
	versionInterval = 100 * time.Millisecond
)

// Result is the outcome of a run.
type Result struct {
	Requests int
	Served   int
	Refused  int
	Faults   []string
	// Violations describes every violated guarantee.
	Violations []string
}

// Run starts the system, injects faults as selected by the seed and checks the
// guarantees.
func Run(opts Options) (Result, error) {
	var result Result
	env, err := newEnvironment(opts)
	if err != nil {
		return result, err
	}
	defer env.close()
	if err := env.waitForReady(); err != nil {
		return result, err
	}
	env.readyAt = time.Now()
	end := env.readyAt.Add(opts.Duration)
	var results resultLog
	var group sync.WaitGroup
	for i := range opts.Callers {
		c := &caller{env: env, number: i, random: rand.New(rand.NewPCG(opts.Seed, uint64(2+i))), conns: map[string]*conn{}}
		group.Go(func() { c.run(end.Add(recoveryTime), results.add) })
	}
	regressions := make([]string, len(env.instances))
	for i, in := range env.instances {
		group.Go(func() { regressions[i] = in.watchVersions(end.Add(recoveryTime)) })
	}
	if !opts.NoFaults {
		env.injectFaults(end, func(text string) { result.Faults = append(result.Faults, text) })
	}
	group.Wait()
	for _, regression := range regressions {
		if regression != "" {
			result.addViolation("%s", regression)
		}
	}
	result.check(env, results.all)
	return result, nil
}

func (e *environment) waitForReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, in := range e.instances {
			if status, _, err := fasthttp.GetTimeout(nil, "http://"+in.address(readyPort)+standin.ReadyPath, time.Second); err == nil && status == fasthttp.StatusOK {
				ready++
			}
		}
		if ready == len(e.instances) {
			return nil
		}
	}
	return fmt.Errorf("instances did not become ready within %s", startTimeout)
}

func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// check compares the results of the callers with the requests that the targets
// ran.
func (r *Result) check(env *environment, results []requestResult) {
	runs := map[string]int{}
	for _, t := range env.allTargets() {
		for id, n := range t.Runs() {
			runs[id] += n
		}
		if late := env.lateRequests(t); late > 0 {
			r.addViolation("target %s received %d requests later than %s after it started draining", t.id, late, drainDelay)
		}
	}
	served := 0
	for _, res := range results {
		if res.behindClose {
			r.checkBehindClose(res, runs[res.id])
			continue
		}
		r.Requests++
		if res.status == fasthttp.StatusOK {
			served++
		}
		r.checkResult(res, runs[res.id])
	}
	r.Served = served
	if len(results) == 0 || served*2 < len(results) {
		r.addViolation("only %d of %d requests succeeded; at least half are required", served, len(results))
	}
	r.checkZones(env)
	r.checkVersions(env)
	r.checkTenants(env, results)
}

// lateRequests returns the number of requests that began to run on a target more
// than the drain delay after it started to drain. Time in which the store refused
// the calls of all instances does not count: none of them could learn of the drain.
func (e *environment) lateRequests(t *target) int {
	since, runs := t.DrainingRuns()
	late := 0
	for _, at := range runs {
		if at.Sub(since)-e.storeOutages.between(since, at) > drainDelay {
			late++
		}
	}
	return late
}

// checkBehindClose checks a request without a response that its caller sends again.
func (r *Result) checkBehindClose(res requestResult, runs int) {
	if runs > 0 {
		r.addViolation("request %s ran, although it was sent behind a response that closes the connection", res.id)
	}
}

func (r *Result) checkResult(res requestResult, runs int) {
	switch {
	case res.notIdempotent && runs > 1:
		r.addViolation("non-idempotent request %s ran %d times", res.id, runs)
	case res.status == fasthttp.StatusOK && !res.bodyMatches():
		r.addViolation("request %s received the wrong body %q", res.id, res.body)
	case res.status == fasthttp.StatusOK && runs == 0:
		r.addViolation("request %s received a response but did not run", res.id)
	}
	r.checkStatus(res, runs)
}

func (r *Result) checkStatus(res requestResult, runs int) {
	switch res.status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		r.Refused++
		if res.notIdempotent && runs > 0 {
			r.addViolation("request %s was reported as not run but ran", res.id)
		}
	case fasthttp.StatusNotFound:
		r.addViolation("request %s received status 404 although every configuration version has its route", res.id)
	case 0:
		if !res.notSent && runs > 0 && res.instance != nil && res.instance.wasSentSIGTERM(res.pid) {
			r.addViolation("request %s was interrupted by the graceful shutdown of instance %s", res.id, res.instance.id)
		}
	}
}

// wasSentSIGTERM reports whether the current process of the instance has the
// given ID and was sent SIGTERM.
func (in *instance) wasSentSIGTERM(pid int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.command.Process.Pid == pid && in.sentSIGTERM
}

// checkVersions requests, from every instance, the route that only the newest
// configuration version has.
func (r *Result) checkVersions(env *environment) {
	for _, in := range env.instances {
		if pid, notPaused := in.running(); pid == 0 || !notPaused {
			r.addViolation("instance %s is not running after the last fault", in.id)
			continue
		}
		status := 0
		for deadline := time.Now().Add(configTimeout); status != fasthttp.StatusOK && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			status = in.requestVersion(env.version)
		}
		if status != fasthttp.StatusOK {
			r.addViolation("instance %s returns status %d for the route of configuration version %d", in.id, status, env.version)
		}
	}
}

// requestVersion requests the route that only the given configuration version has. It
// returns the status, 0 without a response.
func (in *instance) requestVersion(version int64) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/v%d/", in.address(callerPort), version))
	req.Header.SetHost(host)
	req.UseHostHeader = true
	req.Header.Set(standin.HeaderRequestID, fmt.Sprintf("version-%s-%d", in.id, version))
	if fasthttp.DoTimeout(req, resp, time.Second) != nil {
		return 0
	}
	return resp.StatusCode()
}

// watchVersions requests the newest version's route until the end time. It returns a
// violation if a process that has had a version in force returns to an older one.
func (in *instance) watchVersions(end time.Time) string {
	highest, process := int64(0), 0
	for ; time.Now().Before(end); time.Sleep(versionInterval) {
		pid, _ := in.running()
		version := in.env.newestVersion()
		status := in.requestVersion(version)
		if after, _ := in.running(); pid == 0 || after != pid || in.env.newestVersion() != version {
			continue // it is not known which process or version the status is about
		}
		if pid != process {
			highest, process = 0, pid
		}
		switch {
		case status == fasthttp.StatusOK:
			highest = version
		case status == fasthttp.StatusNotFound && highest == version:
			return fmt.Sprintf("instance %s returned to a version older than %d", in.id, version)
		}
	}
	return ""
}
