package soak

import (
	"fmt"
	"time"

	"rhubarbrelay/platform"
)

const (
	// coldPerSecond is the limit of cold targets in runs with the fault that makes them
	// cold, and maxColdPeak what one may get within any second with the default settings.
	coldPerSecond = 8
	maxColdPeak   = coldPerSecond*1.5 + 8
	// coldNotice is the time within which instances that use a target must notice that it
	// has become cold. They ask it every 0.3 s.
	coldNotice = 500 * time.Millisecond
	// evacuationDelay is the time in which the targets of an evacuated zone must get no
	// further request, and in which an instance that was paused hears of the evacuation.
	evacuationDelay = 6 * time.Second
)

// makeTargetCold makes a target cold. It states that in health responses.
func makeTargetCold(env *environment, _ *instance, length time.Duration) {
	env.randomTarget().SetCold(2*length, coldNotice)
	time.Sleep(2 * length)
}

// evacuateZone evacuates a random zone, and records its targets that get requests after
// the delay. It does nothing while operators may write nothing: the store is being
// restored, or another zone is evacuated.
func evacuateZone(env *environment, _ *instance, length time.Duration) {
	if !env.restoring.TryLock() {
		return
	}
	defer env.restoring.Unlock()
	zone := string(rune('a' + env.randomInt(3)))
	key := platform.EvacuationKey(zone)
	began := time.Now()
	env.store.Put(string(platform.ConfigTopic), key, []byte(platform.EvacuationValue))
	defer env.store.Put(string(platform.ConfigTopic), key, nil)
	time.Sleep(evacuationDelay)
	for outage := time.Duration(-1); outage != env.storeOutages.between(began, time.Now()); {
		outage = env.storeOutages.between(began, time.Now())
		time.Sleep(outage)
	}
	before := map[*target]int64{}
	for _, t := range env.allTargets() {
		if t.zone == zone {
			before[t] = t.Requests()
		}
	}
	time.Sleep(length)
	for t, count := range before {
		if n := t.Requests() - count; n > 0 {
			env.addViolation(fmt.Sprintf("target %s received %d requests although its zone %s was evacuated", t.id, n, zone))
		}
	}
}

// addViolation records a violation that a fault has found.
func (e *environment) addViolation(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, text)
}

// checkZones adds the violations that faults have found, and the targets that got too many
// requests while they were cold.
func (r *Result) checkZones(env *environment) {
	env.mu.Lock()
	r.Violations = append(r.Violations, env.violations...)
	env.mu.Unlock()
	for _, t := range env.allTargets() {
		if peak, _ := t.ColdPeak(); peak > maxColdPeak {
			r.addViolation("target %s received %d requests within a second while it was cold", t.id, peak)
		}
	}
}

// coldPerSecond returns the limit of cold targets, 0 in a run whose faults make none cold.
func (o Options) coldPerSecond() float64 {
	for _, f := range o.selectedFaults() {
		if f.name == coldFault {
			return coldPerSecond
		}
	}
	return 0
}

// coldFault is the name of the fault that makes targets cold.
const coldFault = "target becomes cold"
