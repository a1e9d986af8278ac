package routing

import (
	"time"

	"rhubarbrelay/targets"
)

const (
	// formerStatementsLifetime is the time for which statements of a removed target are
	// kept. Its registration may come back after an outage or a restoration of the store.
	formerStatementsLifetime = 5 * time.Minute
	// maxFormerStatements limits the removed targets whose statements are kept.
	maxFormerStatements = 1024
)

// formerStatements are the statements of targets that were removed.
type formerStatements map[targets.Incarnation]formerStatement

type formerStatement struct {
	statements statements
	removedAt  time.Time
}

// add adds the statements of a target that was removed, unless none of them holds.
func (f formerStatements) add(incarnation targets.Incarnation, s statements, now time.Time) {
	if !s.silent(now) && !s.limited {
		return
	}
	for other, former := range f {
		if now.Sub(former.removedAt) > formerStatementsLifetime || len(f) >= maxFormerStatements {
			delete(f, other)
		}
	}
	f[incarnation] = formerStatement{s, now}
}

// take removes the statements of a target that registers again, and returns them.
func (f formerStatements) take(incarnation targets.Incarnation) statements {
	former := f[incarnation]
	delete(f, incarnation)
	return former.statements
}
