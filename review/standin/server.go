package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of PROTOCOL.md.
const (
	headerID       = "Rhubarbrelay-Attempt-Id"
	headerDeadline = "Rhubarbrelay-Deadline-Ms"
	headerExpect   = "Rhubarbrelay-Expect-Instance"
	headerSeal     = "Rhubarbrelay-Response-Seal"
	headerNotRun   = "Rhubarbrelay-Not-Executed"
	headerInstance = "Rhubarbrelay-Instance-Id"
	headerLoad     = "Rhubarbrelay-Server-Load"
)

// run is what a server notes of a request that it ran.
type run struct {
	Server   string
	At       time.Time
	Method   string
	URI      string
	Body     string // digest of the request's body
	Answered time.Time
	Answer   string // digest of the body of the answer
	Broken   bool   // the connection ended before the answer was written
}

// runs holds the runs of all servers by the id of the request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func (r *runs) add(id string, one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], one)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var copied []run
	for _, one := range r.byID[id] {
		copied = append(copied, *one)
	}
	return copied
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// server is a stand-in for a sound upstream: it runs up to slots requests at once,
// queues twice as many, and tells its load.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       func(r *http.Request) time.Duration
	answer                     func(r *http.Request) []byte
	runs                       *runs
	store                      *store
	started                    time.Time

	slot             chan struct{}
	running, waiting atomic.Int64
	sequence         int
	http             *http.Server
	done             chan struct{}
}

func (s *server) start(interval time.Duration) error {
	s.slot = make(chan struct{}, s.slots)
	s.started, s.done = time.Now(), make(chan struct{})
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.register()
	go func() {
		for {
			select {
			case <-s.done:
				return
			case <-time.After(interval):
				s.register()
			}
		}
	}()
	return nil
}

func (s *server) register() {
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"addr": s.address, "born": s.started.UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold-left-ms": 0},
	})
	s.store.put("keyed.servers", s.id, value)
}

func (s *server) close() {
	close(s.done)
	_ = s.http.Close()
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
	if r.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, s.id)
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	switch expect := r.Header.Get(headerExpect); {
	case id == "":
		s.refuse(w, http.StatusBadRequest)
		return
	case expect != "" && expect != s.id:
		w.Header().Set(headerInstance, s.id)
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive
	}
	if s.waiting.Add(1) > int64(2*s.slots) {
		s.waiting.Add(-1)
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	deadlineMS, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	select {
	case s.slot <- struct{}{}:
		s.waiting.Add(-1)
	case <-time.After(time.Duration(deadlineMS) * time.Millisecond):
		s.waiting.Add(-1)
		s.refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	s.running.Add(1)
	one := &run{Server: s.id, At: time.Now(), Method: r.Method, URI: r.RequestURI, Body: digest(body)}
	s.runs.add(id, one)
	time.Sleep(s.work(r))
	answer := s.answer(r)
	s.running.Add(-1)
	<-s.slot
	s.runs.mu.Lock()
	one.Answer, one.Answered = digest(answer), time.Now()
	s.runs.mu.Unlock()
	w.Header().Set(headerSeal, digest([]byte(id+s.id)))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.waiting.Load(), s.slots))
	if _, err := w.Write(answer); err != nil {
		s.runs.mu.Lock()
		one.Broken = true
		s.runs.mu.Unlock()
	}
}

func (s *server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}
