package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic. A nil value deletes the key.
type record struct {
	key   string
	value []byte
}

// topic is partition 0 of a keyed topic.
type topic struct {
	records []record
	newest  map[string]int64 // offset of the newest record of each key that has a value
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes the calls
// log-append, log-read and log-newest.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	http    *http.Server
	address string
}

func newStore(address string) (*store, error) {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), address: address}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.handleAppend)
	mux.HandleFunc("GET /-/log-read", s.handleRead)
	mux.HandleFunc("GET /-/log-newest", s.handleNewest)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// topic returns a topic, which is created on first use. s.mu is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record, as the operator and the servers do.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, record{key, value})
}

func (s *store) append(name string, r record) {
	t := s.topic(name)
	if r.value == nil {
		delete(t.newest, r.key)
	} else {
		t.newest[r.key] = int64(len(t.records))
	}
	t.records = append(t.records, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	t := s.topic(name)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end-offset": len(t.records)})
		return
	}
	first := len(t.records)
	for len(body) >= 5 {
		length := int(binary.BigEndian.Uint32(body))
		raw := body[4 : 4+length]
		body = body[4+length:]
		end := 1 + int(raw[0])
		added := record{key: string(raw[1:end])}
		if end < len(raw) {
			added.value = append([]byte(nil), raw[end:]...)
		}
		s.append(name, added)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end-offset": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		if from < len(t.records) || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, added := range t.records[min(from, len(t.records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(added.key)+len(added.value)))
				body = append(body, byte(len(added.key)))
				body = append(append(body, added.key...), added.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	const maxPage = 500
	more := len(keys) > maxPage
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPage)] {
		offset := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": more, "end-offset": len(t.records)})
}
