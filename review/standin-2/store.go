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

// store is a stand-in for the platform's store: keyed topics of one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// refuse is asked about each call with the IP address of its client; true refuses it with 503.
	refuse func(ip string) bool
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	newest  map[string]int
}

func newStore() *store { return &store{topics: map[string]*topic{}, changed: make(chan struct{})} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(key string, value []byte) {
	t.records = append(t.records, record{key, value})
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = len(t.records) - 1
}

// put appends a record as the operator or a server does, and returns the time of the
// acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(key, value)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	refuse := s.refuse
	s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	time.Sleep(4 * time.Millisecond)
	if refuse != nil && refuse(ip) {
		w.WriteHeader(503)
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, name, q.Get("at"), body)
	case "/-/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.read(w, r, name, from, time.Duration(wait)*time.Millisecond)
	case "/-/log-newest":
		s.newest(w, name, q.Get("after"))
	default:
		w.WriteHeader(404)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) append(w http.ResponseWriter, name, at string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(403)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, 412, map[string]int{"end-offset": len(t.records)})
		return
	}
	first := len(t.records)
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		raw := body[4 : 4+n]
		body = body[4+n:]
		k := 1 + int(raw[0])
		t.add(string(raw[1:k]), raw[k:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
	reply(w, 200, map[string]int{"offset": first, "end-offset": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from int, wait time.Duration) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			reply(w, 410, map[string]int{"first": 0})
			return
		}
		if from < len(t.records) || time.Now().After(end) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(append(out, rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	keys := []string{}
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, k := range keys[:min(500, len(keys))] {
		i := t.newest[k]
		items = append(items, item{k, base64.StdEncoding.EncodeToString(t.records[i].value), i})
	}
	reply(w, 200, map[string]any{"items": items, "has-more": len(keys) > 500, "end-offset": len(t.records)})
}
