package loadtest

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// Request is one request of a trace.
type Request struct {
	// At is the intended send time, counted from the start of the run.
	At    time.Duration
	ID    string
	Work  time.Duration
	Long  bool
	Write bool
}

// NewTrace draws the requests of a profile. Equal profiles give equal traces;
// the prefix makes the request ids of different runs differ.
func NewTrace(p *Profile, prefix string) []Request {
	rnd := rand.New(rand.NewPCG(p.Seed, p.Seed))
	trace := make([]Request, 0, int(p.Rate*p.Duration.Seconds()))
	at := time.Duration(0)
	for {
		gap := rnd.ExpFloat64() / (p.Rate * p.factorAt(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= p.Duration {
			return trace
		}
		trace = append(trace, drawRequest(p, rnd, at, prefix+"-"+strconv.Itoa(len(trace))))
	}
}

func drawRequest(p *Profile, rnd *rand.Rand, at time.Duration, id string) Request {
	r := Request{
		At:    at,
		ID:    id,
		Work:  time.Duration(rnd.ExpFloat64() * float64(p.WorkMean)),
		Long:  rnd.Float64()*percent < p.LongPercent,
		Write: rnd.Float64()*percent < p.WritePercent,
	}
	if r.Long {
		r.Work = time.Duration(float64(p.WorkMean) * p.LongFactor)
	}
	return r
}
