package relay

import (
	"errors"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/crashes"
	"rhubarbrelay/targets"
)

// errEndsTargets means that copies of a request have ended crashes.MaxCrashes targets.
// It is not a refusal: callers conclude from one that the request may be sent again.
var errEndsTargets = errors.New("request has ended the targets that ran it")

// CrashLedger counts the targets that ended while copies of a request were in flight
// there.
type CrashLedger interface {
	IsEmpty() bool
	// Crashes returns the number of these targets, crashes.MaxCrashes at most.
	Crashes(f crashes.Fingerprint) int
	// Add records that a target has ended, Complete that one has responded.
	Add(f crashes.Fingerprint, target targets.Incarnation)
	Complete(f crashes.Fingerprint)
}

// WithCrashLedger sets the ledger, which other servers may share. The default is one of
// the server's own.
func WithCrashLedger(ledger CrashLedger) Option { return func(s *Server) { s.crashes = ledger } }

// fingerprint returns the fingerprint of a request to a target.
func fingerprint(req *fasthttp.Request) crashes.Fingerprint {
	return crashes.NewFingerprint(req.Header.Method(), req.Header.Host(), req.Header.RequestURI(), req.Body())
}

// crashCount returns the number of targets that ended while copies of the request were
// in flight there.
func (s *Server) crashCount(req *fasthttp.Request) int {
	if s.crashes.IsEmpty() {
		return 0
	}
	return s.crashes.Crashes(fingerprint(req))
}

// recordCrash records whether the target has ended or survived the try.
func (t *try) recordCrash(ledger CrashLedger) {
	switch {
	case t.targetEnded:
		ledger.Add(fingerprint(t.req), t.lease.Target().Incarnation())
	case t.err == nil && t.info.Sealed && !t.info.NotRun && !ledger.IsEmpty():
		ledger.Complete(fingerprint(t.req))
	}
}
