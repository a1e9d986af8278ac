package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beatInterval is the time between two registrations of a server.
const beatInterval = 1500 * time.Millisecond

// run is one run of a request at a server.
type run struct {
	at           time.Time
	id, service  string
	server, path string
	tenant       string
}

// runs are the runs at all servers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// snapshot returns the runs so far.
func (r *runs) snapshot() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// upstreamServer is a sound server of a service.
type upstreamServer struct {
	id, service, zone string
	slots             chan struct{}
	work              time.Duration
	listener          net.Listener
	born              int64
	runs              *runs

	mu       sync.Mutex
	state    string
	sequence int
	running  int
	stopBeat chan struct{}
}

// startServer starts a server and registers it.
func startServer(store *logStore, record *runs, id, service, zone string, slots int, work time.Duration) *upstreamServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &upstreamServer{
		id: id, service: service, zone: zone, slots: make(chan struct{}, slots), work: work, listener: l, born: time.Now().UnixMilli(),
		runs: record, state: "ready", stopBeat: make(chan struct{}),
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	s.register(store)
	go func() {
		for {
			select {
			case <-time.After(beatInterval):
				s.register(store)
			case <-s.stopBeat:
				return
			}
		}
	}()
	return s
}

// register writes the entry of the server.
func (s *upstreamServer) register(store *logStore) {
	s.mu.Lock()
	s.sequence++
	entry, err := json.Marshal(map[string]any{
		"addr": s.listener.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": cap(s.slots)},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "cold-left-ms": 0},
	})
	s.mu.Unlock()
	must(err)
	store.put("keyed.servers", s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *upstreamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,%d,100", s.running, cap(s.slots))
	s.mu.Unlock()
	w.Header().Set("Rhubarbrelay-Server-Load", load)
	w.Header().Set("Rhubarbrelay-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Rhubarbrelay-Attempt-Id")
	if id != "" {
		w.Header().Set("Rhubarbrelay-Attempt-Id", id)
	}
	if expected := r.Header.Get("Rhubarbrelay-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Rhubarbrelay-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil || id == "" {
		w.Header().Set("Rhubarbrelay-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		w.Header().Set("Rhubarbrelay-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.count(1)
	s.runs.add(run{at: time.Now(), id: id, service: s.service, server: s.id, path: r.URL.Path, tenant: r.Header.Get("Rhubarbrelay-Tenant")})
	time.Sleep(s.work)
	s.count(-1)
	<-s.slots
	body := s.service + " " + id
	w.Header().Set("Rhubarbrelay-Response-Seal", s.id+"."+strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (s *upstreamServer) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}
