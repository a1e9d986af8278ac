package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/standin"
)

const (
	host = "soak.example"
	// callTimeout limits a request. The deadline in its header is half of it.
	callTimeout = 4 * time.Second
	// workMS is the time in milliseconds that a target works on a request.
	workMS = 15
	// entryTTL is how long a caller caches an entry response.
	entryTTL = 2 * time.Second
	// pipeliningInterval is the number of callers of which one sends pipelinedRequests
	// without waiting for the responses.
	pipeliningInterval = 3
	pipelinedRequests  = 4
)

// requestResult is the result of one request as the caller saw it.
type requestResult struct {
	id            string
	key           string // empty for none
	tenant        string // that the target must get
	sentBody      string
	notIdempotent bool
	instance      *instance
	pid           int // process of the instance when the request was sent
	sent          time.Time
	status        int // 0 without a complete response
	body          string
	notSent       bool // the connection could not be opened or the write failed
	behindClose   bool // sent behind a response that closes the connection: it must not run
}

// caller sends requests as the platform's callers do. It queries an instance
// for addresses, caches the response and reuses each connection until the
// instance closes it or an error occurs.
type caller struct {
	env      *environment
	number   int
	random   *rand.Rand
	conns    map[string]*conn
	addrs    []string
	cachedAt time.Time
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *caller) run(end time.Time, report func(requestResult)) {
	for n := 0; time.Now().Before(end); n++ {
		c.queryEntry()
		if len(c.addrs) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for _, r := range c.send(n, c.addrs[c.random.IntN(len(c.addrs))]) {
			report(r)
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
	for _, current := range c.conns {
		_ = current.Close()
	}
}

// queryEntry queries a random instance for addresses when the cached entry
// response has expired.
func (c *caller) queryEntry() {
	if time.Since(c.cachedAt) < entryTTL && len(c.addrs) > 0 {
		return
	}
	in := c.env.instances[c.random.IntN(len(c.env.instances))]
	status, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s%s?name=%s&region=r&zone=%s", in.address(entryPort), standin.EntryPath, host, in.zone), time.Second)
	var response struct {
		Addrs []string `json:"addrs"`
	}
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &response) != nil || len(response.Addrs) == 0 {
		return
	}
	c.addrs, c.cachedAt = response.Addrs, time.Now()
}

// send sends the next requests on one connection: a single one, or pipelined ones.
func (c *caller) send(n int, address string) []requestResult {
	results := c.nextRequests(n)
	for i := range results {
		c.setInstance(&results[i], address)
	}
	current := c.conns[address]
	if current == nil {
		raw, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // The call has a timeout.
		if err != nil {
			for i := range results {
				results[i].notSent = true
			}
			return results
		}
		current = &conn{raw, bufio.NewReader(raw)}
		c.conns[address] = current
	}
	if err := c.exchange(current, results); err != nil {
		_ = current.Close()
		delete(c.conns, address)
	}
	return results
}

// nextRequests returns the requests that are sent next. Every pipeliningInterval-th caller
// pipelines idempotent ones without a body.
func (c *caller) nextRequests(n int) []requestResult {
	key, tenant := c.authorize(n)
	if c.number%pipeliningInterval != pipeliningInterval-1 {
		id := fmt.Sprintf("c%d-%d", c.number, n)
		return []requestResult{{id: id, key: key, tenant: tenant, notIdempotent: c.random.IntN(2) == 0, sentBody: id, sent: time.Now()}}
	}
	results := make([]requestResult, pipelinedRequests)
	for i := range results {
		results[i] = requestResult{id: fmt.Sprintf("c%d-%d-%d", c.number, n, i), key: key, tenant: tenant, sent: time.Now()}
	}
	return results
}

func (c *caller) setInstance(r *requestResult, address string) {
	for _, in := range c.env.instances {
		if in.address(callerPort) == address {
			r.instance = in
			r.pid, _ = in.running()
		}
	}
}

// exchange sends the requests and receives the responses, until one of them fails or closes
// the connection.
func (c *caller) exchange(current *conn, results []requestResult) error {
	if err := current.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	for i := range results {
		if _, err := current.Write(results[i].bytes()); err != nil {
			for k := range results[i:] {
				results[i+k].notSent = true
			}
			return err
		}
	}
	for i := range results {
		if err := results[i].receive(current); err != nil {
			markBehindClose(results[i+1:], err)
			return err
		}
	}
	return nil
}

// errCloses means that a response closes the connection.
var errCloses = errors.New("instance closes the connection")

// markBehindClose marks requests that were sent behind a response that closes the connection.
func markBehindClose(results []requestResult, err error) {
	for i := range results {
		results[i].behindClose = errors.Is(err, errCloses)
	}
}

// bytes returns the request.
func (r *requestResult) bytes() []byte {
	method, path := fasthttp.MethodPost, "/safe/"
	if r.notIdempotent {
		path = "/once/"
	}
	if r.sentBody == "" {
		method = fasthttp.MethodGet
	}
	authorization := ""
	if r.key != "" {
		authorization = "Authorization: Token " + r.key + "\r\n"
	}
	return fmt.Appendf(nil, "%s %sx HTTP/1.1\r\nHost: %s\r\n%s%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, authorization, standin.HeaderRequestID, r.id, standin.HeaderDeadline, callTimeout.Milliseconds()/2, standin.HeaderWork, workMS,
		len(r.sentBody), r.sentBody)
}

// receive receives the response. It returns an error if the connection must not be used
// any more.
func (r *requestResult) receive(current *conn) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.Read(current.reader); err != nil {
		return err
	}
	r.status, r.body = resp.StatusCode(), string(resp.Body())
	if resp.ConnectionClose() {
		return errCloses
	}
	return nil
}

// bodyMatches reports whether the body is the target's complete response to
// this request.
func (r requestResult) bodyMatches() bool {
	return strings.HasSuffix(r.body, " "+r.id+"\n"+r.sentBody)
}

// resultLog collects the results of all callers.
type resultLog struct {
	mu  sync.Mutex
	all []requestResult
}

func (r *resultLog) add(res requestResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, res)
}
