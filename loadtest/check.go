package loadtest

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
	"rhubarbrelay/standin"
)

const statsTimeout = 5 * time.Second

// Verdict compares what callers were told with what the targets counted.
type Verdict struct {
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int
	// Lost counts requests answered as run that no target ran.
	Lost int
	// FalseNotRun counts requests answered as not run that ran.
	FalseNotRun int
	// Probes counts the measuring requests of all targets.
	Probes int64
	// MaxProbes is the largest number of measuring requests of one target.
	MaxProbes int64
	Targets   int
}

// Clean returns whether nothing was doubled, lost or wrongly called not run.
func (v Verdict) Clean() bool { return v.Doubled == 0 && v.Lost == 0 && v.FalseNotRun == 0 }

// Write prints the verdict.
func (v Verdict) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "targets counted: %d doubled, %d lost, %d not_run though run; %d probes at %d targets, %d at most at one\n",
		v.Doubled, v.Lost, v.FalseNotRun, v.Probes, v.Targets, v.MaxProbes)
	return err
}

// Check reads the counts of the stand-in targets and compares them with the
// answers of the report.
func Check(r *Report, targets []netip.AddrPort) (Verdict, error) {
	v := Verdict{Targets: len(targets)}
	runs := map[string]int{}
	for _, t := range targets {
		stats, err := readStats(t)
		if err != nil {
			return v, fmt.Errorf("target %s: %w", t, err)
		}
		for id, n := range stats.Runs {
			runs[id] += n
		}
		v.Probes += stats.Probes
		v.MaxProbes = max(v.MaxProbes, stats.Probes)
	}
	for id, outcome := range r.answers {
		switch {
		case r.writes[id] && runs[id] > 1:
			v.Doubled++
		case outcome == header.OutcomeRun && runs[id] == 0:
			v.Lost++
		case outcome == header.OutcomeNotRun && runs[id] > 0:
			v.FalseNotRun++
		}
	}
	return v, nil
}

func readStats(target netip.AddrPort) (standin.Stats, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+target.String()+"/standin/stats", statsTimeout)
	if err != nil {
		return standin.Stats{}, err
	}
	return standin.DecodeStats(body)
}
