package soak

import (
	"fmt"
	"syscall"
	"time"

	"rhubarbrelay/standin"
)

// fault is one disturbance, which ends by itself.
type fault struct {
	name string
	// process marks faults of a process, of which an instance has one at a time.
	process bool
	run     func(w *world, in *instance, length time.Duration)
}

// faults are the disturbances that a run draws from.
var faults = []fault{
	{name: "kill", process: true, run: func(_ *world, in *instance, length time.Duration) {
		in.signal(syscall.SIGKILL)
		in.await()
		time.Sleep(length / 4)
		_ = in.start()
	}},
	{name: "stop", process: true, run: func(_ *world, in *instance, length time.Duration) {
		in.signal(syscall.SIGTERM)
		in.await()
		time.Sleep(length / 4)
		_ = in.start()
	}},
	{name: "pause", process: true, run: func(_ *world, in *instance, length time.Duration) {
		in.signal(syscall.SIGSTOP)
		time.Sleep(length)
		in.signal(syscall.SIGCONT)
	}},
	{name: "reload", run: func(_ *world, in *instance, _ time.Duration) { in.signal(syscall.SIGHUP) }},
	{name: "store reset", run: proxyFault(standin.ProxyReset)},
	{name: "store silent", run: proxyFault(standin.ProxyBlackhole)},
	{name: "store connections lost", run: proxyFault(standin.ProxyBlackholeOpen)},
	{name: "store refuses connections", run: proxyFault(standin.ProxyRefuse)},
	{name: "store down", run: storeFault(standin.Faults{Down: true})},
	{name: "store throttled", run: storeFault(standin.Faults{Throttled: true})},
	{name: "store slow", run: storeFault(standin.Faults{Delay: 300 * time.Millisecond})},
	{name: "answers of the store lost", run: storeFault(standin.Faults{DropResponses: true})},
	{name: "history dropped", run: func(w *world, _ *instance, _ time.Duration) { w.store.Expire() }},
	{name: "publish", run: func(w *world, _ *instance, _ time.Duration) { _ = w.publish() }},
	{name: "target sheds", run: targetFault(standin.TargetFaults{Shed: true})},
	{name: "target cuts answers", run: targetFault(standin.TargetFaults{DropResponse: true})},
	{name: "target fails", run: targetFault(standin.TargetFaults{ServerError: true})},
	{name: "target is mute", run: targetFault(standin.TargetFaults{Hang: true})},
	{name: "target is slow", run: targetFault(standin.TargetFaults{SlowFactor: 6})},
	{name: "target answers twice", run: targetFault(standin.TargetFaults{ExtraResponse: true})},
	{name: "target lies", run: targetFault(standin.TargetFaults{ReportUnhealthy: true})},
	{name: "target replaced", run: replaceTarget},
}

func proxyFault(mode string) func(*world, *instance, time.Duration) {
	return func(_ *world, in *instance, length time.Duration) {
		_ = in.proxy.SetMode(mode)
		time.Sleep(length)
		_ = in.proxy.SetMode(standin.ProxyPass)
	}
}

func storeFault(f standin.Faults) func(*world, *instance, time.Duration) {
	return func(w *world, _ *instance, length time.Duration) {
		w.store.SetFaults(f)
		time.Sleep(length)
		w.store.SetFaults(standin.Faults{})
	}
}

func targetFault(f standin.TargetFaults) func(*world, *instance, time.Duration) {
	return func(w *world, _ *instance, length time.Duration) {
		t := w.someTarget()
		t.SetFaults(f)
		time.Sleep(length)
		t.SetFaults(standin.TargetFaults{})
	}
}

// replaceTarget adds a target and lets another one leave, which serves on for
// the drain delay and a little longer.
func replaceTarget(w *world, _ *instance, _ time.Duration) {
	w.mu.Lock()
	next, old := len(w.targets), w.targets[w.random.IntN(len(w.targets))]
	w.mu.Unlock()
	if next > 120 || w.addTarget(next) != nil {
		return
	}
	time.Sleep(drainDelay / 2)
	old.setLeaving()
	time.Sleep(2 * drainDelay)
	old.leave()
}

// maxActive is the number of faults that may overlap.
const maxActive = 6

// disturb draws faults until the time is over. Several may overlap.
func (w *world) disturb(end time.Time, note func(string)) {
	done := make(chan struct{}, maxActive)
	active := 0
	for time.Now().Before(end) {
		time.Sleep(time.Duration(50+w.draw(250)) * time.Millisecond)
		f := faults[w.draw(len(faults))]
		in := w.instances[w.draw(len(w.instances))]
		length := time.Duration(200+w.draw(2500)) * time.Millisecond
		for len(done) > 0 {
			<-done
			active--
		}
		if active >= maxActive || f.process && !in.claim() {
			continue
		}
		note(fmt.Sprintf("%s %s for %s", f.name, in.id, length))
		active++
		go func() {
			f.run(w, in, length)
			if f.process {
				in.claimed.Store(false)
			}
			done <- struct{}{}
		}()
	}
	for ; active > 0; active-- {
		<-done
	}
}
