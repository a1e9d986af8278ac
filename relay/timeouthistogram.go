package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// waitClasses is the number of classes into which the waits fall that
	// callers state. Each is wider than the one before by waitRatio; together
	// they reach beyond three minutes.
	waitClasses = 128
	waitRatio   = 1.1
	// A class counts as that of first attempts if it has minShare of a route's
	// requests, and commonShare together with one beside it: callers that come
	// back state whatever is left of their time.
	minShare    = 0.05
	commonShare = 0.25
	// waitMemory is the number of requests after which an old one has faded.
	waitMemory = 256
	// maxWaitRoutes bounds the routes that are remembered.
	maxWaitRoutes = 4096
)

// waits remembers how long the callers of each route are willing to wait. A
// caller that comes back after a refusal states less than at its first attempt,
// which tells how much of its time has gone.
type waits struct {
	mu     sync.Mutex
	shares map[string]*[waitClasses]float64 // of the requests, by route
}

// spent notes the wait that a caller states and returns how long it has waited
// already, 0 for a first attempt.
func (w *waits) spent(route string, wait time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	class := classOf(wait)
	shares := w.shares[route]
	if shares == nil {
		if w.shares == nil || len(w.shares) >= maxWaitRoutes {
			w.shares = map[string]*[waitClasses]float64{}
		}
		shares = new([waitClasses]float64)
		shares[class] = 1
		w.shares[route] = shares
		return 0
	}
	for i := range shares {
		shares[i] -= shares[i] / waitMemory
	}
	shares[class] += 1.0 / waitMemory
	for i := class; i < waitClasses; i++ {
		if isCommon(shares, i) {
			return max(0, shortestOf(i)-wait)
		}
	}
	return 0
}

func isCommon(shares *[waitClasses]float64, class int) bool {
	beside := 0.0
	for _, i := range []int{class - 1, class + 1} {
		if i >= 0 && i < waitClasses {
			beside = max(beside, shares[i])
		}
	}
	return shares[class] >= minShare && shares[class]+beside >= commonShare
}

func classOf(wait time.Duration) int {
	class := int(math.Log(float64(max(time.Millisecond, wait))/float64(time.Millisecond)) / math.Log(waitRatio))
	return min(waitClasses-1, class)
}

// shortestOf returns the shortest wait of a class.
func shortestOf(class int) time.Duration {
	return time.Duration(math.Pow(waitRatio, float64(class)) * float64(time.Millisecond))
}
