package limits

import (
	"slices"
	"time"
)

const (
	// cutOffFraction is the fraction of its fixed share (rate / instances) that an instance
	// which does not hear most of the others may use, and that those who hear most of them
	// reserve for each one they do not hear. A killed instance costs the tenant this part
	// for reservedFor, one that is cut off seldom gets an even part of the requests.
	cutOffFraction = 0.5
	// lateCutOffFraction takes the place of cutOffFraction shortly before the others end
	// the reservation. What remains is within the overage.
	lateCutOffFraction = 0.15
	// reservedFor is the time since the last report of an instance for which the others
	// reserve its share.
	reservedFor   = time.Minute
	cutOffLateAge = 45 * time.Second
	// evenFraction is the fraction of what the demands leave that is divided evenly over
	// the instances. The rest is divided in proportion to the demands: a tenant that sends
	// several times its usual rate mostly sends it to the same instances.
	evenFraction = 0.5
)

// quotaView is what an instance knows of the others that may run requests of tenants. It
// is immutable.
type quotaView struct {
	// heard is the number of instances whose demands are known, this one included; silent
	// that of those whose reports have stopped, unknown that of those that have not
	// reported yet since this instance started.
	heard, silent, unknown int
	// unheard are the IDs of the silent and the unknown instances.
	unheard map[string]bool
	// cutOff is the fraction of the fixed shares that are used or reserved.
	cutOff float64
}

// instances is the number by which fixed shares are divided.
func (v *quotaView) instances() int { return v.heard + v.silent + v.unknown }

// hearsMost reports whether this instance hears more than half of the instances, so that
// no other part of a partition does.
func (v *quotaView) hearsMost() bool { return 2*v.heard > v.heard+v.silent }

// pool returns the part of the rate that the heard instances may use together. The parts
// of a partition add up to the rate at most, as only one of them can hear most instances.
func (v *quotaView) pool(perSecond float64) float64 {
	fixed := perSecond / float64(v.instances())
	switch {
	case v.hearsMost():
		return perSecond - fixed*(cutOffFraction*float64(v.silent)+float64(v.unknown))
	case 2*v.heard == v.heard+v.silent:
		return fixed * float64(v.heard)
	}
	return v.cutOff * fixed * float64(v.heard)
}

// fairShare returns the share of the instance with the demand own of a pool that it uses
// together with others, max-min fair by demand: no instance gets more than it demands
// while another one gets less. What the demands leave is divided over all instances.
func fairShare(pool, own float64, others []float64, instances int) float64 {
	total := own
	for _, d := range others {
		total += d
	}
	if total <= pool {
		rest := pool - total
		if total == 0 {
			return rest / float64(instances)
		}
		return own + rest*(evenFraction/float64(instances)+(1-evenFraction)*own/total)
	}
	slices.Sort(others)
	left, sharers := pool, len(others)+1
	for _, d := range others {
		level := left / float64(sharers)
		if d >= level || own <= d {
			break
		}
		left -= d
		sharers--
	}
	return min(own, left/float64(sharers))
}
