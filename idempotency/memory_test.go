package idempotency

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.UnixMilli(1_700_000_000_000)

func newKey(after time.Duration, random string) Key {
	return Key{Instance: "kt-a-1", Incarnation: 7, Issued: start.Add(after), Random: random}
}

func newMemory(opts ...Option) *Memory { return NewMemory("kt-a-1", 7, start, opts...) }

// Guards against a wrong answer in each situation that the table decides.
func TestMemoryBegin(t *testing.T) {
	now := start.Add(10 * time.Minute)
	old := now.Add(-DefaultRetention).Sub(start)
	recent := now.Sub(start)
	cases := []struct {
		name string
		key  Key
		want error
	}{
		{"new", newKey(recent, "n"), nil},
		{"within retention", newKey(old+time.Millisecond, "n"), nil},
		{"at the low-water mark", newKey(old, "n"), ErrExpired},
		{"before the start", newKey(-time.Millisecond, "n"), ErrExpired},
		{"slightly in the future", newKey(recent+maxSkew, "n"), nil},
		{"far in the future", newKey(recent+maxSkew+time.Millisecond, "n"), ErrFuture},
		{"other instance", Key{"kt-a-2", 7, now, "n"}, ErrNotOwner},
		{"other incarnation", Key{"kt-a-1", 8, now, "n"}, ErrNotOwner},
		{"different request", newKey(recent, "known"), ErrMismatch},
	}
	for _, c := range cases {
		m := newMemory()
		_, err := m.Begin(newKey(recent, "known"), 1, now)
		assert.NilError(t, err)
		_, err = m.Begin(c.key, 2, now)
		if c.want != nil {
			assert.ErrorIs(t, err, c.want, c.name)
			continue
		}
		assert.NilError(t, err, c.name)
	}
	_, err := newMemory().Begin(newKey(-time.Millisecond, "n"), 1, start)
	assert.ErrorIs(t, err, ErrExpired, "before the start of this incarnation")
}

// Guards against a second dispatch of a request that ran or may have run, and
// against a late copy that runs after the caller was told that it did not.
func TestClaimFinish(t *testing.T) {
	for _, want := range []Outcome{Run, Unknown, NotRun} {
		m := newMemory()
		key := newKey(time.Second, "r")
		first, err := m.Begin(key, 1, start)
		assert.NilError(t, err)
		assert.Assert(t, first.First())
		first.Finish(want, []byte("answer"))
		first.Finish(NotRun, nil)
		again, err := m.Begin(key, 1, start)
		assert.NilError(t, err)
		assert.Assert(t, !again.First())
		again.Finish(NotRun, nil)
		outcome, answer, err := again.Wait(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, outcome, want)
		assert.Equal(t, string(answer) == "answer", want == Run)
	}
}

// Guards against a wait that ends early, ignores its deadline or misses that
// the request was not run.
func TestClaimWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewMemory("kt-a-1", 7, time.Now())
		key := Key{"kt-a-1", 7, time.Now(), "r"}
		first, err := m.Begin(key, 1, m.Now())
		assert.NilError(t, err)
		second, err := m.Begin(key, 1, m.Now())
		assert.NilError(t, err)
		assert.Assert(t, !second.First())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = second.Wait(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		go func() {
			time.Sleep(time.Minute)
			first.Finish(NotRun, nil)
		}()
		outcome, _, err := second.Wait(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, outcome, NotRun)
		assert.Equal(t, m.Now().Sub(m.start), time.Minute+time.Second)
		third, err := m.Begin(key, 1, m.Now())
		assert.NilError(t, err)
		assert.Assert(t, !third.First())
	})
}

// Guards against two concurrent repeats that are both dispatched.
func TestMemoryConcurrentRepeats(t *testing.T) {
	m := newMemory()
	const keys, repeats = 50, 20
	var dispatched [keys]atomic.Int64
	var group sync.WaitGroup
	for i := range keys {
		for range repeats {
			group.Go(func() {
				claim, err := m.Begin(newKey(time.Second, strconv.Itoa(i)), 1, start)
				if !assert.Check(t, err) {
					return
				}
				if claim.First() {
					dispatched[i].Add(1)
					claim.Finish(Run, []byte(strconv.Itoa(i)))
					return
				}
				outcome, answer, err := claim.Wait(t.Context())
				assert.Check(t, err)
				assert.Check(t, outcome == Run)
				assert.Check(t, string(answer) == strconv.Itoa(i))
			})
		}
	}
	group.Wait()
	for i := range keys {
		assert.Equal(t, dispatched[i].Load(), int64(1))
	}
}

// Guards against a table that grows without bound in keys or answers, and
// against a full table that forgets a key and dispatches it again.
func TestMemoryBounds(t *testing.T) {
	m := newMemory(WithMaxKeys(10*shardCount), WithMaxAnswerBytes(100*shardCount))
	for i := range 5000 {
		claim, err := m.Begin(newKey(time.Duration(i)*time.Millisecond, strconv.Itoa(i)), 1, start.Add(time.Minute))
		assert.NilError(t, err)
		claim.Finish(Run, make([]byte, 30))
	}
	stats := m.Stats()
	assert.Assert(t, stats.Keys <= 10*shardCount)
	assert.Assert(t, stats.AnswerBytes <= 100*shardCount)
	assert.Assert(t, stats.Answers > 0)
	_, err := m.Begin(newKey(0, "0"), 1, start.Add(time.Minute))
	assert.ErrorIs(t, err, ErrExpired)
	claim, err := m.Begin(newKey(4999*time.Millisecond, "large"), 1, start.Add(time.Minute))
	if !errors.Is(err, ErrFull) {
		assert.NilError(t, err)
		claim.Finish(Run, make([]byte, 101))
		again, err := m.Begin(newKey(4999*time.Millisecond, "large"), 1, start.Add(time.Minute))
		assert.NilError(t, err)
		outcome, answer, err := again.Wait(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, outcome, Run)
		assert.Assert(t, answer == nil)
	}
	_, err = m.Begin(newKey(time.Hour, "x"), 1, start.Add(time.Hour))
	assert.NilError(t, err)
}

// Guards against a full table of unfinished requests that forgets one of them.
func TestMemoryFull(t *testing.T) {
	m := newMemory(WithMaxKeys(1))
	key := newKey(time.Second, "r")
	claim, err := m.Begin(key, 1, start)
	assert.NilError(t, err)
	other := key
	other.Issued = other.Issued.Add(time.Millisecond)
	_, err = m.Begin(other, 1, start)
	assert.ErrorIs(t, err, ErrFull)
	claim.Finish(Run, nil)
	_, err = m.Begin(other, 1, start)
	assert.NilError(t, err)
	_, err = m.Begin(key, 1, start)
	assert.ErrorIs(t, err, ErrExpired)
}

type runningClaim struct {
	claim *Claim
	key   Key
}

// Guards against any sequence of claims, outcomes, evictions and clock steps
// that dispatches a key twice, whatever became of the first dispatch.
func TestMemoryRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory(WithMaxKeys(rapid.IntRange(1, 4).Draw(t, "keys")*shardCount),
			WithMaxAnswerBytes(rapid.IntRange(0, 40).Draw(t, "bytes")*shardCount), WithRetention(2*time.Second))
		now := start
		taken := map[Key]bool{} // dispatched before
		var running []runningClaim
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				after := time.Duration(rapid.IntRange(-2, 40).Draw(t, "issued")) * 500 * time.Millisecond
				// Two random parts put all keys into at most two shards.
				key := newKey(after, fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "random")))
				claim, err := m.Begin(key, 1, now)
				if err != nil || !claim.First() {
					return
				}
				if taken[key] {
					t.Fatalf("key %s dispatched twice", key)
				}
				taken[key] = true
				running = append(running, runningClaim{claim, key})
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "claim")
				outcome := rapid.SampledFrom([]Outcome{Run, NotRun, Unknown}).Draw(t, "outcome")
				running[i].claim.Finish(outcome, make([]byte, rapid.IntRange(0, 50).Draw(t, "size")))
				running = append(running[:i], running[i+1:]...)
			},
			"step": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(-500, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				stats := m.Stats()
				if stats.Keys > m.maxKeys || stats.AnswerBytes > m.maxAnswerBytes {
					t.Fatalf("table exceeds its bounds: %+v", stats)
				}
			},
		})
	})
}

// BenchmarkMemory measures a new key from claim to finish, on all cores.
func BenchmarkMemory(b *testing.B) {
	m := NewMemory("kt-a-1", 7, time.Now())
	var next atomic.Int64
	answer := make([]byte, 256)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			now := m.Now()
			key := Key{"kt-a-1", 7, now, strconv.FormatInt(next.Add(1), 10)}
			if claim, err := m.Begin(key, 1, now); err == nil {
				claim.Finish(Run, answer)
			}
		}
	})
}
