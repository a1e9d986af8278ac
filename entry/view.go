package entry

import (
	"cmp"
	"slices"
	"sync"

	"rhubarbrelay/config"
	"rhubarbrelay/membership"
)

// maxAnswers bounds the answers cached per view. The design scale has 35
// services and 10 zones.
const maxAnswers = 4096

// view is the set of usable instances at one revision of the membership and
// one configuration, with the answers made over it.
type view struct {
	revision uint64
	fleet    *config.Fleet
	usable   []membership.Instance
	byZone   map[string][]membership.Instance
	zones    []string

	mu      sync.RWMutex
	answers map[planKey]Answer
}

type planKey struct {
	service *config.Service
	zone    string
}

func newView(revision uint64, fleet *config.Fleet, instances []membership.Instance) *view {
	v := &view{
		revision: revision,
		fleet:    fleet,
		usable:   usable(instances, fleet.DrainedInstances),
		byZone:   map[string][]membership.Instance{},
		answers:  map[planKey]Answer{},
	}
	for _, in := range v.usable {
		if _, ok := v.byZone[in.Zone]; !ok {
			v.zones = append(v.zones, in.Zone)
		}
		v.byZone[in.Zone] = append(v.byZone[in.Zone], in)
	}
	return v
}

// usable returns the best group of instances that is not empty. An instance
// that is drained, suspect or leaving still serves requests as a rule, and an
// empty answer would leave the caller without any address.
//
// An instance that only the platform's list names has no known incarnation. It
// comes after those that were heard: the list lags, and keys with its prefix
// would have no owner.
func usable(instances []membership.Instance, drained map[string]bool) []membership.Instance {
	var groups [5][]membership.Instance
	for _, in := range instances {
		if !in.CallerAddress.IsValid() {
			continue
		}
		switch {
		case in.State == membership.Live && !drained[in.ID] && in.Incarnation != 0:
			groups[0] = append(groups[0], in)
		case in.State == membership.Live && !drained[in.ID]:
			groups[1] = append(groups[1], in)
		case in.State == membership.Live:
			groups[2] = append(groups[2], in)
		case in.State == membership.Suspect:
			groups[3] = append(groups[3], in)
		case in.State == membership.Leaving || in.State == membership.Starting:
			groups[4] = append(groups[4], in)
		}
	}
	for _, group := range groups {
		if len(group) > 0 {
			return group
		}
	}
	return nil
}

// zonesFrom returns the zones in the order in which a caller should use them.
func (v *view) zonesFrom(service, own string) []string {
	return slices.SortedFunc(slices.Values(v.zones), func(a, b string) int {
		if (a == own) != (b == own) {
			if a == own {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(service, a), score(service, b))
	})
}
