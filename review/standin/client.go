package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var nextID atomic.Int64

func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<12|uint64(nextID.Add(1)&0xfff))
}

// answer is what a client has seen of one request.
type answer struct {
	ID         string
	Sent, Done time.Time
	Status     int
	Seal       string
	BodyBytes  int
	Expected   int64
	Digest     string
	Err        error
	RetryAfter string
	EchoedID   string
}

// exchange sends a request on an open connection and reads the answer until the
// deadline.
func exchange(conn net.Conn, reader *bufio.Reader, id, method, path string, deadline time.Duration, body []byte) answer {
	a := answer{ID: id, Sent: time.Now()}
	_ = conn.SetDeadline(a.Sent.Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerID, id, headerDeadline, deadline.Milliseconds())
	if len(body) > 0 || method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		a.Err, a.Done = err, time.Now()
		return a
	}
	return readAnswer(a, reader, method)
}

func readAnswer(a answer, reader *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.Err, a.Done = err, time.Now()
		return a
	}
	a.Status, a.Seal, a.Expected = resp.StatusCode, resp.Header.Get(headerSeal), resp.ContentLength
	a.RetryAfter, a.EchoedID = resp.Header.Get("Retry-After"), resp.Header.Get(headerID)
	got, err := io.ReadAll(resp.Body)
	a.BodyBytes, a.Digest, a.Err, a.Done = len(got), digest(got), err, time.Now()
	return a
}
