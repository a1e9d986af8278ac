package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// exchange is one client attempt.
type exchange struct {
	id, instance, method, path string
	sent, answered             time.Time
	status                     int // 0 without an answer
	body                       string
}

// client sends requests and keeps what became of them.
type client struct {
	rec    *record
	nextID atomic.Int64

	mu  sync.Mutex
	all []exchange
}

// send sends one request on a connection of the transport.
func (c *client) send(transport *http.Transport, in *instance, method, path, body string, deadline time.Duration) exchange {
	id := fmt.Sprintf("c%07d", c.nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, strings.NewReader(body))
	must(err)
	req.Host = "shop.example"
	req.Header.Set("Rhubarbrelay-Attempt-Id", id)
	req.Header.Set("Rhubarbrelay-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	x := exchange{id: id, instance: in.id, method: method, path: path, sent: time.Now()}
	if resp, err := transport.RoundTrip(req); err == nil {
		if text, err := io.ReadAll(resp.Body); err == nil {
			x.status, x.body = resp.StatusCode, string(text)
		}
		_ = resp.Body.Close()
	}
	x.answered = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, x)
	return x
}

func (c *client) exchanges() []exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]exchange(nil), c.all...)
}

// writeExchanges writes what was sent, answered and run to the record.
func writeExchanges(rec *record, all []exchange, ran []run) {
	byID := map[string][]run{}
	for _, r := range ran {
		byID[r.id] = append(byID[r.id], r)
	}
	for _, x := range all {
		line := fmt.Sprintf("%s %s %s sent to %s at %.3f, answered %d at %.3f", x.id, x.method, x.path, x.instance,
			x.sent.Sub(rec.start).Seconds(), x.status, x.answered.Sub(rec.start).Seconds())
		for _, r := range byID[x.id] {
			line += fmt.Sprintf("; run by %s (%s) at %.3f", r.server, r.service, r.at.Sub(rec.start).Seconds())
		}
		rec.printf("%s", line)
	}
}
