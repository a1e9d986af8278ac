// Package standin implements stand-ins for the platform's store and for targets,
// and a TCP proxy, for tests, the demo and the soak test. All of them support
// fault injection.
package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxPage is the maximum number of records in one page of the newest records.
	maxPage = 500
	// maxWait is the maximum duration of a long poll.
	maxWait = 30 * time.Second
	// headerEra states the era of the store.
	headerEra = "Store-Era"
)

// Faults are the faults of the store that are in effect until they are changed. A
// long poll that is in progress when Down, Silent or Reset is set ends with status
// 200 and no records.
type Faults struct {
	// Down makes the store respond to every call with status 503, Throttled to every
	// call with 429, and Full to appends with 507. It does not execute these calls.
	Down, Throttled, Full bool
	// Silent makes the store not respond. It closes the connection once the fault
	// has ended or at Close.
	Silent bool
	// Reset makes the store reset the connection of every call.
	Reset bool
	// DropResponses makes the store execute appends and close the connection without
	// a response.
	DropResponses bool
	// Delay is the delay of every response.
	Delay time.Duration
	// RefusedAddresses are the IP addresses of clients that get status 503 while
	// others are served.
	RefusedAddresses []string
}

// Store is a stand-in for the platform's log store. It supports only keyed
// topics of one partition, as the load balancer uses no others.
type Store struct {
	http      *fasthttp.Server
	listening listening

	mu     sync.Mutex
	topics map[string]*topic
	// era is the number of restorations plus one. Every response states it.
	era    int64
	faults Faults
	// copiedAt is the time of the last Copy.
	copiedAt time.Time
	// changed is closed and replaced at each append, change of the faults, Expire,
	// Restore and Close.
	changed chan struct{}
	calls   map[string]int
	closed  bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, era: 1, changed: make(chan struct{}), calls: map[string]int{}}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	return s
}

// Serve serves calls until the listener is closed.
func (s *Store) Serve(l net.Listener) error { return s.http.Serve(s.listening.begin(l)) }

// Close ends the long polls and stops serving.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	s.notify()
	s.mu.Unlock()
	s.listening.end()
	return s.http.Shutdown()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notify()
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Expire deletes the history of every topic. The newest record of each key
// stays.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = t.end()
	}
	s.notify()
}

// Put appends a record to a topic, as an operator or a target does. A nil value
// deletes the key.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).append(key, value)
	s.notify()
}

// Newest returns the newest value of a key of a topic, or nil if there is none.
func (s *Store) Newest(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topicName).newest[key].value
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(topicName string) *topic {
	t := s.topics[topicName]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[topicName] = t
	}
	return t
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	path := string(ctx.Path())
	s.calls[path]++
	faults := s.faults
	s.mu.Unlock()
	defer s.writeEra(ctx)
	if strings.HasPrefix(path, controlPrefix) {
		s.handleControl(ctx, path)
		return
	}
	time.Sleep(faults.Delay)
	switch {
	case faults.Silent:
		s.waitWhileSilent()
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case faults.Reset:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(reset)
	case faults.Down, slices.Contains(faults.RefusedAddresses, ctx.RemoteIP().String()):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case faults.Throttled:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		s.serve(ctx, path, faults)
	}
}

// writeEra states the era as of the end of the call.
func (s *Store) writeEra(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx.Response.Header.Set(headerEra, strconv.FormatInt(s.era, 10))
}

func (s *Store) serve(ctx *fasthttp.RequestCtx, path string, faults Faults) {
	topicName := string(ctx.QueryArgs().Peek("topic"))
	switch path {
	case "/-/log-append":
		if faults.Full {
			ctx.SetStatusCode(fasthttp.StatusInsufficientStorage)
			return
		}
		s.handleAppend(ctx, topicName)
		if faults.DropResponses {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}
	case "/-/log-read":
		s.handleRead(ctx, topicName)
	case "/-/log-newest":
		s.handleNewest(ctx, topicName)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// waitWhileSilent waits until the fault Silent has ended or the store is closed.
func (s *Store) waitWhileSilent() {
	for {
		s.mu.Lock()
		silent, changed := s.faults.Silent && !s.closed, s.changed
		s.mu.Unlock()
		if !silent {
			return
		}
		<-changed
	}
}

func (s *Store) handleAppend(ctx *fasthttp.RequestCtx, topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	if at := ctx.QueryArgs().Peek("at"); len(at) > 0 && string(at) != strconv.FormatInt(t.end(), 10) {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		writeJSON(ctx, map[string]int64{"end-offset": t.end()})
		return
	}
	first := t.end()
	for body := ctx.PostBody(); len(body) > 4; {
		length := int(binary.BigEndian.Uint32(body))
		raw := body[4 : 4+length]
		body = body[4+length:]
		end := 1 + int(raw[0])
		var value []byte
		if end < len(raw) {
			value = raw[end:]
		}
		t.append(string(raw[1:end]), value)
	}
	s.notify()
	writeJSON(ctx, map[string]int64{"offset": first, "end-offset": t.end()})
}

func (s *Store) handleRead(ctx *fasthttp.RequestCtx, topicName string) {
	from, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := min(maxWait, time.Duration(ctx.QueryArgs().GetUintOrZero("wait-ms"))*time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		t, changed := s.topic(topicName), s.changed
		if s.era != era {
			s.mu.Unlock()
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
			return
		}
		done := s.closed || wait == 0 || from != t.end() || s.faults.Down || s.faults.Silent || s.faults.Reset
		if done {
			writeRecords(ctx, t, from)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		}
	}
}

func writeRecords(ctx *fasthttp.RequestCtx, t *topic, from int64) {
	if from < t.first || from > t.end() {
		ctx.SetStatusCode(fasthttp.StatusGone)
		writeJSON(ctx, map[string]int64{"first": t.first})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, r := range t.records[from:] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(r.key)+len(r.value)))
		body = append(body, byte(len(r.key)))
		body = append(append(body, r.key...), r.value...)
	}
	ctx.SetBody(body)
}

func (s *Store) handleNewest(ctx *fasthttp.RequestCtx, topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	after := string(ctx.QueryArgs().Peek("after"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if after != "" && key <= after {
			continue
		}
		if len(items) == maxPage {
			more = true
			break
		}
		r := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(r.value), r.offset})
	}
	writeJSON(ctx, map[string]any{"items": items, "has-more": more, "end-offset": t.end()})
}

func writeJSON(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
