package configlog

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	pb "rhubarbrelay/configlog/configlogpb"
	"rhubarbrelay/platform"
)

// run starts the follower and stops it at the end of the test. It must be
// called in a synctest bubble.
func run(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, f.Run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// publishAll appends n changes of the service "a", each based on the last.
func publishAll(l *fakeLog, n int) {
	for i := range n {
		l.put(Stream, encode(change(fmt.Sprint("r", i), config.Version(i-1), i+1)))
	}
}

// snapshotAt returns the snapshot of the first records of publishAll.
func snapshotAt(t *testing.T, n int) []byte {
	t.Helper()
	l := newFakeLog()
	publishAll(l, n)
	s := NewState()
	for _, rec := range l.records(Stream) {
		s.Apply(rec)
	}
	data, err := s.Snapshot()
	assert.NilError(t, err)
	return data
}

// Guards against a change that is not in force at once, and against an
// instance that is ready only after its first long poll.
func TestFollowerFollowsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		f, _ := quietFollower(l)
		assert.Assert(t, !f.Ready())
		run(t, f)
		start := time.Now()
		synctest.Wait()
		assert.Assert(t, f.Ready())
		publishAll(l, 2)
		synctest.Wait()
		assert.Equal(t, f.Version(), platform.Offset(1))
		assert.Equal(t, f.Fleet().Services["a"].MaxQueue, 2)
		assert.Equal(t, time.Since(start), time.Duration(0))
		details, ok := f.Scope("service/a")
		assert.Assert(t, ok)
		assert.Equal(t, details.RecordID, "r1")
		assert.Equal(t, details.Author, "author of r1")
		assert.Equal(t, details.Body, string(document("a", 2)))
	})
}

// Guards against a configuration that skips expired records.
func TestFollowerClosesGapWithSnapshot(t *testing.T) {
	tests := []struct {
		name      string
		snapshots [][]byte
		want      platform.Offset
	}{
		{"newest", [][]byte{snapshotAt(t, 5)}, 7},
		{"behind garbage", [][]byte{snapshotAt(t, 5), []byte("\xff\xff"), nil}, 7},
		{"behind an outdated one", [][]byte{snapshotAt(t, 5), snapshotAt(t, 2)}, 7},
		{"ahead of the log", [][]byte{snapshotAt(t, 12)}, 11},
		{"outdated only", [][]byte{snapshotAt(t, 2)}, 1},
		{"none", nil, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newFakeLog()
			publishAll(l, 8)
			l.expire(5)
			for _, s := range tt.snapshots {
				l.put(SnapshotStream, s)
			}
			f, _ := quietFollower(l)
			err := f.catchUp(t.Context())
			assert.Equal(t, f.Version(), tt.want)
			assert.Equal(t, f.Ready(), tt.want >= 7)
			if tt.want < 7 {
				assert.ErrorIs(t, err, ErrGap)
				assert.ErrorIs(t, f.NotReadyReason(), ErrNotReady)
				assert.ErrorIs(t, f.NotReadyReason(), ErrGap)
			}
		})
	}
}

// Guards against a running instance that misses records while it is paused for
// longer than the retention time.
func TestFollowerClosesGapWhileRunning(t *testing.T) {
	l := newFakeLog()
	publishAll(l, 3)
	f, _ := quietFollower(l)
	assert.NilError(t, f.poll(t.Context(), 0))
	l = newFakeLog()
	publishAll(l, 9)
	l.expire(7)
	f.log = l
	assert.ErrorIs(t, f.poll(t.Context(), 0), ErrGap)
	assert.Equal(t, f.Version(), platform.Offset(2))
	assert.Assert(t, f.Ready(), "a serving instance keeps its configuration")
	l.put(SnapshotStream, snapshotAt(t, 8))
	assert.NilError(t, f.catchUp(t.Context()))
	assert.Equal(t, f.Version(), platform.Offset(8))
}

// Guards against a version in force that goes down with the log: a stale read,
// a lost tail that is then overwritten, a stream that begins anew.
func TestFollowerNeverGoesBack(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(l *fakeLog)
	}{
		{"stale read", func(l *fakeLog) { l.hidden = 3 }},
		{"lost tail", func(l *fakeLog) { l.truncate(2) }},
		{"other tail", func(l *fakeLog) {
			l.truncate(2)
			l.put(Stream, encode(change("other", 1, 100)))
		}},
		{"empty log", func(l *fakeLog) { l.streams = map[string]*fakeStream{} }},
		{"older snapshot", func(l *fakeLog) { l.put(SnapshotStream, snapshotAt(t, 2)) }},
		{"records at lower offsets", func(l *fakeLog) {
			s := l.stream(Stream)
			s.records = append(s.records, s.records[0])
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newFakeLog()
			publishAll(l, 5)
			f, _ := quietFollower(l)
			versions := []config.Version{}
			f.Subscribe(func(fleet *config.Fleet) { versions = append(versions, fleet.Version) })
			assert.NilError(t, f.poll(t.Context(), 0))
			tt.spoil(l)
			_ = f.poll(t.Context(), 0)
			assert.NilError(t, f.restoreNewest(t.Context(), -1))
			assert.NilError(t, f.Offer(snapshotAt(t, 3)))
			assert.Equal(t, f.Version(), platform.Offset(4))
			assert.Equal(t, f.Fleet().Services["a"].MaxQueue, 5)
			assert.DeepEqual(t, versions, []config.Version{-1, 4})
		})
	}
}

// Guards against a joining instance that serves an outdated configuration
// during an outage of the log, or none at all when a peer could give it.
func TestFollowerJoinsThroughPeers(t *testing.T) {
	l := newFakeLog()
	l.fail(platform.ErrUnavailable)
	f, _ := quietFollower(l)
	assert.ErrorIs(t, f.poll(t.Context(), 0), platform.ErrUnavailable)
	assert.ErrorIs(t, f.NotReadyReason(), platform.ErrUnavailable)
	_, err := f.Snapshot()
	assert.ErrorIs(t, err, ErrNotReady)

	empty, err := NewState().Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, f.Offer(empty))
	assert.Assert(t, !f.Ready(), "an empty state proves nothing")
	assert.ErrorIs(t, f.Offer([]byte("\xff")), ErrSnapshot)

	f.RequireAtLeast(4)
	assert.NilError(t, f.Offer(snapshotAt(t, 3)))
	assert.Assert(t, !f.Ready())
	assert.ErrorContains(t, f.NotReadyReason(), "version 2, a peer knows version 4")
	offered := snapshotAt(t, 5)
	assert.NilError(t, f.Offer(offered))
	assert.Assert(t, f.Ready())
	assert.NilError(t, f.NotReadyReason())
	f.RequireAtLeast(9)
	assert.Assert(t, f.Ready(), "a serving instance stays ready")

	given, err := f.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, given, offered)

	// The log is followed from the offered version on.
	l.fail(nil)
	publishAll(l, 7)
	l.expire(5)
	assert.NilError(t, f.poll(t.Context(), 0))
	assert.Equal(t, f.Version(), platform.Offset(6))
}

// Guards against a restarted instance that serves an older configuration than
// before, because it read the log stale and no peer had told its version yet.
func TestFollowerWaitsForPeers(t *testing.T) {
	l := newFakeLog()
	publishAll(l, 3)
	f, _ := quietFollower(l, WithPeerCheck())
	assert.NilError(t, f.poll(t.Context(), 0))
	assert.Assert(t, !f.Ready())
	assert.ErrorContains(t, f.NotReadyReason(), "version 2 was not compared")
	f.RequireAtLeast(4)
	f.PeersChecked()
	assert.Assert(t, !f.Ready(), "a peer has a newer version")
	assert.NilError(t, f.Offer(snapshotAt(t, 5)))
	assert.Assert(t, f.Ready())
}

// Guards against a configuration that is lost with the log.
func TestFollowerSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		publishAll(l, 2)
		f, _ := quietFollower(l)
		run(t, f)
		synctest.Wait()
		l.fail(platform.ErrUnavailable)
		time.Sleep(time.Hour)
		assert.Equal(t, f.Version(), platform.Offset(1))
		assert.Assert(t, f.Ready())
		l.put(Stream, encode(change("after", 1, 9)))
		l.fail(nil)
		time.Sleep(defaultRetryDelay)
		synctest.Wait()
		assert.Equal(t, f.Version(), platform.Offset(2))
	})
}

// Guards against a busy loop on a log that answers long polls at once.
func TestFollowerDoesNotSpin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		f, _ := quietFollower(impatientLog{l})
		run(t, f)
		time.Sleep(10 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		assert.Assert(t, l.reads < 100, "%d reads in 10 s", l.reads)
	})
}

// impatientLog answers long polls at once.
type impatientLog struct{ *fakeLog }

func (l impatientLog) Read(ctx context.Context, stream string, from platform.Offset, _ time.Duration) (platform.Page, error) {
	return l.fakeLog.Read(ctx, stream, from, 0)
}

// Guards against an accepted body that cannot be parsed and takes its service
// out of force, or stops later changes of other scopes and drains.
func TestFollowerKeepsPreviousBody(t *testing.T) {
	l := newFakeLog()
	f, handler := quietFollower(l)
	publishAll(l, 1)
	assert.NilError(t, f.poll(t.Context(), 0))

	unreadable := recordOf(change("bad", 0, 7))
	unreadable.Body = []byte("[service a]\npolicy = later\n")
	l.put(Stream, encodeRecord(unreadable))
	later := recordOf(change("later", 1, 8))
	later.Format = 99
	l.put(Stream, encodeRecord(later))
	l.put(Stream, encode(Change{ID: "b", Scope: "service/b", Base: -1, Body: []byte("[service b]\n")}))
	assert.NilError(t, f.poll(t.Context(), 0))
	assert.Equal(t, f.Version(), platform.Offset(3))
	assert.Equal(t, f.Fleet().ScopeVersions["service/a"], config.Version(2))
	assert.Equal(t, f.Fleet().Services["a"].MaxQueue, 1)
	assert.Assert(t, f.Fleet().Services["b"] != nil)
	assert.Equal(t, len(f.Problems()), 1)
	assert.ErrorContains(t, f.Problems()[0], "format 99")
	assert.Equal(t, alarms(handler), 1)

	l.put(Stream, encode(Change{ID: "d", Scope: "service/a", Base: 2, Kind: DrainTarget, Body: []byte("t1")}))
	assert.NilError(t, f.poll(t.Context(), 0))
	assert.Assert(t, f.Fleet().Services["a"].Targets[0].Drained)
	assert.Equal(t, alarms(handler), 1)

	l.put(Stream, encode(change("good", 4, 9)))
	assert.NilError(t, f.poll(t.Context(), 0))
	assert.Equal(t, f.Fleet().Services["a"].MaxQueue, 9)
	assert.Equal(t, len(f.Problems()), 0)
}

// Guards against records that all expire before a snapshot covers them, and
// against every instance writing one.
func TestFollowersWriteSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		publishAll(l, 3)
		for i := range 15 {
			f, _ := quietFollower(l)
			f.pollWait = time.Hour // fewer steps of the test's clock
			WithJitter(func(limit time.Duration) time.Duration { return limit * time.Duration(i+1) / 16 })(f)
			run(t, f)
		}
		time.Sleep(10 * fakeRetention)
		snapshots := l.records(SnapshotStream)
		// One each quarter of the retention time, later by the interval and the
		// random delay at most.
		assert.Assert(t, len(snapshots) >= 26 && len(snapshots) <= 41, "%d snapshots", len(snapshots))
		last := snapshots[0].Time
		for _, s := range snapshots[1:] {
			assert.Assert(t, s.Time.Sub(last) <= fakeRetention*3/8, "%s between snapshots", s.Time.Sub(last))
			last = s.Time
		}
		restored, err := Restore(snapshots[len(snapshots)-1].Data)
		assert.NilError(t, err)
		assert.Equal(t, restored.Version(), platform.Offset(2))
	})
}

// Guards against an instance that lags behind, or lacks the effect of a later
// version's record, and replaces a better snapshot.
func TestFollowerWithholdsSnapshot(t *testing.T) {
	tests := []struct {
		name  string
		setup func(l *fakeLog)
	}{
		{"newer snapshot", func(l *fakeLog) { l.put(SnapshotStream, snapshotAt(t, 9)) }},
		{"unknown kind", func(l *fakeLog) {
			m := recordOf(change("later", 2, 1))
			m.Kind = pb.Kind(99)
			l.put(Stream, encodeRecord(m))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				publishAll(l, 3)
				f, _ := quietFollower(l)
				assert.NilError(t, f.poll(t.Context(), 0))
				tt.setup(l)
				before := len(l.records(SnapshotStream))
				run(t, f)
				time.Sleep(fakeRetention)
				assert.Equal(t, len(l.records(SnapshotStream)), before)
			})
		})
	}
}

// Guards against snapshots of nothing, which prove nothing to a reader.
func TestFollowerWritesNoEmptySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		f, _ := quietFollower(l)
		run(t, f)
		time.Sleep(fakeRetention)
		assert.Equal(t, len(l.records(SnapshotStream)), 0)
	})
}

// Guards against a wrong clock that makes the newest snapshot look young for
// good.
func TestSnapshotAgeWithoutClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		age := &snapshotAge{}
		rec := platform.Record{Offset: 0, Time: time.Now().Add(1000 * time.Hour)}
		assert.Equal(t, age.of(rec), time.Duration(0))
		time.Sleep(time.Hour)
		assert.Equal(t, age.of(rec), time.Hour)
		rec.Offset = 1
		assert.Equal(t, age.of(rec), time.Duration(0))
	})
}

// Guards against a start that fails because only the snapshots are unreadable.
func TestFollowerStartsWithoutSnapshots(t *testing.T) {
	l := newFakeLog()
	publishAll(l, 3)
	f, _ := quietFollower(brokenSnapshots{l})
	assert.NilError(t, f.poll(t.Context(), 0))
	assert.Equal(t, f.Version(), platform.Offset(2))
	assert.Assert(t, f.Ready())
}

// brokenSnapshots cannot read the stream of snapshots.
type brokenSnapshots struct{ *fakeLog }

func (l brokenSnapshots) Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	if stream == SnapshotStream {
		return platform.Page{}, errors.Join(platform.ErrUnavailable, errors.New("oversized answer"))
	}
	return l.fakeLog.Read(ctx, stream, from, wait)
}
