package loadtest

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbrelay/header"
)

// Range and precision of the histograms, in microseconds.
const (
	maxLatencyUS = int64(60 * time.Second / time.Microsecond)
	precision    = 3
)

const (
	// outcomeError counts requests that ran and got an error of the target.
	outcomeError     = "error"
	firstServerError = 500
)

// Quantiles that reports print.
const (
	quantile50  = 50
	quantile99  = 99
	quantile999 = 99.9
)

// Report is the result of one run.
type Report struct {
	Label    string
	Duration time.Duration

	mu sync.Mutex
	// Short and Long hold the latencies of answered requests, counted from
	// the intended send time. Refused holds those of refusals.
	Short, Long, Refused *hdrhistogram.Histogram
	// Seconds counts, for each second of the run, the answered requests and
	// holds the latencies of the short ones.
	Seconds  []*Second
	Outcomes map[string]int
	// Repeats counts the requests that callers sent more than once.
	Repeats int
	// Wrong counts answers whose body is not the caller's own.
	Wrong int
	// answers holds the outcome per request id, for the check against targets.
	answers map[string]string
	writes  map[string]bool
}

// Second is one second of a run, by intended send time.
type Second struct {
	Answered int
	Short    *hdrhistogram.Histogram
}

// NewReport returns an empty report of a run with the given length.
func NewReport(label string, duration time.Duration) *Report {
	r := &Report{
		Label: label, Duration: duration,
		Short: newHistogram(), Long: newHistogram(), Refused: newHistogram(),
		Outcomes: map[string]int{}, answers: map[string]string{}, writes: map[string]bool{},
	}
	for range int(duration/time.Second) + 1 {
		r.Seconds = append(r.Seconds, &Second{Short: newHistogram()})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, precision)
}

// Add adds one request with its answer.
func (r *Report) Add(q Request, a Answer, latency time.Duration, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := a.Outcome
	if outcome == header.OutcomeRun && a.Status >= firstServerError {
		outcome = outcomeError
	}
	r.Outcomes[outcome]++
	r.answers[q.ID] = outcome
	r.writes[q.ID] = q.Write
	if a.Tries > 1 {
		r.Repeats++
	}
	switch outcome {
	case header.OutcomeNotRun:
		record(r.Refused, latency)
	case header.OutcomeRun:
		r.addAnswered(q, latency)
		if !own {
			r.Wrong++
		}
	}
}

func (r *Report) addAnswered(q Request, latency time.Duration) {
	second := r.Seconds[min(len(r.Seconds)-1, int(q.At/time.Second))]
	second.Answered++
	if q.Long {
		record(r.Long, latency)
		return
	}
	record(r.Short, latency)
	record(second.Short, latency)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxLatencyUS, max(1, d.Microseconds())))
}

// Quantile returns the latency below which the given percentage lies.
func Quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// Goodput returns the answered requests a second.
func (r *Report) Goodput() float64 {
	answered := r.Short.TotalCount() + r.Long.TotalCount()
	return float64(answered) / r.Duration.Seconds()
}

// WriteTable prints the reports of one comparison, one a line.
func WriteTable(out io.Writer, reports []*Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "run\tshort p50\tp99\tp99.9\tlong p50\tp99\tanswered/s\trun\tnot_run\tunknown\terror\trefused p99\trepeats\twrong\t")
	for _, r := range reports {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t\n",
			r.Label, ms(r.Short, quantile50), ms(r.Short, quantile99), ms(r.Short, quantile999),
			ms(r.Long, quantile50), ms(r.Long, quantile99), r.Goodput(),
			r.Outcomes[header.OutcomeRun], r.Outcomes[header.OutcomeNotRun], r.Outcomes[header.OutcomeUnknown], r.Outcomes[outcomeError],
			ms(r.Refused, quantile99), r.Repeats, r.Wrong)
	}
	return w.Flush()
}

// WriteSeconds prints, for each second of a run, the answered requests and the
// p99 of the short ones, one line a run.
func WriteSeconds(out io.Writer, reports []*Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range reports {
		_, _ = fmt.Fprintf(w, "%s\tanswered\t", r.Label)
		for _, s := range r.Seconds {
			_, _ = fmt.Fprintf(w, "%d\t", s.Answered)
		}
		_, _ = fmt.Fprintf(w, "\n%s\tp99 ms\t", r.Label)
		for _, s := range r.Seconds {
			_, _ = fmt.Fprintf(w, "%.0f\t", float64(s.Short.ValueAtQuantile(quantile99))/1000)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}

func ms(h *hdrhistogram.Histogram, percentile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f ms", float64(h.ValueAtQuantile(percentile))/1000)
}

// IdealReport returns the report of the ideal central queue over the trace.
func IdealReport(p *Profile, trace []Request, targets, slots int) *Report {
	r := NewReport("ideal", p.Duration)
	for i, latency := range Ideal(p, trace, targets, slots) {
		r.Add(trace[i], Answer{Outcome: header.OutcomeRun}, latency, true)
	}
	return r
}
