package relay

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Quotas limits the requests of tenants.
type Quotas interface {
	// Take takes the token of a request. If the tenant has used its quota, ok is false and
	// retryAfter is the time until there is a token.
	Take(tenant string) (retryAfter time.Duration, ok bool)
	// Return returns the token of a request that was not run.
	Return(tenant string)
}

// WithQuotas limits the requests of tenants. By default there is no limit.
func WithQuotas(quotas Quotas) Option { return func(s *Server) { s.quotas = quotas } }

// quotaLogsPerSecond limits the log lines per second for requests beyond a quota. There
// may be many times as many of them as other requests.
const quotaLogsPerSecond = 10

// takeToken refuses a request beyond the quota of its tenant. A request that another
// instance has passed on was counted there.
func (s *Server) takeToken(c *call) *failure {
	if s.quotas == nil || c.tenant == nil || c.fromPeer {
		return nil
	}
	retryAfter, ok := s.quotas.Take(c.tenant.Name)
	if !ok {
		f := notRunFailure(refusedQuota, fasthttp.StatusTooManyRequests, "quota of the tenant is used up")
		f.retryAfter = retryAfter
		return f
	}
	c.holdsToken = true
	return nil
}

// returnToken returns the token of a request that was certainly not run. One whose caller
// has closed its connection may still run in a try in flight.
func (s *Server) returnToken(c *call, f *failure) {
	if !c.holdsToken || !f.notRun || f.cause == refusedCallerClosed && c.sentTries > 0 {
		return
	}
	c.holdsToken = false
	s.quotas.Return(c.tenant.Name)
}
