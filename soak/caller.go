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
)

// requestResult is the result of one request as the caller saw it.
type requestResult struct {
	id            string
	tenant        string // that the target must get
	notIdempotent bool
	instance      *instance
	pid           int // process of the instance when the request was sent
	sent          time.Time
	status        int // 0 without a complete response
	body          string
	notSent       bool // the connection could not be opened or the write failed
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
		report(c.send(n, c.addrs[c.random.IntN(len(c.addrs))]))
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

func (c *caller) send(n int, address string) requestResult {
	r := requestResult{id: fmt.Sprintf("c%d-%d", c.number, n), notIdempotent: c.random.IntN(2) == 0, sent: time.Now()}
	for _, in := range c.env.instances {
		if in.address(callerPort) == address {
			r.instance = in
			r.pid, _ = in.running()
		}
	}
	current := c.conns[address]
	if current == nil {
		raw, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // The call has a timeout.
		if err != nil {
			r.notSent = true
			return r
		}
		current = &conn{raw, bufio.NewReader(raw)}
		c.conns[address] = current
	}
	key, tenant := c.authorize(n)
	r.tenant = tenant
	if err := c.roundTrip(current, &r, key); err != nil {
		_ = current.Close()
		delete(c.conns, address)
	}
	return r
}

func (c *caller) roundTrip(current *conn, r *requestResult, key string) error {
	path := "/safe/"
	if r.notIdempotent {
		path = "/once/"
	}
	authorization := ""
	if key != "" {
		authorization = "Authorization: Token " + key + "\r\n"
	}
	request := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, authorization, standin.HeaderRequestID, r.id, standin.HeaderDeadline, callTimeout.Milliseconds()/2, standin.HeaderWork, workMS, len(r.id), r.id)
	if err := current.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	if _, err := current.Write([]byte(request)); err != nil {
		r.notSent = true
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.Read(current.reader); err != nil {
		return err
	}
	r.status, r.body = resp.StatusCode(), string(resp.Body())
	if resp.ConnectionClose() {
		return errors.New("instance closes the connection")
	}
	return nil
}

// bodyMatches reports whether the body is the target's complete response to
// this request.
func (r requestResult) bodyMatches() bool {
	return strings.HasSuffix(r.body, " "+r.id+"\n"+r.id)
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
