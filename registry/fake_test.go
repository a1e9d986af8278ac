package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"go.uber.org/goleak"

	"rhubarbrelay/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var discardLogger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

var errResponseLost = errors.New("response lost")

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	mu      sync.Mutex
	era     int64
	records map[platform.Topic][]platform.Record
	first   map[platform.Topic]int64 // first offset that has not expired
	failure error
	// unresponsive makes new reads block until their context ends.
	unresponsive bool
	// delayed makes new reads return only at the end of their wait.
	delayed bool
	changed chan struct{}
	// The numbers of calls of Read, Newest and Append.
	reads   int
	newest  int
	appends int
	// The times of the calls of Newest.
	newestAt []time.Time
}

// at returns a position of the first era.
func at(offset int64) platform.Position { return platform.Position{Era: 1, Offset: offset} }

func newFakeStore() *fakeStore {
	return &fakeStore{
		era:     1,
		records: map[platform.Topic][]platform.Record{}, first: map[platform.Topic]int64{}, changed: make(chan struct{}),
	}
}

func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err
	s.notifyChanged()
}

func (s *fakeStore) setUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
}

func (s *fakeStore) setDelayed(delayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayed = delayed
}

func (s *fakeStore) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) put(topic platform.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := platform.Record{Key: key, Offset: int64(len(s.records[topic]))}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records[topic] = append(s.records[topic], r)
	s.notifyChanged()
}

func (s *fakeStore) expire(topic platform.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[topic] = int64(len(s.records[topic]))
}

// restore begins a new era in which the topic ends at the offset.
func (s *fakeStore) restore(topic platform.Topic, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.records[topic] = slices.Clone(s.records[topic][:end]) // readers may still use the rest
	s.first[topic] = min(s.first[topic], int64(end))
	s.notifyChanged()
}

func (s *fakeStore) counts() (reads, newest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.newest
}

func (s *fakeStore) newestTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.newestAt)
}

// recordsFrom returns the records of a topic from an offset on.
func (s *fakeStore) recordsFrom(topic platform.Topic, offset int) []platform.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records[topic][offset:])
}

// end returns the position after the last record of a topic.
func (s *fakeStore) end(topic platform.Topic) platform.Position {
	return platform.Position{Era: s.era, Offset: int64(len(s.records[topic]))}
}

// Newest implements Store.
func (s *fakeStore) Newest(_ context.Context, topic platform.Topic) (platform.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest++
	s.newestAt = append(s.newestAt, time.Now())
	if s.failure != nil {
		return platform.Batch{}, s.failure
	}
	last := map[string]platform.Record{}
	for _, r := range s.records[topic] {
		last[r.Key] = r
	}
	batch := platform.Batch{Next: s.end(topic)}
	for _, r := range last {
		if r.Value != nil {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch, nil
}

// Read implements Store.
func (s *fakeStore) Read(ctx context.Context, topic platform.Topic, from platform.Position, wait time.Duration) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.reads++
	unresponsive, delayed := s.unresponsive, s.delayed
	s.mu.Unlock()
	if delayed {
		sleep(ctx, wait)
		wait = 0
	}
	if unresponsive {
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	for {
		s.mu.Lock()
		failure, all, first, end, changed := s.failure, s.records[topic], s.first[topic], s.end(topic), s.changed
		s.mu.Unlock()
		switch {
		case failure != nil:
			return platform.Batch{}, failure
		case from.Era != end.Era && (from.Offset != end.Offset || wait == 0):
			return platform.Batch{}, platform.ErrRestored
		case from.Offset < first || from.Offset > end.Offset:
			return platform.Batch{}, platform.ErrExpired
		case from.Offset < end.Offset || wait == 0:
			return platform.Batch{Records: all[from.Offset:], Next: end}, nil
		}
		select {
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			wait = 0
		}
	}
}

// Append implements Store.
func (s *fakeStore) Append(_ context.Context, topic platform.Topic, key string, value []byte) (platform.Position, error) {
	s.mu.Lock()
	s.appends++
	failure := s.failure
	s.mu.Unlock()
	if failure != nil {
		return platform.Position{}, failure
	}
	s.put(topic, key, string(value))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end(topic), nil
}

func (s *fakeStore) appendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}
