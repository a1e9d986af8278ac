package crashes

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrelay/targets"
)

func testFingerprint(n int) (f Fingerprint) {
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

func testTarget(n int64) targets.Incarnation { return targets.Incarnation{ID: "t", StartedMS: n} }

// Guards against a request that is blocked although fewer targets have ended, since the
// same one is counted again, or although a target has completed it; and against one that
// is not blocked, or for ever.
func TestLedger(t *testing.T) {
	tests := []struct {
		name string
		run  func(l *Ledger, now *time.Time)
		want int
	}{
		{"three targets", func(l *Ledger, _ *time.Time) {
			for i := range int64(3) {
				l.Add(testFingerprint(1), testTarget(i))
			}
		}, 3},
		{"same target again", func(l *Ledger, _ *time.Time) {
			for range 5 {
				l.Add(testFingerprint(1), testTarget(1))
			}
		}, 1},
		{"another request", func(l *Ledger, _ *time.Time) { l.Add(testFingerprint(2), testTarget(1)) }, 0},
		{"completed", func(l *Ledger, _ *time.Time) {
			l.Add(testFingerprint(1), testTarget(1))
			l.Complete(testFingerprint(1))
		}, 0},
		{"completed before", func(l *Ledger, _ *time.Time) {
			l.Complete(testFingerprint(1))
			l.Add(testFingerprint(1), testTarget(1))
		}, 1},
		{"just before it expires", func(l *Ledger, now *time.Time) {
			l.Add(testFingerprint(1), testTarget(1))
			*now = now.Add(retention)
		}, 1},
		{"expired", func(l *Ledger, now *time.Time) {
			l.Add(testFingerprint(1), testTarget(1))
			*now = now.Add(retention + 1)
		}, 0},
		{"from other instances", func(l *Ledger, _ *time.Time) {
			l.Add(testFingerprint(1), testTarget(1))
			l.Merge([]Record{{Fingerprint: testFingerprint(1), Targets: []TargetKey{NewTargetKey(testTarget(1)), NewTargetKey(testTarget(2))}}})
		}, 2},
		{"old record of another instance", func(l *Ledger, _ *time.Time) {
			l.Merge([]Record{{Fingerprint: testFingerprint(1), Targets: []TargetKey{1}, Age: retention + 1}})
		}, 0},
		{"completed at another instance", func(l *Ledger, _ *time.Time) {
			l.Add(testFingerprint(1), testTarget(1))
			l.Merge([]Record{{Fingerprint: testFingerprint(1)}})
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			l := NewLedger(WithClock(func() time.Time { return now }))
			tt.run(l, &now)
			assert.Equal(t, l.Crashes(testFingerprint(1)), tt.want)
		})
	}
}

// Guards against a harmless request that is blocked together with the one that ends the
// targets, since by chance it was in flight at the same targets.
func TestHarmlessRequestBesideCause(t *testing.T) {
	cause, harmless := testFingerprint(1), testFingerprint(2)
	type end struct {
		request Fingerprint
		target  int64
	}
	tests := []struct {
		name         string
		ends         []end
		wantHarmless int
	}{
		{"before the cause is known", []end{{harmless, 1}, {cause, 1}, {harmless, 2}, {cause, 2}}, 2},
		{"once the cause is blocked", []end{{harmless, 1}, {cause, 1}, {harmless, 2}, {cause, 2}, {cause, 3}}, 0},
		{"beside a blocked request", []end{{cause, 1}, {cause, 2}, {cause, 3}, {harmless, 3}}, 0},
		{"blocked a moment before the cause", []end{{cause, 1}, {cause, 2}, {harmless, 1}, {harmless, 2}, {harmless, 3}, {cause, 3}, {cause, 4}}, 0},
		{"at other targets", []end{{cause, 1}, {cause, 2}, {cause, 3}, {harmless, 4}, {harmless, 5}, {harmless, 6}}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger()
			for _, e := range tt.ends {
				l.Add(e.request, testTarget(e.target))
			}
			assert.Equal(t, l.Crashes(harmless), tt.wantHarmless)
		})
	}
}

// Guards against records that other instances never hear of: an end, or a completion
// without which the request stays suspect there. Guards against a storm of messages
// about requests that nobody knows.
func TestLedgerReportsChanges(t *testing.T) {
	var reported []Record
	l := NewLedger(WithOnChange(func(r Record) { reported = append(reported, r) }))
	l.Complete(testFingerprint(1))
	assert.Equal(t, len(reported), 0)
	l.Add(testFingerprint(1), testTarget(1))
	l.Merge([]Record{{Fingerprint: testFingerprint(2), Targets: []TargetKey{1}}})
	l.Complete(testFingerprint(1))
	assert.Equal(t, len(reported), 2)
	assert.DeepEqual(t, reported[0], Record{Fingerprint: testFingerprint(1), Targets: []TargetKey{NewTargetKey(testTarget(1))}})
	assert.Equal(t, len(reported[1].Targets), 0)
}

// Guards against a ledger that grows with the number of different requests, and against
// one that forgets a request that ends targets in favor of others.
func TestLedgerIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := NewLedger(WithClock(func() time.Time { return now }))
	for i := range int64(MaxCrashes) {
		l.Add(testFingerprint(0), testTarget(i))
	}
	for i := range 3 * maxRecords {
		now = now.Add(time.Millisecond)
		l.Add(testFingerprint(1+i), testTarget(9))
	}
	assert.Equal(t, len(l.entries), maxRecords)
	assert.Equal(t, l.Crashes(testFingerprint(0)), MaxCrashes)
	assert.Equal(t, l.Crashes(testFingerprint(3*maxRecords)), 1)
	assert.Equal(t, len(l.Blocked(10)), 1)
	assert.Assert(t, !l.IsEmpty())
}

// Guards against an instance that sends a request which others have seen end targets,
// whatever the order in which their records arrive and however often. Guards against a
// request that is blocked although it completes.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 6).Draw(t, "instances")
		ledgers := make([]*Ledger, instances)
		var sent []Record
		for i := range ledgers {
			ledgers[i] = NewLedger(WithOnChange(func(r Record) { sent = append(sent, r) }))
		}
		ends := rapid.IntRange(0, 5).Draw(t, "ends")
		for n := range ends {
			ledgers[rapid.IntRange(0, instances-1).Draw(t, "instance")].Add(testFingerprint(1), testTarget(int64(n)))
		}
		for _, l := range ledgers {
			order := rapid.Permutation(append(sent, sent...)).Draw(t, "order")
			l.Merge(order)
			if got, want := l.Crashes(testFingerprint(1)), min(ends, MaxCrashes); got != want {
				t.Fatalf("%d crashes are known, not %d", got, want)
			}
		}
	})
}
