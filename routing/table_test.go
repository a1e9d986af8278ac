package routing

import (
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/targets"
)

// targetSourceFunc is a TargetSource.
type targetSourceFunc func(service string) []*targets.Target

// ByService implements TargetSource.
func (f targetSourceFunc) ByService(service string) []*targets.Target { return f(service) }

// Guards against an older list of targets that replaces a newer one, because another change
// is applied between the read of the list and its use. The wait only gives a table with the
// fault the time to show it.
func TestConcurrentRefreshesOfTargets(t *testing.T) {
	const overtakeTime = 100 * time.Millisecond
	one := &targets.Target{ID: "t-1", Service: "s", Slots: 1, Address: netip.MustParseAddrPort("127.0.0.1:1")}
	var table *Table
	var reads atomic.Int32
	second := make(chan struct{})
	table = NewTable(Settings{Zone: "a"}, targetSourceFunc(func(string) []*targets.Target {
		switch reads.Add(1) {
		case 2: // the first one after that of Update
			go func() {
				defer close(second)
				table.RefreshTargets("s")
			}()
			select {
			case <-second:
			case <-time.After(overtakeTime):
			}
			return []*targets.Target{one}
		default:
			return nil
		}
	}))
	table.Update(map[string]*config.Service{"s": {Name: "s"}})
	defer table.Dispatcher("s").Close()
	table.RefreshTargets("s")
	<-second
	assert.Equal(t, reads.Load(), int32(3))
	assert.Equal(t, len(table.Dispatcher("s").targets), 0)
}
