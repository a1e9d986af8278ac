package loadtest

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"time"
)

// Run sends the trace through the callers in turn, each request at its
// intended time whatever became of the earlier ones.
func Run(ctx context.Context, label string, p *Profile, trace []Request, callers []*Caller) *Report {
	report := NewReport(label, p.Duration)
	start := time.Now()
	var running sync.WaitGroup
	for i, r := range trace {
		if !waitUntil(ctx, start.Add(r.At)) {
			break
		}
		caller := callers[i%len(callers)]
		running.Go(func() { send(report, p, r, caller, start.Add(r.At)) })
	}
	running.Wait()
	return report
}

func send(report *Report, p *Profile, r Request, caller *Caller, intended time.Time) {
	body := bodyOf(p, r)
	answer := caller.Send(p, r, body)
	own := !r.Write || bytes.Equal(answer.Body, body)
	report.Add(r, answer, time.Since(intended), own)
}

// bodyOf returns the body of a write: its id, repeated up to the size of the
// profile, so that every caller can tell its own answer.
func bodyOf(p *Profile, r Request) []byte {
	if !r.Write {
		return nil
	}
	return []byte(strings.Repeat(r.ID+" ", 1+p.Body/(len(r.ID)+1)))
}

// waitUntil waits for the time and returns false when the context ended first.
func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
