package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// Guards against a data race: the registration of a target changes while a request is in
// flight there, and the log line of the request names the target.
func TestTargetOfLeaseWhileRegistrationChanges(t *testing.T) {
	_, info := startTarget(t, "t-1", "a", 1)
	d := newDispatcher(t, info)
	lease := acquire(t, d, request())
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		updated := *info
		d.SetTargets([]*targets.Target{&updated})
	}()
	for isChanged := false; !isChanged; {
		assert.Equal(t, lease.Target().ID, "t-1")
		select {
		case <-changed:
			isChanged = true
		default:
		}
	}
	lease.Release(Succeeded, platform.ResponseInfo{})
}
