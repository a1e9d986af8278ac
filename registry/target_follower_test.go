package registry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// wire passes the news of followers on to each other, unless it is cut.
type wire struct {
	mu        sync.Mutex
	followers []*TargetFollower
	cut       bool
	sent      []peer.News
	wide      int // of those, the ones for all zones
}

func ignore(targets.Change, string) {}

// link is the wire as one follower sees it.
type link struct {
	wire *wire
	self int
}

// Spread implements Spreader.
func (l link) Spread(news peer.News, _ []int64, everywhere bool) {
	l.wire.mu.Lock()
	defer l.wire.mu.Unlock()
	l.wire.sent = append(l.wire.sent, news)
	if everywhere {
		l.wire.wide++
	}
	if l.wire.cut {
		return
	}
	for i, f := range l.wire.followers {
		if i != l.self {
			f.HearNews(news)
		}
	}
}

func (w *wire) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// group runs followers of one store, by rank, until the test ends.
func group(t *testing.T, store Store, n int) (*wire, []*targets.Directory) {
	t.Helper()
	w := &wire{}
	directories := make([]*targets.Directory, n)
	for i := range n {
		directories[i] = targets.NewDirectory()
		f := NewTargetFollower(store, directories[i], link{w, i}, func() int { return i }, func() int { return i }, ignore, func() {}, quiet)
		w.followers = append(w.followers, f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, f := range w.followers {
		running.Go(func() { _ = f.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return w, directories
}

func registration(state string, sequence int) string {
	return fmt.Sprintf(`{"addr":"10.0.0.1:80","born":1,"info":{"service":"s","version":"v1","zone":"a","slots":4},`+
		`"status":{"state":%q,"sequence":%d,"cold-left-ms":0}}`, state, sequence)
}

func ready(d *targets.Directory) int {
	n := 0
	for _, t := range d.ByService("s") {
		if t.State == targets.Ready {
			n++
		}
	}
	return n
}

// Guards against every instance reading the registry, and against changes that
// the ones that do not read it learn too late.
func TestOneReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		_, directories := group(t, store, 10)
		time.Sleep(10 * time.Second)
		reads, _ := store.counts()
		assert.Assert(t, reads <= 16, "%d reads in 10 s", reads)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		time.Sleep(readInterval + 10*time.Millisecond)
		for i, d := range directories {
			assert.Equal(t, ready(d), 0, "instance %d", i)
		}
	})
}

// Guards against instances that hear no news and go on with an old state.
func TestEachReadsForItselfWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		w, directories := group(t, store, 30)
		time.Sleep(5 * time.Second)
		w.setCut(true)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		time.Sleep(maxReadDelay + 10*time.Millisecond)
		for i, d := range directories {
			assert.Equal(t, ready(d), 0, "instance %d", i)
		}
		for _, f := range w.followers {
			assert.Assert(t, f.Age() <= maxReadDelay)
		}
	})
}

// Guards against zones that hear nothing because the first reader is gone, and
// against instances that missed a datagram and tell all zones what they read.
func TestReachOfNews(t *testing.T) {
	tests := []struct {
		name  string
		heard peer.News // just before the read
		wide  int
	}{
		{"after silence", peer.News{}, 1},
		{"after a gap", peer.News{From: 7, To: 9}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &wire{}
				order := func() int { return 5 }
				f := NewTargetFollower(newFakeStore(), targets.NewDirectory(), link{w, 0}, order, order, ignore, func() {}, quiet)
				assert.NilError(t, f.read(context.Background()))
				time.Sleep(2 * time.Second)
				if tt.heard.To > 0 {
					f.HearNews(tt.heard)
				}
				assert.NilError(t, f.read(context.Background()))
				assert.Equal(t, len(w.sent), 1)
				assert.Equal(t, w.wide, tt.wide)
			})
		})
	}
}

// Guards against changes that are lost for instances which cannot read the store
// when its history is dropped, and against entries that lapsed in an outage and
// are removed at once because the history was dropped as well.
func TestNewsOfDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		store.put(platform.TargetTopic, "j", registration("ready", 1))
		w := &wire{}
		first := func() int { return 0 }
		directory := targets.NewDirectory()
		f := NewTargetFollower(store, directory, link{w, 0}, first, first, ignore, func() {}, quiet)
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, len(w.sent), 0)
		f.note(platform.ErrUnavailable)
		time.Sleep(2 * minOutage)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		store.put(platform.TargetTopic, "j", "")
		store.expire(platform.TargetTopic)
		assert.ErrorIs(t, f.read(context.Background()), platform.ErrExpired)
		f.expire()
		assert.NilError(t, f.read(context.Background()))
		assert.Equal(t, len(w.sent), 1)
		assert.Equal(t, w.sent[0].From, int64(2))
		assert.Equal(t, w.sent[0].To, int64(4))
		assert.Equal(t, len(w.sent[0].Changes), 2)
		assert.Assert(t, w.sent[0].SinceOutage > 0)
		assert.Equal(t, ready(directory), 1)
	})
}

// Guards against news with a gap before them that count as complete.
func TestGapInNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for i := range 5 {
			store.put(platform.TargetTopic, fmt.Sprint(i), registration("ready", 1))
		}
		f := NewTargetFollower(store, targets.NewDirectory(), link{&wire{}, 0}, func() int { return 0 }, func() int { return 0 }, ignore, func() {}, quiet)
		assert.NilError(t, f.read(context.Background()))
		time.Sleep(time.Second)
		f.HearNews(peer.News{From: 7, To: 9})
		assert.Equal(t, f.Age(), time.Second)
		f.HearNews(peer.News{From: 4, To: 6})
		assert.Equal(t, f.Age(), time.Duration(0))
		f.HearNews(peer.News{From: 6, To: 9})
		assert.Equal(t, f.next, int64(9))
	})
}

// Guards against a lost state after the store has dropped its history or was
// away, and against targets that lapsed meanwhile.
func TestStoreTroubles(t *testing.T) {
	tests := []struct {
		name    string
		trouble func(s *fakeStore)
		want    int
	}{
		{"history dropped", func(s *fakeStore) { s.expire(platform.TargetTopic) }, 2},
		{"away, entries lapsed and came back", func(s *fakeStore) {
			s.fail(platform.ErrUnavailable)
			time.Sleep(5 * time.Second)
			s.put(platform.TargetTopic, "i", "")
			s.fail(nil)
			time.Sleep(1500 * time.Millisecond)
			s.put(platform.TargetTopic, "i", registration("ready", 9))
		}, 2},
		{"away, one target is gone", func(s *fakeStore) {
			s.fail(errLost)
			time.Sleep(5 * time.Second)
			s.put(platform.TargetTopic, "i", "")
			s.fail(nil)
		}, 1},
		{"malformed entry", func(s *fakeStore) { s.put(platform.TargetTopic, "i", "{") }, 1},
		{"entry of an unknown writer", func(s *fakeStore) { s.put(platform.TargetTopic, "other", "\xff\x00") }, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put(platform.TargetTopic, "i", registration("ready", 1))
				store.put(platform.TargetTopic, "j", registration("ready", 1))
				_, directories := group(t, store, 3)
				time.Sleep(3 * time.Second)
				tt.trouble(store)
				time.Sleep(5 * time.Second)
				for i, d := range directories {
					assert.Equal(t, ready(d), tt.want, "instance %d", i)
				}
			})
		})
	}
}

// Guards against an outage that takes away living targets at once.
func TestNoTargetIsLostDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		_, directories := group(t, store, 3)
		time.Sleep(3 * time.Second)
		store.fail(platform.ErrUnavailable)
		time.Sleep(5 * time.Second)
		store.put(platform.TargetTopic, "i", "")
		store.fail(nil)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for i, d := range directories {
				assert.Equal(t, ready(d), 1, "instance %d", i)
			}
		}
	})
}

// Guards against calls without a pause while the store is away.
func TestCallsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		group(t, store, 1)
		time.Sleep(time.Second)
		before, _ := store.counts()
		store.fail(platform.ErrThrottled)
		time.Sleep(10 * time.Second)
		reads, _ := store.counts()
		assert.Assert(t, reads-before < 25, "%d reads in 10 s", reads-before)
	})
}

// Guards against every instance calling the store while it is away, and against
// those that call rarely learning late of its return.
func TestFewCallDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 30
		store := newFakeStore()
		store.put(platform.TargetTopic, "i", registration("ready", 1))
		w, directories := group(t, store, instances)
		time.Sleep(3 * time.Second)
		before, _ := store.counts()
		store.fail(platform.ErrUnavailable)
		time.Sleep(20 * time.Second)
		reads, _ := store.counts()
		assert.Assert(t, reads-before < instances*20/2, "%d reads in 20 s", reads-before)
		store.put(platform.TargetTopic, "i", registration("draining", 2))
		store.fail(nil)
		time.Sleep(2 * minMaxBackoff)
		for i, d := range directories {
			assert.Equal(t, ready(d), 0, "instance %d", i)
			assert.Assert(t, w.followers[i].Age() < 2*readInterval)
		}
	})
}
