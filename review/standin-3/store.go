package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// logRecord is one record of a keyed topic.
type logRecord struct {
	key   string
	value []byte // nil if the record drops the key
}

// logTopic is partition 0 of a topic.
type logTopic struct {
	records []logRecord
	newest  map[string]int // offset of the newest record of each key
	added   chan struct{}  // closed and replaced by each append
}

// logStore is a stand-in for the platform's store: the log with keyed topics. It always
// answers at once; the disruptions are those of a storePort.
type logStore struct {
	mu     sync.Mutex
	topics map[string]*logTopic
}

func newLogStore() *logStore { return &logStore{topics: map[string]*logTopic{}} }

func (s *logStore) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: map[string]int{}, added: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record for the operator or a server. The return is the acknowledgement.
func (s *logStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, logRecord{key, value})
}

func (s *logStore) appendLocked(topic string, r logRecord) {
	t := s.topic(topic)
	t.records = append(t.records, r)
	if r.value == nil {
		delete(t.newest, r.key)
	} else {
		t.newest[r.key] = len(t.records) - 1
	}
	close(t.added)
	t.added = make(chan struct{})
}

// ServeHTTP answers the calls of one instance.
func (s *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-newest":
		s.serveNewest(w, topic, r.URL.Query().Get("after"))
	case "/-/log-read":
		s.serveRead(w, r, topic)
	case "/-/log-append":
		s.serveAppend(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *logStore) serveNewest(w http.ResponseWriter, topic, after string) {
	const pageSize = 500
	s.mu.Lock()
	t := s.topic(topic)
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageSize
	keys = keys[:min(pageSize, len(keys))]
	items := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		offset := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset].value), "offset": offset})
	}
	page := map[string]any{"items": items, "has-more": more, "end-offset": len(t.records)}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *logStore) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(topic)
		end, added := len(t.records), t.added
		s.mu.Unlock()
		if end > from || waitMS == 0 {
			break
		}
		select {
		case <-added:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	t := s.topic(topic)
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range t.records[min(from, len(t.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(append(append(body, byte(len(record.key))), record.key...), record.value...)
	}
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (s *logStore) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	first := len(s.topic(topic).records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+n]
		body = body[4+n:]
		end := 1 + int(record[0])
		value := slices.Clone(record[end:])
		if len(value) == 0 {
			value = nil
		}
		s.appendLocked(topic, logRecord{string(record[1:end]), value})
	}
	end := len(s.topic(topic).records)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": first, "end-offset": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// storePort is the address at which one instance reaches the store. While it turns the
// instance away, it resets its connections.
type storePort struct {
	listener net.Listener
	store    *logStore

	mu         sync.Mutex
	turnedAway bool
	conns      map[net.Conn]struct{}
}

// openStorePort listens on a free loopback port.
func openStorePort(store *logStore) (*storePort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePort{listener: l, store: store, conns: map[net.Conn]struct{}{}}
	server := &http.Server{Handler: p.store, ConnState: p.track}
	go func() { _ = server.Serve(l) }()
	return p, nil
}

func (p *storePort) address() string { return p.listener.Addr().String() }

func (p *storePort) track(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[conn] = struct{}{}
		if p.turnedAway {
			reset(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, conn)
	}
}

// turnAway begins or ends to reset the connections of the instance.
func (p *storePort) turnAway(turnedAway bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turnedAway = turnedAway
	if turnedAway {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func must(err error) {
	if err != nil {
		panic(setupError{fmt.Errorf("the case cannot run: %w", err)})
	}
}

// setupError means that the case cannot run.
type setupError struct{ error }
