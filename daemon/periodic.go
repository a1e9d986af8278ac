package daemon

import (
	"context"
	"time"
)

// runPeriodically calls task once in each interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, task func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			task()
		}
	}
}
