package standin

import (
	"slices"
	"time"
)

// Restore replaces the content of the store by a copy of the given age and begins a
// new era. Offsets that the copy lacks are given out again. A long poll in progress
// ends without a response.
func (s *Store) Restore(age time.Duration) { s.restore(time.Now().Add(-age)) }

// Copy makes a copy of the store for RestoreCopy.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copiedAt = time.Now()
}

// RestoreCopy is Restore with the content at the last Copy.
func (s *Store) RestoreCopy() {
	s.mu.Lock()
	at := s.copiedAt
	s.mu.Unlock()
	s.restore(at)
}

// restore removes all records appended at the given time or later.
func (s *Store) restore(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.removeSince(since)
	}
	s.era++
	s.notify()
}

// Rewrite appends the records that the last Restore removed from a topic, as
// operators and targets do. It leaves out those whose key has been appended since.
func (s *Store) Rewrite(topicName string) {
	s.rewrite(topicName, func([]record, int) bool { return true })
}

// RewriteNewest is Rewrite for writers that repeat only the newest record of each key.
func (s *Store) RewriteNewest(topicName string) {
	s.rewrite(topicName, func(lost []record, i int) bool {
		return !slices.ContainsFunc(lost[i+1:], func(r record) bool { return r.key == lost[i].key })
	})
}

// rewrite appends the lost records that are selected by their index.
func (s *Store) rewrite(topicName string, selected func(lost []record, i int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	lost := t.lost
	t.lost = nil
	for i, r := range lost {
		if selected(lost, i) {
			t.append(r.key, r.value)
		}
	}
	s.notify()
}
