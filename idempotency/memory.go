package idempotency

import (
	"container/heap"
	"container/list"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The errors of Begin and Wait.
var (
	// ErrNotOwner means that another instance or incarnation owns the key. The
	// request may have run there.
	ErrNotOwner = errors.New("idempotency key has another owner")
	// ErrExpired means that the table no longer knows whether the request ran.
	ErrExpired = errors.New("idempotency key is older than the table")
	// ErrFuture means that the key's issue time lies too far in the future. The
	// table decides nothing about it.
	ErrFuture = errors.New("idempotency key is issued in the future")
	// ErrMismatch means that the key belongs to a different request.
	ErrMismatch = errors.New("idempotency key was used for a different request")
	// ErrFull means that the table has no place. The request was not run.
	ErrFull = errors.New("deduplication table is full")
)

// Defaults of a table.
const (
	DefaultRetention = 2 * time.Minute
	// DefaultMaxKeys is about 40 MB of entries without their answers.
	DefaultMaxKeys = 128 << 10
	// DefaultMaxAnswerBytes bounds the kept answers of the whole table.
	DefaultMaxAnswerBytes = 32 << 20
	// maxSkew is the largest difference between a caller's clock and the owner's.
	maxSkew = 30 * time.Second
	// shardCount keeps contention low at thousands of requests per second.
	shardCount = 16
)

// Outcome is what is known of a dispatched request.
type Outcome int

// The outcomes of a request. The zero value is Unknown, so that an omission
// never claims too much.
const (
	Unknown Outcome = iota
	Run
	NotRun
)

// Memory is the deduplication table of the requests that this incarnation of an
// instance dispatched with a key. It is safe for concurrent use.
type Memory struct {
	instance       string
	incarnation    int64
	start          time.Time
	retention      time.Duration
	maxKeys        int
	maxAnswerBytes int
	shards         [shardCount]shard
}

// shard holds the keys of one part of the hash space.
type shard struct {
	mu      sync.Mutex
	entries map[entryKey]*entry
	// finished orders the finished entries by issue time, for eviction.
	finished byIssue
	// answers lists the entries with a kept answer, the oldest first.
	answers     list.List
	answerBytes int
	// mark is the low-water mark in Unix ms: no key issued at or before it is
	// dispatched.
	mark int64
}

// entryKey is the part of a key that differs among the keys of one owner. It
// holds no time.Time, whose values may differ for the same instant.
type entryKey struct {
	issued int64 // Unix ms
	random string
}

// entry is one key with what is known of its request.
type entry struct {
	entryKey
	fingerprint uint64
	done        chan struct{} // closed when the request finished
	// The fields below change before done closes. Answer is dropped later under
	// the shard's lock.
	outcome  Outcome
	answer   []byte
	inAnswer *list.Element
}

// Option changes a Memory under construction.
type Option func(*Memory)

// WithRetention sets how long after its issue time a key is kept.
func WithRetention(retention time.Duration) Option {
	return func(m *Memory) { m.retention = retention }
}

// WithMaxKeys bounds the number of keys.
func WithMaxKeys(n int) Option { return func(m *Memory) { m.maxKeys = n } }

// WithMaxAnswerBytes bounds the size of the kept answers.
func WithMaxAnswerBytes(n int) Option { return func(m *Memory) { m.maxAnswerBytes = n } }

// NewMemory returns the table of an incarnation that starts at the given time,
// which must come from time.Now and precede the first key made for it.
func NewMemory(instance string, incarnation int64, start time.Time, opts ...Option) *Memory {
	m := &Memory{
		instance: instance, incarnation: incarnation, start: start,
		retention: DefaultRetention, maxKeys: DefaultMaxKeys, maxAnswerBytes: DefaultMaxAnswerBytes,
	}
	for _, opt := range opts {
		opt(m)
	}
	for i := range m.shards {
		m.shards[i].entries = map[entryKey]*entry{}
		m.shards[i].mark = start.UnixMilli() - 1
	}
	return m
}

// Owns returns whether this incarnation dispatches requests with the key.
func (m *Memory) Owns(key Key) bool {
	return key.Instance == m.instance && key.Incarnation == m.incarnation
}

// Now returns the owner's time: the start plus the monotonic time since. It
// never steps back, so that the low-water mark cannot be outwitted by a change
// of the wall clock.
func (m *Memory) Now() time.Time { return m.start.Add(time.Since(m.start)) }

// Claim is the part that one request has in a key.
type Claim struct {
	shard *shard
	entry *entry
	first bool
	limit int // bytes of answers in the shard
}

// Begin claims the key for a request. The first claim must dispatch the request
// and call Finish; any other calls Wait. The error is ErrNotOwner, ErrExpired,
// ErrFuture, ErrMismatch or ErrFull.
func (m *Memory) Begin(key Key, fingerprint uint64, now time.Time) (*Claim, error) {
	if !m.Owns(key) {
		return nil, fmt.Errorf("%w: %s in incarnation %d", ErrNotOwner, key.Instance, key.Incarnation)
	}
	s := &m.shards[xxhash.Sum64String(key.Random)%shardCount]
	claim := &Claim{shard: s, limit: m.maxAnswerBytes / shardCount}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raiseMark(now.Add(-m.retention).UnixMilli())
	id := entryKey{issued: key.Issued.UnixMilli(), random: key.Random}
	if e, ok := s.entries[id]; ok {
		if e.fingerprint != fingerprint {
			return nil, ErrMismatch
		}
		claim.entry = e
		return claim, nil
	}
	if id.issued > now.Add(maxSkew).UnixMilli() {
		return nil, ErrFuture
	}
	if id.issued <= s.mark {
		return nil, ErrExpired
	}
	if len(s.entries) >= max(1, m.maxKeys/shardCount) && !s.evictBefore(id.issued) {
		return nil, ErrFull
	}
	e := &entry{entryKey: id, fingerprint: fingerprint, done: make(chan struct{})}
	s.entries[id] = e
	claim.entry, claim.first = e, true
	return claim, nil
}

// First returns whether the claim's request is the one to dispatch.
func (c *Claim) First() bool { return c.first }

// Finish records the outcome of the dispatched request and wakes the requests
// that wait for it. The table keeps the answer of a request that ran while
// there is room. NotRun is final too: an earlier copy of the request may still
// be on its way, for example in the socket buffer of a process that was paused,
// and must not run after the caller was told that it did not. Calls after the
// first have no effect.
func (c *Claim) Finish(outcome Outcome, answer []byte) {
	if !c.first {
		return
	}
	s, e := c.shard, c.entry
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-e.done:
		return
	default:
	}
	e.outcome = outcome
	heap.Push(&s.finished, e)
	if outcome == Run && answer != nil {
		s.keepAnswer(e, answer, c.limit)
	}
	close(e.done)
}

// Wait waits until the dispatched request is finished and returns its outcome,
// and its answer if it is still kept. The error is the context's.
func (c *Claim) Wait(ctx context.Context) (Outcome, []byte, error) {
	select {
	case <-c.entry.done:
	case <-ctx.Done():
		return Unknown, nil, ctx.Err()
	}
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	return c.entry.outcome, c.entry.answer, nil
}

// Stats is what the table holds.
type Stats struct {
	Keys        int
	Answers     int
	AnswerBytes int
	// LowWater is the highest low-water mark of the shards.
	LowWater time.Time
}

// Stats returns what the table holds.
func (m *Memory) Stats() Stats {
	var stats Stats
	var mark int64
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		stats.Keys += len(s.entries)
		stats.Answers += s.answers.Len()
		stats.AnswerBytes += s.answerBytes
		mark = max(mark, s.mark)
		s.mu.Unlock()
	}
	stats.LowWater = time.UnixMilli(mark)
	return stats
}

// raiseMark moves the low-water mark and forgets the finished keys issued at or
// before it.
func (s *shard) raiseMark(mark int64) {
	s.mark = max(s.mark, mark)
	for len(s.finished) > 0 && s.finished[0].issued <= s.mark {
		s.remove(heap.Pop(&s.finished).(*entry))
	}
}

// evictBefore makes room by forgetting the oldest finished keys, and raises the
// low-water mark over them. It returns false when no finished key is older than
// the issue time, since the mark must stay below the key that asks for room.
func (s *shard) evictBefore(issued int64) bool {
	if len(s.finished) == 0 || s.finished[0].issued >= issued {
		return false
	}
	s.raiseMark(s.finished[0].issued)
	return true
}

func (s *shard) remove(e *entry) {
	delete(s.entries, e.entryKey)
	s.dropAnswer(e)
}

func (s *shard) keepAnswer(e *entry, answer []byte, limit int) {
	if len(answer) > limit {
		return
	}
	for s.answerBytes+len(answer) > limit {
		s.dropAnswer(s.answers.Front().Value.(*entry))
	}
	e.answer = answer
	e.inAnswer = s.answers.PushBack(e)
	s.answerBytes += len(answer)
}

func (s *shard) dropAnswer(e *entry) {
	if e.inAnswer == nil {
		return
	}
	s.answers.Remove(e.inAnswer)
	s.answerBytes -= len(e.answer)
	e.answer, e.inAnswer = nil, nil
}

// byIssue is a heap of entries, the earliest issue time first.
type byIssue []*entry

// Len implements heap.Interface.
func (h byIssue) Len() int { return len(h) }

// Less implements heap.Interface.
func (h byIssue) Less(i, j int) bool { return h[i].issued < h[j].issued }

// Swap implements heap.Interface.
func (h byIssue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byIssue) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *byIssue) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
