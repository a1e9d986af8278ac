package limits

import "time"

const (
	// minDividedTokens is the number of tokens for each instance from which on a divided
	// burst covers the chance by which requests arrive at one instance or another.
	minDividedTokens = 10
	// unseenTime is the usual time after which the others have seen a request that was
	// admitted: the interval of reports, once for the own report and once for theirs.
	unseenTime = 350 * time.Millisecond
	// maxUnseenPart is the largest part of the tokens that the requests of that time may
	// use. With more of them, the bucket would seldom be of use.
	maxUnseenPart = 0.7
	// pooledReserve is the part of the tokens that is left for instances that are cut off.
	pooledReserve = 0.4
	// ownTokensPart is the part of the instances' own tokens that the bucket leaves out.
	ownTokensPart = 0.75
	// urgentPart is the part of the tokens that the others must be told of at once.
	urgentPart = 0.25
	// maxFirstCount is the largest number of requests that an instance admits before its
	// first report. An instance that has started later than the other one gets larger ones.
	maxFirstCount = 8
	// historyTicks covers the time until an instance counts as silent.
	historyTicks = int(silenceLimit/QuotaTick) + 5
)

// pooledBucket is an instance's copy of a token bucket that all instances use together.
// The parts of a burst that is divided by many instances are too small for the chance by
// which the requests of a small tenant arrive at one instance or another. Each instance
// therefore subtracts what the others have admitted, by their reports. Of the tokens that
// it sees, it uses only its part unseen by the others.
type pooledBucket struct {
	enabled   bool
	part      float64 // the sum over the instances is 1
	perSecond float64
	size      float64
	tokens    float64 // may be negative
	// own counts the admitted requests. The others were told of the reported ones and have
	// certainly seen the settled ones. history holds reported by tick.
	own, reported, settled uint32
	history                [historyTicks]uint32
	tick                   int64
	othersDemand           float64
	random                 func() float64
	others                 map[string]uint32
}

func newPooledBucket(random func() float64) pooledBucket {
	return pooledBucket{random: random, others: map[string]uint32{}}
}

// update determines whether the bucket is used, its size, and the part of this instance,
// which has a part of the demand.
func (b *pooledBucket) update(limits QuotaLimits, t TenantQuota, view *quotaView, rate, own, others float64) {
	n := float64(view.instances())
	spare := limits.bound(t) - rate*limits.Window.Seconds()
	needed := limits.dividedBurst(t, view.instances()) < n*minDividedTokens
	// What instances that are not heard admit has its reserved rate.
	for id := range view.unheard {
		delete(b.others, id)
	}
	was := b.enabled
	b.enabled = needed && n > 1 && view.hearsMost() && t.PerSecond*unseenTime.Seconds() < maxUnseenPart*spare
	fraction := 1 / float64(view.heard)
	if own+others > 0 {
		fraction = own / (own + others)
	}
	// Each instance also has a token of its own, which its share of the rate refills: what
	// the others report may be late or uncertain, as after a start of all.
	b.size = min(limits.maxBurst(t), spare-min(ownTokensPart*n, pooledReserve*spare))
	// With fewer tokens than instances, each may use one, wherever the demand is.
	byDemand := (1 - evenFraction) * min(1, max(0, b.size/n-1))
	b.part, b.perSecond, b.othersDemand = (1-byDemand)/float64(view.heard)+byDemand*fraction, view.pool(rate), others
	b.tokens = min(b.tokens, b.size)
	if b.enabled && !was {
		b.tokens = 0 // the others may have used the rest
	}
}

func (b *pooledBucket) refill(elapsed float64) {
	b.tokens = min(b.size, b.tokens+elapsed*b.perSecond)
}

// allows reports whether a request may be admitted.
func (b *pooledBucket) allows() bool {
	if !b.enabled || b.tokens < 1+(1/b.part-1)*float64(int32(b.own-b.settled)) {
		return false
	}
	expected := 1 + b.othersDemand*unseenTime.Seconds()
	return b.tokens >= expected || b.random()*expected < b.tokens
}

func (b *pooledBucket) take() {
	b.tokens--
	b.own++
}

func (b *pooledBucket) putBack() {
	b.tokens = min(b.size, b.tokens+1)
	b.own--
}

// setOther subtracts what another instance has admitted since its last report. A first
// report with a few requests comes from one that has not had any before, if countFirst is
// set.
func (b *pooledBucket) setOther(id string, admitted uint32, countFirst bool) {
	if last, ok := b.others[id]; ok || countFirst && admitted <= maxFirstCount {
		b.tokens = min(b.size, b.tokens-float64(int32(admitted-last)))
	}
	b.others[id] = admitted
}

// changed reports whether the others must be told of admitted requests.
func (b *pooledBucket) changed() bool {
	unreported := float64(int32(b.own - b.reported))
	return b.enabled && unreported > 0 && unreported >= urgentPart*b.part*b.tokens
}

func (b *pooledBucket) report() { b.reported = b.own }

// settle determines which requests all others have seen whose last report is not older
// than the time.
func (b *pooledBucket) settle(now, heardAt time.Time) {
	tick := now.UnixNano() / int64(QuotaTick)
	for i := max(b.tick, tick-int64(historyTicks)) + 1; i < tick; i++ {
		b.history[i%int64(historyTicks)] = b.history[b.tick%int64(historyTicks)]
	}
	b.history[tick%int64(historyTicks)], b.tick = b.reported, tick
	seen := heardAt.UnixNano()/int64(QuotaTick) - 1
	b.settled = b.history[max(seen, tick-int64(historyTicks)+1)%int64(historyTicks)]
}
