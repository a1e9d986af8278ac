package commands

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
)

// ErrWait reports that a change was published but is not in force on every
// live instance.
var ErrWait = errors.New("published, but not in force everywhere in time")

// defaultInterval is the time between two looks at all instances.
const defaultInterval = 200 * time.Millisecond

// Waiter waits until changes are in force on every live instance. A nil Waiter
// does not wait.
type Waiter struct {
	Timeout time.Duration
	// Interval is the time between two looks; 0 means 200 ms.
	Interval time.Duration
}

// wait fills in the report's InForce.
func (w *Waiter) wait(ctx context.Context, g *admin.Group, report *Report) error {
	if w == nil {
		return nil
	}
	report.waited = true
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	interval := w.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lacking := []string{"no instance was asked"}
	for {
		members, err := g.Statuses(ctx)
		switch {
		case err == nil:
			lacking = lackingMembers(members, report.Results)
		case ctx.Err() == nil:
			lacking = []string{err.Error()}
		}
		if len(lacking) == 0 {
			report.InForce = true
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrWait, strings.Join(lacking, "; "))
		case <-ticker.C:
		}
	}
}

// lackingMembers describes the instances on which a change is not in force.
// Leaving instances are about to end and do not count.
func lackingMembers(members []admin.Member, results []Result) []string {
	var lacking []string
	for _, m := range members {
		if m.State == admin.InstanceLeaving || m.Status.State == admin.InstanceLeaving {
			continue
		}
		name := m.ID
		if name == "" {
			name = m.Address.String()
		}
		if m.Err != nil {
			lacking = append(lacking, fmt.Sprintf("%s: %v", name, m.Err))
			continue
		}
		for _, r := range results {
			if has := scopeVersion(m.Status, r.Scope); has < r.Version {
				lacking = append(lacking, fmt.Sprintf("%s: %s is at version %s", name, scopeText(r.Scope), versionText(has)))
			}
		}
	}
	return lacking
}

func versionText(v config.Version) string {
	if v == config.NoVersion {
		return "none"
	}
	return fmt.Sprint(int64(v))
}
