package loadtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/header"
	"rhubarbrelay/standin"
)

const (
	callerDialTimeout = 500 * time.Millisecond
	callerMaxConns    = 20000
	callerMaxTries    = 4
	callerIdleTime    = 2 * time.Second
	// deadlineMargin is how much longer than its deadline a caller waits, so
	// that the instance's own answer arrives.
	deadlineMargin = 500 * time.Millisecond
	entryRetryWait = 20 * time.Millisecond
)

var errNoEntry = errors.New("no instance answers the entry lookup")

// entryMessage is the entry answer on the wire.
type entryMessage struct {
	TTLMS     int64 `json:"ttl_ms"`
	Addresses []struct {
		Address   string `json:"address"`
		KeyPrefix string `json:"key_prefix"`
	} `json:"addresses"`
}

// entryAddress is one address that the entry answer names.
type entryAddress struct {
	address   netip.AddrPort
	keyPrefix string
}

// Caller behaves as a caller in one zone: it asks which instances to use,
// keeps the answer for its time to live, and repeats a request through another
// instance only where that cannot run it twice.
type Caller struct {
	service string
	zone    string
	seeds   []netip.AddrPort
	// direct makes the caller send to the seeds in turn, which are targets.
	direct bool
	next   atomic.Uint64

	mu        sync.Mutex
	addresses []entryAddress
	expires   time.Time
	clients   map[netip.AddrPort]*fasthttp.HostClient
}

// NewCaller returns a caller of the service that knows the seed addresses of
// some instances.
func NewCaller(service, zone string, seeds []netip.AddrPort) *Caller {
	return &Caller{service: service, zone: zone, seeds: seeds, clients: map[netip.AddrPort]*fasthttp.HostClient{}}
}

// NewDirectCaller returns a caller that sends its requests to the targets in
// turn, without rhubarbrelay, for the comparison of latencies.
func NewDirectCaller(service string, targets []netip.AddrPort) *Caller {
	c := NewCaller(service, "", targets)
	c.direct = true
	return c
}

// Answer is what a caller got for one request.
type Answer struct {
	// Outcome is run, not_run or unknown.
	Outcome string
	Status  int
	Reason  string
	Body    []byte
	// Tries counts the requests that the caller sent.
	Tries int
}

// Send sends the request and repeats it where that is safe.
func (c *Caller) Send(p *Profile, r Request, body []byte) Answer {
	addresses, err := c.entry()
	if err != nil {
		return Answer{Outcome: header.OutcomeNotRun, Reason: err.Error()}
	}
	key := ""
	if r.Write && p.Keyed {
		key = addresses[0].keyPrefix + "~" + strconv.FormatInt(time.Now().UnixMilli(), 10) + "~" + r.ID
	}
	deadline := time.Now().Add(p.Deadline)
	answer := Answer{Outcome: header.OutcomeNotRun}
	for try := range callerMaxTries {
		address := addresses[try%len(addresses)].address
		next, repeat := c.try(address, r, key, body, deadline)
		// Only an instance can say of a key that it was not run; a refusal of a
		// request without one, or a failed dial, speaks of this try alone.
		ofThisTry := key == "" || next.Status == 0
		if answer.Outcome == header.OutcomeUnknown && next.Outcome == header.OutcomeNotRun && ofThisTry {
			next.Outcome = header.OutcomeUnknown
		}
		answer = next
		answer.Tries = try + 1
		if !repeat || time.Now().After(deadline) {
			return answer
		}
		c.forget()
	}
	return answer
}

// try sends the request once. It returns whether the caller may repeat it.
func (c *Caller) try(address netip.AddrPort, r Request, key string, body []byte, deadline time.Time) (Answer, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, address, r, key, body, deadline)
	err := c.client(address).DoDeadline(req, resp, deadline.Add(deadlineMargin))
	if errors.Is(err, errDial) {
		return Answer{Outcome: header.OutcomeNotRun, Reason: err.Error()}, true
	}
	if err != nil {
		return Answer{Outcome: header.OutcomeUnknown, Reason: err.Error()}, !r.Write || key != ""
	}
	outcome := string(resp.Header.Peek(header.Outcome))
	if c.direct {
		outcome = header.OutcomeRun
	}
	return Answer{
		Outcome: outcome,
		Status:  resp.StatusCode(),
		Reason:  string(resp.Header.Peek(header.Reason)),
		Body:    append([]byte(nil), resp.Body()...),
	}, false
}

func (c *Caller) fill(req *fasthttp.Request, address netip.AddrPort, r Request, key string, body []byte, deadline time.Time) {
	req.SetRequestURI("http://" + address.String() + pathOf(r))
	req.Header.SetMethod(fasthttp.MethodGet)
	if r.Write {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyRaw(body)
	}
	req.Header.Set(header.Service, c.service)
	req.Header.Set(header.RequestID, r.ID)
	req.Header.Set(header.Deadline, time.Until(deadline).Round(time.Millisecond).String())
	req.Header.Set(standin.WorkHeader, r.Work.String())
	if key != "" {
		req.Header.Set(header.IdempotencyKey, key)
	}
}

// pathOf returns the path of a request: long work has routes of its own.
func pathOf(r Request) string {
	switch {
	case r.Write && r.Long:
		return "/bulk-orders/" + r.ID
	case r.Write:
		return "/orders/" + r.ID
	case r.Long:
		return "/renders/" + r.ID
	default:
		return "/stock/" + r.ID
	}
}

var errDial = errors.New("cannot connect")

func (c *Caller) client(address netip.AddrPort) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.clients[address]; ok {
		return client
	}
	client := &fasthttp.HostClient{
		Addr:                      address.String(),
		MaxConns:                  callerMaxConns,
		MaxIdleConnDuration:       callerIdleTime,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      dialCaller,
	}
	c.clients[address] = client
	return client
}

// entry returns the addresses to use, asking again when the kept answer is
// too old.
func (c *Caller) entry() ([]entryAddress, error) {
	if c.direct {
		target := c.seeds[c.next.Add(1)%uint64(len(c.seeds))]
		return []entryAddress{{address: target}}, nil
	}
	c.mu.Lock()
	if time.Now().Before(c.expires) && len(c.addresses) > 0 {
		defer c.mu.Unlock()
		return c.addresses, nil
	}
	known := c.seeds
	for _, a := range c.addresses {
		known = append([]netip.AddrPort{a.address}, known...)
	}
	c.mu.Unlock()
	for _, address := range known {
		if found, ttl, err := c.lookup(address); err == nil && len(found) > 0 {
			c.mu.Lock()
			c.addresses, c.expires = found, time.Now().Add(ttl)
			c.mu.Unlock()
			return found, nil
		}
	}
	return nil, errNoEntry
}

// forget makes the next request ask for addresses again.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Caller) lookup(address netip.AddrPort) ([]entryAddress, time.Duration, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address.String() + header.EntryPath + "?service=" + c.service + "&zone=" + c.zone)
	if err := c.client(address).DoTimeout(req, resp, callerDialTimeout); err != nil {
		time.Sleep(entryRetryWait)
		return nil, 0, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, 0, fmt.Errorf("%w: status %d", errNoEntry, resp.StatusCode())
	}
	return decodeEntry(resp.Body())
}

func decodeEntry(body []byte) ([]entryAddress, time.Duration, error) {
	var m entryMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, 0, err
	}
	found := make([]entryAddress, 0, len(m.Addresses))
	for _, a := range m.Addresses {
		address, err := netip.ParseAddrPort(a.Address)
		if err != nil {
			return nil, 0, err
		}
		found = append(found, entryAddress{address: address, keyPrefix: a.KeyPrefix})
	}
	return found, time.Duration(m.TTLMS) * time.Millisecond, nil
}
