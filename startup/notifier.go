package startup

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer"
)

const (
	// minRoundInterval is the time between two rounds of notices at first. It is no longer
	// than firstContactTimeout, so that an instance that starts later is notified before
	// it reads the store. The interval grows with the time, to roundFraction of it.
	minRoundInterval = 40 * time.Millisecond
	roundFraction    = 0.2
	// notifyPeriod is how long the others are notified: instances of a deployment that has
	// lost its power start at about the same time.
	notifyPeriod = 5 * time.Second
	// loadingPeriod limits the time for which an instance states that it reads the store.
	// If that takes longer, others try as well.
	loadingPeriod = 300 * time.Millisecond
	// noticeRate limits the notices, in bytes per second, on a link of 10 Mbit/s, which
	// the first joining instances share. noticeBurst are a few datagrams.
	noticeRate  = 1_000_000
	noticeBurst = 4 * 1400
	// datagramOverhead is the size of the IP and UDP headers in bytes.
	datagramOverhead = 28
	// maxNotifiers is the number of others whose notices make those of an instance
	// unnecessary that still reads its state.
	maxNotifiers = 8
	// maxSharers limits the number of others that an instance which has its state relies
	// on: they may stop.
	maxSharers = 3
)

// NoticeSender sends a notice to each address. It calls wait with the size of each
// datagram before it sends that, and ends if wait returns false.
type NoticeSender interface {
	Notify(notice peer.StartNotice, to []netip.AddrPort, wait func(size int) bool)
}

// notifier tells the instances that are registered in the store of this one, which reads
// its state there, and of those that have joined through it.
type notifier struct {
	members *membership.Directory
	sender  NoticeSender
	// loaded reports whether this instance has its state, others the number of other
	// instances that send notices.
	loaded func() bool
	others func() int
	// told are the instances that were notified after they were known to be alive.
	told map[netip.AddrPort]bool
}

// run notifies the instances at the addresses, by zone, until all are known to be alive
// and notified, or the context ends. Those that are known and not notified yet may still
// wait to join.
func (n *notifier) run(ctx context.Context, peers map[string][]netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, notifyPeriod)
	defer cancel()
	limiter := rate.NewLimiter(noticeRate, noticeBurst)
	wait := func(size int) bool { return limiter.WaitN(ctx, size+datagramOverhead) == nil }
	start := time.Now()
	for ctx.Err() == nil {
		round, loaded := time.Now(), n.loaded()
		if loaded || time.Since(start) < loadingPeriod && n.others() < maxNotifiers {
			n.notifyAll(peers, loaded, wait)
		}
		interval := max(minRoundInterval, time.Duration(roundFraction*float64(time.Since(start))))
		if loaded {
			interval *= time.Duration(1 + min(maxSharers, n.others()))
		}
		n.pause(ctx, interval-time.Since(round), loaded)
	}
}

// pause waits for the duration, or until this instance has its state if it had none.
func (n *notifier) pause(ctx context.Context, d time.Duration, wasLoaded bool) {
	for end := time.Now().Add(d); ctx.Err() == nil && time.Until(end) > 0; {
		if !wasLoaded && n.loaded() {
			return
		}
		sleepContext(ctx, min(time.Until(end), loadedPollInterval))
	}
}

// loadedPollInterval is the time between two checks whether the state is loaded.
const loadedPollInterval = 5 * time.Millisecond

// notifyAll sends one round of notices, to the local zone first.
func (n *notifier) notifyAll(peers map[string][]netip.AddrPort, loaded bool, wait func(size int) bool) {
	self := n.members.Self()
	ready, alive := map[string][]membership.Sighting{}, map[netip.AddrPort]bool{}
	for _, s := range n.members.Sightings() {
		alive[s.Instance.PeerAddress] = true
		if loaded && s.Instance.State == membership.Ready && s.Instance.ID != self.ID {
			ready[s.Instance.Zone] = append(ready[s.Instance.Zone], s)
		}
	}
	instances := 0
	for _, addresses := range peers {
		instances += len(addresses)
	}
	for _, zone := range zonesFrom(peers, self.Zone) {
		to := slices.DeleteFunc(slices.Clone(peers[zone]), func(address netip.AddrPort) bool {
			return address == self.PeerAddress || n.told[address]
		})
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		candidates := ready[zone]
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		n.sender.Notify(peer.StartNotice{Loading: !loaded, Instances: instances, Ready: candidates}, to, wait)
		for _, address := range to {
			if loaded && alive[address] {
				n.told[address] = true
			}
		}
	}
}

// zonesFrom returns the zones in random order, the given one first.
func zonesFrom(peers map[string][]netip.AddrPort, first string) []string {
	zones := make([]string, 0, len(peers))
	for zone := range peers {
		zones = append(zones, zone)
	}
	rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	if i := slices.Index(zones, first); i > 0 {
		zones[0], zones[i] = zones[i], zones[0]
	}
	return zones
}

// maxSample limits the instances that a refused instance is told of.
const maxSample = 8

// SampleReady returns other ready instances that the instance can join through instead
// of the one that has refused it: of its own zone if there are any. Instances that have
// not joined are known to none, so that nobody else tells them of new ready ones.
func SampleReady(members *membership.Directory, joining membership.Instance) []membership.Sighting {
	self := members.Self()
	var local, remote []membership.Sighting
	for _, s := range members.Sightings() {
		switch {
		case s.Instance.State != membership.Ready || s.Instance.ID == self.ID || s.Instance.ID == joining.ID:
		case s.Instance.Zone == joining.Zone:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	rand.Shuffle(len(local), func(i, k int) { local[i], local[k] = local[k], local[i] })
	return local[:min(len(local), maxSample)]
}
