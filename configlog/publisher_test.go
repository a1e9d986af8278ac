package configlog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

// Guards against two racing operators who both believe that their change holds.
func TestPublishRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		const operators = 20
		errs := make(chan error, operators)
		for i := range operators {
			go func() {
				_, err := NewPublisher(l).Publish(t.Context(), change(fmt.Sprint("op", i), config.NoVersion, i+1))
				errs <- err
			}()
		}
		accepted := 0
		for range operators {
			err := <-errs
			if err == nil {
				accepted++
				continue
			}
			assert.ErrorIs(t, err, ErrConflict)
			var conflict *ConflictError
			assert.Assert(t, errors.As(err, &conflict))
			assert.Equal(t, conflict.Current, config.Version(0))
			assert.Assert(t, strings.HasPrefix(conflict.Author, "author of op"))
		}
		assert.Equal(t, accepted, 1)
	})
}

// Guards against a change that is reported lost although it took effect, or
// appended twice after an answer was lost.
func TestPublishAppendFailures(t *testing.T) {
	put := func(copies int, err error) func(*fakeLog, string, []byte) (platform.Offset, error) {
		return func(l *fakeLog, stream string, data []byte) (platform.Offset, error) {
			for range copies {
				l.putLocked(stream, data)
			}
			return 0, err
		}
	}
	overtaken := func(l *fakeLog, stream string, data []byte) (platform.Offset, error) {
		l.putLocked(stream, encode(change("other", config.NoVersion, 5)))
		return l.putLocked(stream, data), nil
	}
	overtakenAndLost := func(l *fakeLog, stream string, _ []byte) (platform.Offset, error) {
		l.putLocked(stream, encode(change("other", config.NoVersion, 5)))
		return 0, platform.ErrUncertain
	}
	late := func(l *fakeLog, stream string, data []byte) (platform.Offset, error) {
		go func() {
			time.Sleep(2 * time.Second)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.putLocked(stream, data)
		}()
		return 0, platform.ErrUncertain
	}
	outageAfter := func(l *fakeLog, stream string, data []byte) (platform.Offset, error) {
		l.putLocked(stream, data)
		l.readErr = platform.ErrUnavailable
		return 0, platform.ErrUncertain
	}
	tests := []struct {
		name     string
		onAppend func(*fakeLog, string, []byte) (platform.Offset, error)
		want     error
	}{
		{"confirmed", put(1, nil), nil},
		{"answer lost", put(1, platform.ErrUncertain), nil},
		{"answer lost, appended twice", put(2, platform.ErrUncertain), nil},
		{"appended twice", put(2, nil), nil},
		{"took effect late", late, nil},
		{"not sent", put(0, platform.ErrUnavailable), platform.ErrUnavailable},
		{"lost altogether", put(0, platform.ErrUncertain), ErrUncertain},
		{"outage after the append", outageAfter, ErrUncertain},
		{"overtaken", overtaken, ErrConflict},
		{"overtaken and lost", overtakenAndLost, ErrConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				l.onAppend = tt.onAppend
				result, err := NewPublisher(l).Publish(t.Context(), change("mine", config.NoVersion, 1))
				assert.Equal(t, l.appends, 1)
				if tt.want != nil {
					assert.ErrorIs(t, err, tt.want)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, result.Version, config.Version(0))
			})
		})
	}
}

// Guards against a repeated publication that is applied twice or reported as a
// conflict with itself, also after the record has expired.
func TestPublishRepeat(t *testing.T) {
	l := newFakeLog()
	p := NewPublisher(l)
	for range 3 {
		result, err := p.Publish(t.Context(), change("mine", config.NoVersion, 1))
		assert.NilError(t, err)
		assert.Equal(t, result.Version, config.Version(0))
	}
	assert.Equal(t, l.appends, 1)
	_, err := p.Publish(t.Context(), change("next", 0, 2))
	assert.NilError(t, err)

	snapshot, err := p.follower.Snapshot()
	assert.NilError(t, err)
	l.put(SnapshotStream, snapshot)
	l.expire(2)
	result, err := NewPublisher(l).Publish(t.Context(), change("mine", config.NoVersion, 1))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, config.Version(0))
	assert.Equal(t, l.appends, 2)
}

// Guards against an outage that is reported as uncertain, and against an
// append below the version in force, which other instances would not see.
func TestPublishUnavailable(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(l *fakeLog)
	}{
		{"log down", func(l *fakeLog) { l.readErr = platform.ErrUnavailable }},
		{"lost tail", func(l *fakeLog) { l.truncate(1) }},
		{"gap", func(l *fakeLog) {
			l.put(Stream, nil)
			l.put(Stream, nil)
			l.expire(4)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				publishAll(l, 3)
				f, _ := quietFollower(l)
				assert.NilError(t, f.poll(t.Context(), 0))
				tt.spoil(l)
				_, err := NewPublisher(l, WithFollower(f)).Publish(t.Context(), change("mine", 2, 1))
				assert.ErrorIs(t, err, platform.ErrUnavailable)
				assert.Equal(t, l.appends, 0)
			})
		})
	}
}

// Guards against a stale read that makes a publisher reject a base which the
// operator saw on an instance that knows more.
func TestPublishAfterStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		publishAll(l, 3)
		l.hidden = 1
		l.onAppend = func(l *fakeLog, stream string, data []byte) (platform.Offset, error) {
			l.hidden = 0
			return l.putLocked(stream, data), nil
		}
		result, err := NewPublisher(l).Publish(t.Context(), change("mine", 2, 9))
		assert.NilError(t, err)
		assert.Equal(t, result.Version, config.Version(3))
	})
}

// Guards against a publisher that waits for the follower, or the follower for
// it, when both read the log.
func TestPublishThroughRunningFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		f, _ := quietFollower(l)
		run(t, f)
		synctest.Wait()
		p := NewPublisher(l, WithFollower(f))
		start := time.Now()
		for i := range 5 {
			result, err := p.Publish(t.Context(), change(fmt.Sprint("r", i), config.Version(i-1), i+1))
			assert.NilError(t, err)
			assert.Equal(t, result.Version, config.Version(i))
			assert.Assert(t, f.Version() >= platform.Offset(i))
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against invalid content in the log, where acceptance no longer looks
// at it.
func TestPublishInvalid(t *testing.T) {
	l := newFakeLog()
	publishAll(l, 1)
	p := NewPublisher(l)
	tests := []struct {
		name   string
		change Change
	}{
		{"no id", change("", 0, 1)},
		{"long id", change(strings.Repeat("x", maxNameBytes+1), 0, 1)},
		{"author not UTF-8", Change{ID: "x", Scope: "service/a", Author: "\xff", Body: document("a", 1)}},
		{"negative base", change("x", -2, 1)},
		{"unknown kind", Change{ID: "x", Scope: "service/a", Kind: 99}},
		{"unknown scope", Change{ID: "x", Scope: "fleet", Body: document("a", 1)}},
		{"scope of another service", Change{ID: "x", Scope: "service/b", Base: -1, Body: document("a", 1)}},
		{"two services", Change{ID: "x", Scope: "service/a", Body: append(document("a", 1), "[service b]\n"...)}},
		{"unreadable", Change{ID: "x", Scope: "service/a", Body: []byte("[service a]\npolicy = none\n")}},
		{"deletion with body", Change{ID: "x", Scope: "service/a", Kind: DeleteService, Body: []byte("x")}},
		{"deletion of nothing", Change{ID: "x", Scope: "service/b", Base: -1, Kind: DeleteService}},
		{"drain of an unknown target", Change{ID: "x", Scope: "service/a", Kind: DrainTarget, Body: []byte("t9")}},
		{"drain of no target", Change{ID: "x", Scope: "service/a", Kind: DrainTarget}},
		{"drain without service", Change{ID: "x", Scope: "service/b", Base: -1, Kind: DrainTarget, Body: []byte("t1")}},
		{"drain of no instance", Change{ID: "x", Scope: "instance/", Base: -1, Kind: DrainInstance}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := p.Publish(t.Context(), tt.change)
			assert.ErrorIs(t, err, config.ErrInvalid)
			assert.Equal(t, l.appends, 0)
		})
	}
}

// Guards against an operator who waits on after giving up.
func TestPublishEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.onAppend = func(*fakeLog, string, []byte) (platform.Offset, error) { return 0, platform.ErrUncertain }
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := NewPublisher(l).Publish(ctx, change("mine", config.NoVersion, 1))
		assert.ErrorIs(t, err, ErrUncertain)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
	})
}
