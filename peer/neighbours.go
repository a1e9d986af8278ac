package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rhubarbrelay/membership"
)

// maxChosen is the number of peers that an instance keeps sessions to, so that
// its cost does not grow with the number of instances.
const maxChosen = 6

// neighbours returns the peers to keep a session with: the ones with the
// highest rendezvous scores, all when there are few.
func neighbours(self string, known []membership.Instance) []membership.Instance {
	var candidates []candidate
	for _, in := range known {
		if in.ID != self && in.State != membership.Dead && in.PeerAddress.IsValid() {
			candidates = append(candidates, candidate{in, pairScore(self, in.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	candidates = candidates[:min(len(candidates), maxChosen)]
	chosen := make([]membership.Instance, 0, len(candidates))
	for _, c := range candidates {
		chosen = append(chosen, c.instance)
	}
	return chosen
}

type candidate struct {
	instance membership.Instance
	score    uint64
}

// pairScore is the same for both instances of a pair, so that they tend to
// choose each other and share one session.
func pairScore(a, b string) uint64 {
	return xxhash.Sum64String(min(a, b) + "\x00" + max(a, b))
}
