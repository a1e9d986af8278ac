package daemon

import (
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
)

const (
	// changeLogInterval is the minimum time between two log lines about changed
	// targets, and between two about the number of instances. A start of many
	// instances or targets changes both hundreds of times a second.
	changeLogInterval = time.Second
	// maxLoggedTargets is the maximum number of target IDs in one log line. The
	// timeline has every change.
	maxLoggedTargets = 4
)

// changeLog logs changes of the targets and of the number of instances. Changes that
// follow each other closely are combined into one line with their counts.
type changeLog struct {
	logger             log.Interface
	targets, instances *throttle

	mu             sync.Mutex // guards the fields below
	ready          int        // targets that registered or became ready
	draining, gone int
	ids            []string // of the first changed targets
	sources        map[string]bool
	counts         routing.InstanceCounts
}

func newChangeLog(logger log.Interface) *changeLog {
	l := &changeLog{logger: logger, sources: map[string]bool{}}
	l.targets = newThrottle(changeLogInterval, l.logTargets)
	l.instances = newThrottle(changeLogInterval, l.logInstances)
	return l
}

// addTarget adds the change of a target, which came from the source.
func (l *changeLog) addTarget(change targets.Change, source string) {
	l.mu.Lock()
	switch {
	case change.Target == nil:
		l.gone++
	case change.Target.State == targets.Draining:
		l.draining++
	default:
		l.ready++
	}
	if len(l.ids) < maxLoggedTargets {
		l.ids = append(l.ids, change.ID)
	}
	l.sources[source] = true
	l.mu.Unlock()
	l.targets.trigger()
}

func (l *changeLog) logTargets() {
	l.mu.Lock()
	fields := log.Fields{"ready": l.ready, "draining": l.draining, "gone": l.gone, "targets": strings.Join(l.ids, ",")}
	for source := range l.sources {
		fields["from_"+source] = true
	}
	l.ready, l.draining, l.gone, l.ids = 0, 0, 0, nil
	clear(l.sources)
	l.mu.Unlock()
	l.logger.WithFields(fields).Info("targets changed their state")
}

// setInstanceCounts sets the changed number of instances.
func (l *changeLog) setInstanceCounts(counts routing.InstanceCounts) {
	l.mu.Lock()
	l.counts = counts
	l.mu.Unlock()
	l.instances.trigger()
}

func (l *changeLog) logInstances() {
	l.mu.Lock()
	counts := l.counts
	l.mu.Unlock()
	l.logger.WithField("known", counts.Known).WithField("active", counts.Active).Info("number of instances changed")
}

// flush logs the changes that are not logged yet.
func (l *changeLog) flush() {
	l.targets.flush()
	l.instances.flush()
}
