package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	modelStep     = 10 * time.Millisecond
	modelTenant   = "t"
	modelSilence  = 3 * time.Second // after which the membership considers an instance dead
	modelOldCalls = 50              // requests that wait at a frozen instance
)

// quotaModel is a deployment whose instances share the quota of one tenant.
type quotaModel struct {
	limits    QuotaLimits
	tenant    TenantQuota
	random    *rand.Rand
	now       time.Time
	instances []*modelInstance
	messages  []modelMessage
	latency   time.Duration
	loss      float64
	// The numbers of requests by step.
	offered, admitted []int
}

type modelInstance struct {
	quotas      *Quotas
	id          string
	incarnation int64
	up, frozen  bool
	inactive    bool // not named in entry responses
	group       int  // of a partition
	waiting     int
	heard       map[int]time.Time
	heardOf     map[int]int64
}

type modelMessage struct {
	at       time.Time
	from, to int
	report   DemandReport
}

func newQuotaModel(tenant TenantQuota, n int, seed uint64) *quotaModel {
	m := &quotaModel{
		limits: QuotaLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, tenant: tenant, random: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1_700_000_000, 0), latency: 20 * time.Millisecond,
	}
	for i := range n {
		m.instances = append(m.instances, &modelInstance{id: fmt.Sprintf("i-%d", i)})
		m.start(i)
	}
	for _, in := range m.instances {
		m.updateMembers(in)
	}
	return m
}

func (m *quotaModel) start(i int) {
	in := m.instances[i]
	in.incarnation++
	in.up, in.frozen, in.waiting = true, false, 0
	in.heard, in.heardOf = map[int]time.Time{}, map[int]int64{}
	in.quotas = NewQuotas(m.limits, func() time.Time { return m.now })
	in.quotas.random = m.random.Float64
	in.quotas.SetTenants([]TenantQuota{m.tenant})
	for j, other := range m.instances {
		if j != i && other.up && other.group == in.group {
			in.heard[j], in.heardOf[j] = m.now, other.incarnation
		}
	}
	m.updateMembers(in)
}

// leave stops an instance after it has told the others.
func (m *quotaModel) leave(i int) {
	in := m.instances[i]
	for j, other := range m.instances {
		if j != i && other.up && other.group == in.group {
			other.quotas.Record(DemandReport{Instance: in.id, Incarnation: in.incarnation, Leaving: true})
			delete(other.heard, i)
		}
	}
	in.up = false
}

func (m *quotaModel) reaches(i, j int) bool {
	return m.instances[i].up && m.instances[j].up && m.instances[i].group == m.instances[j].group
}

func (m *quotaModel) updateMembers(in *modelInstance) {
	var members []QuotaMember
	for j, other := range m.instances {
		if at, ok := in.heard[j]; ok && m.now.Sub(at) < modelSilence {
			members = append(members, QuotaMember{other.id, in.heardOf[j], !other.inactive})
		}
	}
	in.quotas.SetMembers(members)
}

// run runs the deployment. demand returns the requests per second of the tenant at an
// instance at a time since the call.
func (m *quotaModel) run(duration time.Duration, demand func(i int, at time.Duration) float64) {
	for at := time.Duration(0); at < duration; at += modelStep {
		m.now = m.now.Add(modelStep)
		step := len(m.offered)
		m.offered, m.admitted = append(m.offered, 0), append(m.admitted, 0)
		m.deliver()
		for i, in := range m.instances {
			requests := m.arrivals(demand(i, at))
			if !in.up {
				continue
			}
			m.offered[step] += requests
			if in.frozen {
				in.waiting = min(modelOldCalls, in.waiting+requests)
				continue
			}
			requests += in.waiting
			in.waiting = 0
			for range requests {
				if _, ok := in.quotas.Take(m.tenant.Name); ok {
					m.admitted[step]++
				}
			}
			if (step+i)%int(QuotaTick/modelStep) == 0 {
				m.tick(i, step)
			}
		}
	}
}

func (m *quotaModel) tick(i, step int) {
	in := m.instances[i]
	if (step+i)%(4*int(QuotaTick/modelStep)) == 0 {
		for j, other := range m.instances {
			if j != i && m.reaches(i, j) && !other.frozen {
				in.heard[j], in.heardOf[j] = m.now, other.incarnation
			}
		}
		m.updateMembers(in)
	}
	report, to := in.quotas.Tick()
	report.Instance, report.Incarnation = in.id, in.incarnation
	for _, id := range to {
		for j, other := range m.instances {
			if other.id == id && m.reaches(i, j) && m.random.Float64() >= m.loss {
				m.messages = append(m.messages, modelMessage{m.now.Add(m.latency), i, j, report})
			}
		}
	}
}

// deliver delivers the messages that are due, to a frozen instance when it resumes.
func (m *quotaModel) deliver() {
	var kept []modelMessage
	for _, message := range m.messages {
		to := m.instances[message.to]
		switch {
		case m.now.Before(message.at), to.frozen && to.up:
			kept = append(kept, message)
		case to.up:
			to.quotas.Record(message.report)
		}
	}
	m.messages = kept
}

// arrivals returns a random number of requests of a Poisson process, or evenly spaced ones
// of the whole tenant if there are many.
func (m *quotaModel) arrivals(perSecond float64) int {
	mean := perSecond * modelStep.Seconds()
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for p *= m.random.Float64(); p > limit; p *= m.random.Float64() {
		n++
	}
	return n
}

// excess returns by how many requests the worst window exceeds the bound; it is negative
// if none does.
func (m *quotaModel) excess() float64 {
	window := int(m.limits.Window / modelStep)
	sum, worst := 0, 0
	for i, n := range m.admitted {
		sum += n
		if i >= window {
			sum -= m.admitted[i-window]
		}
		worst = max(worst, sum)
	}
	return float64(worst) - m.limits.bound(m.tenant)
}

// served returns the fraction of the lesser of the offered requests and those of the rate
// that was admitted since a step.
func (m *quotaModel) served(since int) float64 {
	offered, admitted := 0, 0
	for i := since; i < len(m.offered); i++ {
		offered += m.offered[i]
		admitted += m.admitted[i]
	}
	allowed := m.tenant.PerSecond * modelStep.Seconds() * float64(len(m.offered)-since)
	return float64(admitted) / min(float64(offered), allowed)
}
