package standin

import (
	"slices"
	"time"
)

// topic is the log of one partition.
type topic struct {
	first int64 // offset of the oldest record that can be read
	// records are all records by offset, also those that have expired, since a
	// restored store may end before them.
	records []record
	newest  map[string]record
	// lost are the records that the last Restore removed, except those whose key has
	// been appended since: an older record must not replace what its writer wrote.
	lost []record
}

// record is one record with its offset.
type record struct {
	key        string
	value      []byte
	offset     int64
	appendedAt time.Time
}

func (t *topic) end() int64 { return int64(len(t.records)) }

func (t *topic) append(key string, value []byte) {
	r := record{key: key, value: slices.Clone(value), offset: t.end(), appendedAt: time.Now()}
	t.records = append(t.records, r)
	t.recordNewest(r)
	t.lost = slices.DeleteFunc(t.lost, func(l record) bool { return l.key == key })
}

func (t *topic) recordNewest(r record) {
	if r.value == nil {
		delete(t.newest, r.key)
		return
	}
	t.newest[r.key] = r
}

// removeSince removes the records that were appended at the given time or later.
func (t *topic) removeSince(at time.Time) {
	end := slices.IndexFunc(t.records, func(r record) bool { return !r.appendedAt.Before(at) })
	if end < 0 {
		end = len(t.records)
	}
	t.lost = slices.Clone(t.records[end:])
	t.records = t.records[:end]
	t.first = min(t.first, t.end())
	t.newest = map[string]record{}
	for _, r := range t.records {
		t.recordNewest(r)
	}
}
