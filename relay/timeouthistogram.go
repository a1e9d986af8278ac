package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// timeoutBuckets is the number of buckets of a histogram. Each bucket is
	// bucketRatio times as wide as the previous one; together they cover timeouts
	// of more than three minutes.
	timeoutBuckets = 128
	bucketRatio    = 1.1
	// A bucket is taken to hold the timeouts of first attempts if it has at least
	// minFraction of a route's requests and, together with a neighbor,
	// commonFraction. Retries of callers spread over many buckets, because their
	// timeout is the time left.
	minFraction    = 0.05
	commonFraction = 0.25
	// decayRequests is the number of requests after which the weight of a request
	// has decayed to 1/e.
	decayRequests = 256
	// maxTimeoutRoutes limits the number of routes that have a histogram. A further
	// route replaces all histograms.
	maxTimeoutRoutes = 4096
)

// timeoutHistograms holds the distribution of the timeouts that callers state, by
// route. A caller that retries after a refusal states the rest of its timeout. The
// difference from the timeout of first attempts is the time that it has already
// waited.
type timeoutHistograms struct {
	mu         sync.Mutex
	histograms map[string]*[timeoutBuckets]float64 // fractions of the requests, by route
}

// recordTimeout adds the timeout of a request to the route's histogram and returns
// an estimate of how long the caller has already waited, 0 for a first attempt.
func (h *timeoutHistograms) recordTimeout(route string, timeout time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	bucket := bucketOf(timeout)
	histogram := h.histograms[route]
	if histogram == nil {
		if h.histograms == nil || len(h.histograms) >= maxTimeoutRoutes {
			h.histograms = map[string]*[timeoutBuckets]float64{}
		}
		histogram = new([timeoutBuckets]float64)
		histogram[bucket] = 1
		h.histograms[route] = histogram
		return 0
	}
	for i := range histogram {
		histogram[i] -= histogram[i] / decayRequests
	}
	histogram[bucket] += 1.0 / decayRequests
	for i := bucket; i < timeoutBuckets; i++ {
		if holdsFirstAttempts(histogram, i) {
			return max(0, bucketLowerBound(i)-timeout)
		}
	}
	return 0
}

// holdsFirstAttempts reports whether a bucket is taken to hold the timeouts of
// first attempts.
func holdsFirstAttempts(histogram *[timeoutBuckets]float64, bucket int) bool {
	neighbor := 0.0
	for _, i := range []int{bucket - 1, bucket + 1} {
		if i >= 0 && i < timeoutBuckets {
			neighbor = max(neighbor, histogram[i])
		}
	}
	return histogram[bucket] >= minFraction && histogram[bucket]+neighbor >= commonFraction
}

func bucketOf(timeout time.Duration) int {
	bucket := int(math.Log(float64(max(time.Millisecond, timeout))/float64(time.Millisecond)) / math.Log(bucketRatio))
	return min(timeoutBuckets-1, bucket)
}

// bucketLowerBound returns the shortest timeout in a bucket.
func bucketLowerBound(bucket int) time.Duration {
	return time.Duration(math.Pow(bucketRatio, float64(bucket)) * float64(time.Millisecond))
}
