package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/standin"
)

// fault is a disturbance that a run injects. The run function of a temporary
// fault returns after it has ended the fault.
type fault struct {
	name string
	// affectsProcess marks faults that affect the process of an instance. An
	// instance has at most one of them at a time.
	affectsProcess bool
	run            func(env *environment, in *instance, length time.Duration)
}

// faults are the faults that a run selects from. New ones are added at the end, so that
// a seed keeps selecting from those that existed when it was found.
var faults = []fault{
	{name: "kill", affectsProcess: true, run: func(_ *environment, in *instance, length time.Duration) {
		in.signal(syscall.SIGKILL)
		in.waitForExit()
		time.Sleep(length / 4)
		_ = in.start()
	}},
	{name: "stop", affectsProcess: true, run: func(_ *environment, in *instance, length time.Duration) {
		in.signal(syscall.SIGTERM)
		in.waitForExit()
		time.Sleep(length / 4)
		_ = in.start()
	}},
	{name: "pause", affectsProcess: true, run: func(_ *environment, in *instance, length time.Duration) {
		in.signal(syscall.SIGSTOP)
		time.Sleep(length)
		in.signal(syscall.SIGCONT)
	}},
	{name: "reload", run: func(_ *environment, in *instance, _ time.Duration) { in.signal(syscall.SIGHUP) }},
	{name: "store reset", run: proxyFault(standin.ProxyReset)},
	{name: "store unresponsive", run: proxyFault(standin.ProxyBlackhole)},
	{name: "open store connections unresponsive", run: proxyFault(standin.ProxyBlackholeOpen)},
	{name: "store refuses connections", run: proxyFault(standin.ProxyRefuse)},
	{name: "store down", run: storeFault(standin.Faults{Down: true})},
	{name: "store throttled", run: storeFault(standin.Faults{Throttled: true})},
	{name: "store slow", run: storeFault(standin.Faults{Delay: 300 * time.Millisecond})},
	{name: "store drops responses", run: storeFault(standin.Faults{DropResponses: true})},
	{name: "store history expired", run: func(env *environment, _ *instance, _ time.Duration) { env.store.Expire() }},
	{name: "publish", run: func(env *environment, _ *instance, _ time.Duration) { _ = env.publish() }},
	{name: "target sheds load", run: targetFault(standin.TargetFaults{Shed: true})},
	{name: "target drops responses", run: targetFault(standin.TargetFaults{DropResponses: true})},
	{name: "target returns errors", run: targetFault(standin.TargetFaults{ServerError: true})},
	{name: "target hangs", run: targetFault(standin.TargetFaults{Hang: true})},
	{name: "target is slow", run: targetFault(standin.TargetFaults{SlowFactor: 6})},
	{name: "target sends extra responses", run: targetFault(standin.TargetFaults{ExtraResponse: true})},
	{name: "target reports itself unhealthy", run: targetFault(standin.TargetFaults{ReportUnhealthy: true})},
	{name: "target replaced", run: replaceTarget},
	{name: "store restored from a copy", run: restoreStore},
	{name: "target limits its requests", run: targetFault(standin.TargetFaults{Limit: "1"})},
	{name: "target wants no requests for a time", run: targetFault(standin.TargetFaults{Shed: true, RetryAfter: "1"})},
	{name: "target states that it leaves", run: replaceStatingTarget},
	{name: coldFault, run: makeTargetCold},
	{name: "zone evacuated", run: evacuateZone},
}

func proxyFault(mode string) func(*environment, *instance, time.Duration) {
	return func(_ *environment, in *instance, length time.Duration) {
		_ = in.proxy.SetMode(mode)
		time.Sleep(length)
		_ = in.proxy.SetMode(standin.ProxyPass)
	}
}

func storeFault(f standin.Faults) func(*environment, *instance, time.Duration) {
	return func(env *environment, _ *instance, length time.Duration) {
		env.setStoreFaults(f)
		time.Sleep(length)
		env.setStoreFaults(standin.Faults{})
	}
}

// setStoreFaults replaces the faults of the store and records an outage while they
// make it refuse the calls of every instance.
func (e *environment) setStoreFaults(f standin.Faults) {
	e.store.SetFaults(f)
	e.storeOutages.set(f.Down || f.Throttled || f.Silent || f.Reset, time.Now())
}

const (
	minCopyAge      = time.Second
	maxCopyAge      = 10 * time.Second
	maxOutage       = 2500 * time.Millisecond
	maxRewriteDelay = 2 * time.Second
	// maxRestoredVersions limits the versions published just before a restoration, and
	// those just after it.
	maxRestoredVersions = 3
)

// restoreStore restores the store from a copy amid an outage. Some time later, the lost
// records of operators and targets are written again in their order: all of the
// targets, and all or only the newest of the operators. Operators and targets are not
// affected by the outage. Short times are more frequent, since readers notice long ones.
// It does nothing while the store is being restored already.
func restoreStore(env *environment, _ *instance, length time.Duration) {
	if !env.restoring.TryLock() {
		return
	}
	defer env.restoring.Unlock()
	env.publishSome()
	time.Sleep(length / 4)
	env.setStoreFaults([]standin.Faults{{Silent: true}, {Down: true}, {Reset: true}}[env.randomInt(3)])
	length = env.randomDuration(env.randomDuration(maxOutage))
	before := env.randomDuration(length)
	time.Sleep(before)
	age := minCopyAge + env.randomDuration(maxCopyAge-minCopyAge)
	env.store.Restore(min(age, time.Since(env.readyAt)))
	var outage sync.WaitGroup
	outage.Go(func() {
		time.Sleep(length - before)
		env.setStoreFaults(standin.Faults{})
	})
	time.Sleep(env.randomDuration(env.randomDuration(maxRewriteDelay)))
	rewrite := []func(string){env.store.Rewrite, env.store.RewriteNewest}[env.randomInt(2)]
	rewrite(string(platform.ConfigTopic))
	env.store.Rewrite(string(platform.TargetTopic))
	env.publishSome()
	outage.Wait()
}

// publishSome publishes a random number of versions. e.restoring is held.
func (e *environment) publishSome() {
	for range e.randomInt(maxRestoredVersions + 1) {
		_ = e.publishNext()
	}
}

// randomDuration returns a random duration of at most the given one, in milliseconds.
func (e *environment) randomDuration(most time.Duration) time.Duration {
	return time.Duration(e.randomInt(int(most.Milliseconds())+1)) * time.Millisecond
}

func targetFault(f standin.TargetFaults) func(*environment, *instance, time.Duration) {
	return func(env *environment, _ *instance, length time.Duration) {
		t := env.randomTarget()
		t.SetFaults(f)
		time.Sleep(length)
		t.SetFaults(standin.TargetFaults{})
	}
}

// replaceTarget adds a target and drains another one, which stays registered for
// twice the drain delay. Once target 120 exists, it does nothing: target i listens
// on host 100+i of the network, so that 155 is the highest number with an address.
func replaceTarget(env *environment, _ *instance, _ time.Duration) {
	env.replaceTarget(func(*target) {})
}

// replaceStatingTarget is like replaceTarget, but the target that drains also states in
// its responses that it leaves.
func replaceStatingTarget(env *environment, _ *instance, _ time.Duration) {
	env.replaceTarget(func(old *target) { old.SetFaults(standin.TargetFaults{Leaving: true}) })
}

// replaceTarget adds a target and drains another one, for which it first calls prepare.
func (e *environment) replaceTarget(prepare func(old *target)) {
	e.mu.Lock()
	next, old := len(e.targets), e.targets[e.random.IntN(len(e.targets))]
	e.mu.Unlock()
	if next > 120 || e.addTarget(next) != nil {
		return
	}
	time.Sleep(drainDelay / 2)
	prepare(old)
	old.startDraining()
	time.Sleep(2 * drainDelay)
	old.deregister()
}

// maxConcurrentFaults is the maximum number of faults in progress at the same
// time.
const maxConcurrentFaults = 6

// selectedFaults returns the faults that the run selects from.
func (o Options) selectedFaults() []fault {
	selected := faults
	if o.Faults > 0 {
		selected = faults[:o.Faults]
	}
	return slices.DeleteFunc(slices.Clone(selected), func(f fault) bool { return !strings.Contains(f.name, o.OnlyFault) })
}

// injectFaults injects random faults until the end time and waits for them to
// finish. Several may overlap.
func (e *environment) injectFaults(end time.Time, logFault func(string)) {
	done := make(chan struct{}, maxConcurrentFaults)
	active, selected := 0, e.opts.selectedFaults()
	for time.Now().Before(end) {
		time.Sleep(time.Duration(50+e.randomInt(250)) * time.Millisecond)
		f := selected[e.randomInt(len(selected))]
		in := e.instances[e.randomInt(len(e.instances))]
		length := time.Duration(200+e.randomInt(2500)) * time.Millisecond
		for len(done) > 0 {
			<-done
			active--
		}
		if active >= maxConcurrentFaults || f.affectsProcess && !in.tryClaim() {
			continue
		}
		logFault(fmt.Sprintf("%s %s for %s", f.name, in.id, length))
		active++
		go func() {
			f.run(e, in, length)
			if f.affectsProcess {
				in.faultInProgress.Store(false)
			}
			done <- struct{}{}
		}()
	}
	for ; active > 0; active-- {
		<-done
	}
}
