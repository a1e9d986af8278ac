package configlog

import (
	"context"
	"flag"
	"fmt"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

// TestMain fixes the seed of the property tests, so that CI gives the same
// result every time. The flag -rapid.seed on the command line replaces it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	// fasthttp ends its own background goroutines some seconds after the last
	// connection.
	goleak.VerifyTestMain(
		m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
	)
}

// history is a log, its readers, and a reference that folds every record.
type history struct {
	log       *fakeLog
	readers   []*Follower
	versions  []platform.Offset
	reference *State
	sent      [][]byte
	snapshots [][]byte
}

func newHistory() *history {
	h := &history{log: newFakeLog(), reference: NewState()}
	for range 3 {
		h.join()
	}
	return h
}

func (h *history) join() {
	f, _ := quietFollower(h.log)
	h.readers = append(h.readers, f)
	h.versions = append(h.versions, f.Version())
}

func (h *history) put(data []byte) {
	h.log.put(Stream, data)
	records := h.log.records(Stream)
	h.reference.Apply(records[len(records)-1])
}

func (h *history) appendChange(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	scope := config.ServiceScope(name)
	c := Change{ID: fmt.Sprint("id", len(h.sent)), Scope: scope, Base: h.reference.ScopeVersion(scope)}
	c.Kind = Kind(rapid.IntRange(int(PutService), int(UndrainInstance)).Draw(t, "kind"))
	switch c.Kind {
	case PutService:
		c.Body = document(name, 1+len(h.sent))
	case DrainTarget, UndrainTarget:
		c.Body = []byte("t1")
	case DrainInstance, UndrainInstance:
		c.Scope = config.InstanceScope(name)
		c.Base = h.reference.ScopeVersion(c.Scope)
	default:
	}
	if rapid.Bool().Draw(t, "racing") {
		c.Base = config.Version(rapid.Int64Range(-1, int64(h.reference.Version())+1).Draw(t, "base"))
	}
	data := encode(c)
	h.sent = append(h.sent, data)
	h.put(data)
}

func (h *history) appendDuplicate(t *rapid.T) {
	if len(h.sent) > 0 {
		h.put(rapid.SampledFrom(h.sent).Draw(t, "duplicate"))
	}
}

func (h *history) appendGarbage(t *rapid.T) {
	h.put(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage"))
}

func (h *history) reader(t *rapid.T) *Follower {
	return rapid.SampledFrom(h.readers).Draw(t, "reader")
}

func (h *history) read(t *rapid.T) {
	h.log.hidden = platform.Offset(rapid.IntRange(0, 3).Draw(t, "hidden"))
	_ = h.reader(t).poll(context.Background(), 0)
	h.log.hidden = 0
}

func (h *history) writeSnapshot(t *rapid.T) {
	data, err := h.reader(t).Snapshot()
	if err != nil {
		return
	}
	h.snapshots = append(h.snapshots, data)
	h.log.put(SnapshotStream, data)
}

func (h *history) offer(t *rapid.T) {
	if len(h.snapshots) > 0 {
		assert.NilError(t, h.reader(t).Offer(rapid.SampledFrom(h.snapshots).Draw(t, "snapshot")))
	}
}

// expire drops records that a snapshot in the log covers.
func (h *history) expire(t *rapid.T) {
	covered := platform.Offset(-1)
	for _, data := range h.snapshots {
		s, err := Restore(data)
		assert.NilError(t, err)
		covered = max(covered, s.Version())
	}
	h.log.expire(platform.Offset(rapid.Int64Range(0, int64(covered)+1).Draw(t, "expired")))
}

// check reports versions that went down.
func (h *history) check(t *rapid.T) {
	for i, f := range h.readers {
		assert.Assert(t, f.Version() >= h.versions[i], "version of reader %d fell from %d to %d", i, h.versions[i], f.Version())
		h.versions[i] = f.Version()
	}
}

// Guards against readers whose configuration depends on how they learned it:
// from the log, from snapshots, from peers, with gaps and stale reads.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		t.Repeat(map[string]func(*rapid.T){
			"change":    h.appendChange,
			"duplicate": h.appendDuplicate,
			"garbage":   h.appendGarbage,
			"read":      h.read,
			"snapshot":  h.writeSnapshot,
			"offer":     h.offer,
			"expire":    h.expire,
			"join":      func(*rapid.T) { h.join() },
			"":          h.check,
		})
		want, err := h.reference.Snapshot()
		assert.NilError(t, err)
		for _, f := range h.readers {
			assert.NilError(t, f.catchUp(context.Background()))
			assert.Assert(t, f.Ready())
			assert.DeepEqual(t, f.Fleet().ScopeVersions, h.reference.Fleet().ScopeVersions)
			assert.DeepEqual(t, formatted(f.Fleet()), formatted(h.reference.Fleet()))
			got, err := f.Snapshot()
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
		}
		h.check(t)
	})
}

// formatted returns all of a fleet but its scope versions as text.
func formatted(fleet *config.Fleet) map[string]string {
	text := map[string]string{"version": fmt.Sprint(fleet.Version), "instances": fmt.Sprint(fleet.DrainedInstances)}
	for name, s := range fleet.Services {
		text["service/"+name] = string(config.FormatService(s)) + fmt.Sprint(s.Targets)
	}
	return text
}
