package routing

import "time"

const (
	// longFactor is the duration, in medians of the service, from which a class
	// counts as long.
	longFactor = 10
	// minClassSamples is the number of requests after which a class is judged.
	minClassSamples = 5
	// maxClasses bounds the memory for classes.
	maxClasses = 256
	// medianStep is the relative change of the median with each sample.
	medianStep = 0.02
	// averageWeight is the weight of a sample in the averages of the service.
	averageWeight = 0.01
	// defaultDuration, in seconds, stands in until the first answer.
	defaultDuration = 0.005
)

// durations learns how long the requests of a service run.
type durations struct {
	samples int
	median  float64 // seconds, of all requests
	typical float64 // seconds, average of short requests
	mean    float64 // seconds, average of all requests
	classes map[string]*classDuration
}

type classDuration struct {
	samples int
	average float64 // seconds
}

func newDurations() durations {
	return durations{
		median: defaultDuration, typical: defaultDuration, mean: defaultDuration,
		classes: map[string]*classDuration{},
	}
}

// observe counts a request that ran.
func (d *durations) observe(class string, long bool, latency time.Duration) {
	seconds := max(latency.Seconds(), 1e-6)
	d.samples++
	if d.samples == 1 {
		d.median, d.typical, d.mean = seconds, seconds, seconds
	}
	weight := max(averageWeight, 1/float64(d.samples))
	d.mean += weight * (seconds - d.mean)
	if seconds > d.median {
		d.median *= 1 + medianStep
	} else {
		d.median *= 1 - medianStep
	}
	if !long {
		d.typical += weight * (min(seconds, longFactor*d.median) - d.typical)
	}
	d.observeClass(class, seconds)
}

func (d *durations) observeClass(class string, seconds float64) {
	if class == "" {
		return
	}
	c, ok := d.classes[class]
	if !ok {
		if len(d.classes) >= maxClasses {
			return
		}
		c = &classDuration{}
		d.classes[class] = c
	}
	c.samples++
	c.average += max(1/float64(c.samples), 0.1) * (seconds - c.average)
}

// long returns whether requests of the class ran many times longer than the
// service's median.
func (d *durations) long(class string) bool {
	c, ok := d.classes[class]
	return ok && c.samples >= minClassSamples && c.average > longFactor*d.median
}

// longAge returns the time in flight from which a request counts as long.
func (d *durations) longAge() time.Duration {
	return time.Duration(longFactor * d.median * float64(time.Second))
}
