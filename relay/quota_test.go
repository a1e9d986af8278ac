package relay

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
)

// fakeQuotas counts the tokens of one tenant.
type fakeQuotas struct{ left int }

// Take implements Quotas.
func (q *fakeQuotas) Take(string) (time.Duration, bool) {
	if q.left <= 0 {
		return 1230 * time.Millisecond, false
	}
	q.left--
	return 0, true
}

// Return implements Quotas.
func (q *fakeQuotas) Return(string) { q.left++ }

// newQuotaServer returns a server that serves no connections.
func newQuotaServer(quotas Quotas) *Server {
	return NewServer(nil, nil, WithQuotas(quotas), WithLogger(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}))
}

func tenantCall() *call {
	return &call{id: "id-1", arrival: time.Now(), tenant: &config.Tenant{Name: "hemtape"}}
}

// Guards against a request beyond the quota that is run, or refused without a status and a
// delay that tell the caller when to retry; and against one that counts although it needs
// no key or was counted by the instance that has passed it on.
func TestRequestsBeyondQuota(t *testing.T) {
	quotas := &fakeQuotas{left: 1}
	s := newQuotaServer(quotas)
	assert.Assert(t, s.takeToken(&call{}) == nil)
	passedOn := tenantCall()
	passedOn.fromPeer = true
	assert.Assert(t, s.takeToken(passedOn) == nil)
	assert.Equal(t, quotas.left, 1)
	assert.Assert(t, s.takeToken(tenantCall()) == nil)
	refused := tenantCall()
	f := s.takeToken(refused)
	assert.Assert(t, f != nil)
	var resp fasthttp.Response
	s.fail(&resp, refused, f)
	assert.Equal(t, resp.StatusCode(), fasthttp.StatusTooManyRequests)
	assert.Equal(t, string(resp.Header.Peek("Retry-After")), "1.23")
	assert.Equal(t, s.Stats().Refused["quota"], uint64(1))
	assert.Equal(t, quotas.left, 0)
}

// Guards against a refused request that counts although nothing was run, and against one
// that does not although a target may have run it.
func TestTokenOfFailedRequest(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*call)
		failure *failure
		left    int
	}{
		{"no capacity", func(*call) {}, unavailableFailure(refusedNoCapacity, "late", time.Second), 1},
		{"not run by the last target", func(c *call) { c.sentTries = 1 }, unavailableFailure(refusedShed, "shed", time.Second), 1},
		{"may have run before", func(c *call) { c.mayHaveRun = true }, unavailableFailure(refusedShed, "shed", time.Second), 0},
		{"unknown outcome", func(*call) {}, unknownOutcomeFailure(fasthttp.StatusBadGateway, "broken"), 0},
		{"closed while it waits", func(*call) {}, callerClosedFailure(false), 1},
		{"closed while a try is in flight", func(c *call) { c.sentTries = 1 }, callerClosedFailure(false), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			quotas := &fakeQuotas{left: 1}
			s := newQuotaServer(quotas)
			c := tenantCall()
			assert.Assert(t, s.takeToken(c) == nil)
			tt.prepare(c)
			var resp fasthttp.Response
			s.fail(&resp, c, tt.failure)
			assert.Equal(t, quotas.left, tt.left)
		})
	}
}
