package daemon

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"rhubarbrelay/routing"
	"rhubarbrelay/targets"
)

// Guards against one log line for each of hundreds of changes when many targets or
// instances start, which costs more than applying them, and against changes that the
// combined lines do not count.
func TestChangesAreCombined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		l := newChangeLog(&log.Logger{Handler: lines, Level: log.InfoLevel})
		const count = 600
		for i := range count {
			change := targets.Change{ID: fmt.Sprintf("t-%d", i), Target: &targets.Target{}}
			switch i % 3 {
			case 1:
				change.Target.State = targets.Draining
			case 2:
				change.Target = nil
			}
			l.addTarget(change, "store")
			l.setInstanceCounts(routing.InstanceCounts{Known: i + 1, Active: 1})
			time.Sleep(5 * time.Millisecond)
		}
		l.flush()
		synctest.Wait()
		total := map[string]int{}
		linesPerMessage := map[string]int{}
		known := 0 // the last logged number of instances
		for _, entry := range lines.Entries {
			linesPerMessage[entry.Message]++
			if n, ok := entry.Fields["known"].(int); ok {
				known = n
			}
			for _, name := range []string{"ready", "draining", "gone"} {
				if n, ok := entry.Fields[name].(int); ok {
					total[name] += n
				}
			}
		}
		const seconds = count * 5 / 1000
		assert.DeepEqual(t, total, map[string]int{"ready": count / 3, "draining": count / 3, "gone": count / 3})
		for _, message := range []string{"targets changed their state", "number of instances changed"} {
			assert.Assert(t, linesPerMessage[message] <= seconds+1, "%d lines %q in %d s", linesPerMessage[message], message, seconds)
		}
		assert.Equal(t, known, count)
	})
}

// Guards against a single change that is logged late.
func TestSingleChangeIsLoggedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		l := newChangeLog(&log.Logger{Handler: lines, Level: log.InfoLevel})
		l.addTarget(targets.Change{ID: "t-1"}, "peer")
		assert.Equal(t, len(lines.Entries), 1)
		assert.Equal(t, lines.Entries[0].Fields["targets"], "t-1")
		assert.Equal(t, lines.Entries[0].Fields["from_peer"], true)
	})
}
