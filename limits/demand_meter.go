package limits

import (
	"math"
	"time"
)

const (
	// minDemandTime and maxDemandTime limit the time constant of a measured demand, and
	// demandRequests is the number of requests that an instance gets in it at an even part
	// of the rate: with fewer of them the demands of a small tenant vary by more than its rate.
	minDemandTime  = time.Second
	maxDemandTime  = 10 * time.Second
	demandRequests = 4
	// recentDemandDivisor is the ratio of the time constants of the moving average and the
	// recent one, which detects that the demand has changed.
	recentDemandDivisor = 5
	// demandDeviations is the number of standard deviations by which the recent average of
	// a constant demand differs from it at most.
	demandDeviations = 3
	// minDemand is the demand per second below which there is none.
	minDemand = 0.01
)

// demandMeter measures the requests per second of a tenant at one instance as a moving
// average, which follows a change at once that is too large for chance.
type demandMeter struct {
	requests        int // since the last update
	average, recent float64
	updatedAt       time.Time
}

// demandTime returns the time constant for a tenant with the rate.
func demandTime(perSecond float64, instances int) time.Duration {
	seconds := demandRequests * float64(instances) / perSecond
	return time.Duration(min(maxDemandTime.Seconds(), max(minDemandTime.Seconds(), seconds)) * float64(time.Second))
}

// update updates the averages with the requests since the last update.
func (m *demandMeter) update(now time.Time, timeConstant time.Duration) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	if m.updatedAt.IsZero() {
		elapsed = timeConstant.Seconds() / recentDemandDivisor
	}
	if elapsed <= 0 {
		return
	}
	perSecond := float64(m.requests) / elapsed
	m.requests, m.updatedAt = 0, now
	long := timeConstant.Seconds()
	short := long / recentDemandDivisor
	m.average += (perSecond - m.average) * -math.Expm1(-elapsed/long)
	m.recent += (perSecond - m.recent) * -math.Expm1(-elapsed/short)
	deviation := demandDeviations * math.Sqrt(max(m.recent, 1/short)/(2*short))
	m.average = max(m.recent-deviation, min(m.recent+deviation, m.average))
	if m.average < minDemand {
		m.average = 0
	}
}
