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
	host          = "soak.example"
	callTimeout   = 4 * time.Second
	workMS        = 15
	entryInterval = 2 * time.Second
)

// call is what a caller saw of one request.
type call struct {
	id       string
	once     bool
	instance *instance
	pid      int
	sent     time.Time
	status   int // 0 without a whole answer
	body     string
	unasked  bool // the connection ended before anything was answered
}

// caller sends requests as a caller of the platform does: it asks an instance
// where to connect, keeps the answer and its connections, and goes on using them
// until they end.
type caller struct {
	world  *world
	number int
	random *rand.Rand
	conns  map[string]*conn
	addrs  []string
	asked  time.Time
}

type conn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *caller) run(end time.Time, report func(call)) {
	for n := 0; time.Now().Before(end); n++ {
		c.resolve()
		if len(c.addrs) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		report(c.send(n, c.addrs[c.random.IntN(len(c.addrs))]))
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
	for _, open := range c.conns {
		_ = open.Close()
	}
}

// resolve asks an instance for addresses when the last answer is old.
func (c *caller) resolve() {
	if time.Since(c.asked) < entryInterval && len(c.addrs) > 0 {
		return
	}
	in := c.world.instances[c.random.IntN(len(c.world.instances))]
	status, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s%s?name=%s&region=r&zone=%s", in.address(entryPort), standin.EntryPath, host, in.zone), time.Second)
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &answer) != nil || len(answer.Addrs) == 0 {
		return
	}
	c.addrs, c.asked = answer.Addrs, time.Now()
}

func (c *caller) send(n int, address string) call {
	r := call{id: fmt.Sprintf("c%d-%d", c.number, n), once: c.random.IntN(2) == 0, sent: time.Now()}
	for _, in := range c.world.instances {
		if in.address(callerPort) == address {
			r.instance = in
			r.pid, _ = in.running()
		}
	}
	open := c.conns[address]
	if open == nil {
		raw, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // The timeout bounds it.
		if err != nil {
			r.unasked = true
			return r
		}
		open = &conn{raw, bufio.NewReader(raw)}
		c.conns[address] = open
	}
	if err := c.exchange(open, &r); err != nil {
		_ = open.Close()
		delete(c.conns, address)
	}
	return r
}

func (c *caller) exchange(open *conn, r *call) error {
	path := "/safe/"
	if r.once {
		path = "/once/"
	}
	request := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, standin.HeaderAttempt, r.id, standin.HeaderDeadline, callTimeout.Milliseconds()/2, standin.HeaderWork, workMS, len(r.id), r.id)
	if err := open.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	if _, err := open.Write([]byte(request)); err != nil {
		r.unasked = true
		return err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.Read(open.reader); err != nil {
		return err
	}
	r.status, r.body = resp.StatusCode(), string(resp.Body())
	if resp.ConnectionClose() {
		return errors.New("instance closes the connection")
	}
	return nil
}

// own returns whether the body is the target's whole answer to the request.
func (r call) own() bool {
	return strings.HasSuffix(r.body, " "+r.id+"\n"+r.id)
}

// record collects what the callers saw.
type record struct {
	mu    sync.Mutex
	calls []call
}

func (r *record) add(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}
