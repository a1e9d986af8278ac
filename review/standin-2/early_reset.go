package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// brokenShare is the largest share of its answers within the disruption that a faulty
	// server breaks off.
	brokenShare = 0.02
	// disruptionAt and disruptionTime are the begin and the length of the disruption.
	disruptionAt   = 4 * time.Second
	disruptionTime = 5500 * time.Millisecond
	// longBody is the size of the body of a long request in bytes, partRead the part that a
	// server has read of it when it answers.
	longBody = 16 << 20
	partRead = 64 << 10
	// answerBytes is the size of an answer to a long request in bytes, answerPart that of the
	// part that was sent when the answer is broken off.
	answerBytes = 12000
	answerPart  = 7000
)

// uploadServer is a server that answers long requests before it has read all of the body,
// without a length. A faulty one resets the connection in the middle of a few of these answers.
type uploadServer struct {
	id     string
	faulty bool
	r      *report

	mu         sync.Mutex
	from, to   time.Time // of the disruption
	answers    int       // within the disruption
	brokenOffs int
}

// countAnswer counts an answer and reports whether it is within the disruption.
func (v *uploadServer) countAnswer() bool {
	now := time.Now()
	disrupted := v.faulty && now.After(v.from) && now.Before(v.to)
	if disrupted {
		v.answers++
	}
	return disrupted
}

// breaksOff reports whether the next answer is broken off.
func (v *uploadServer) breaksOff() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.countAnswer() || float64(v.brokenOffs+1) > brokenShare*float64(v.answers) {
		return false
	}
	v.brokenOffs++
	return true
}

func (v *uploadServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(partRead)
		go v.serveConn(conn.(*net.TCPConn))
	}
}

func (v *uploadServer) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("Rhubarbrelay-Attempt-Id")
		switch {
		case req.URL.Path == "/healthz":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRhubarbrelay-Instance-Id: %s\r\nRhubarbrelay-Server-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n", v.id)
		case req.Header.Get("Rhubarbrelay-Expect-Instance") != v.id:
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRhubarbrelay-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", v.id)
		case req.ContentLength < longBody:
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			v.mu.Lock()
			v.countAnswer()
			v.mu.Unlock()
			body := wholeAnswer(id, 400)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", answerHeader(id, v.id), len(body), body)
		default:
			v.answerLong(conn, req, id)
			return
		}
	}
}

// answerLong answers a long request and ends the connection.
func (v *uploadServer) answerLong(conn *net.TCPConn, req *http.Request, id string) {
	if _, err := io.CopyN(io.Discard, req.Body, partRead); err != nil {
		return
	}
	breaksOff := v.breaksOff()
	v.r.log("server %s runs %s, and answers 200 without a length, breaks off: %v", v.id, id, breaksOff)
	time.Sleep(50 * time.Millisecond)
	body := wholeAnswer(id, answerBytes)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", answerHeader(id, v.id), body[:answerPart]); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	if breaksOff {
		_ = conn.SetLinger(0) // the close resets the connection
		v.r.log("server %s resets the connection after %d of %d bytes of the answer to %s", v.id, answerPart, answerBytes, id)
		return
	}
	_, _ = io.WriteString(conn, body[answerPart:])
	_, _ = io.Copy(io.Discard, req.Body)
}

func answerHeader(id, server string) string {
	return fmt.Sprintf("Rhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Response-Seal: %s.%s\r\nRhubarbrelay-Server-Load: 0,0,6,100\r\n", id, server, id)
}

// wholeAnswer returns the body of the answer to a request.
func wholeAnswer(id string, size int) string { return strings.Repeat(id+" ", size/len(id)+1)[:size] }

// earlyReset sends short and long requests that must run once, for 16 seconds. A client must
// not get a success whose body is not the whole body of the server.
func earlyReset(r *report, s *system) error {
	var servers []*uploadServer
	for i := range 6 {
		l, address, err := s.listen(i)
		if err != nil {
			return err
		}
		v := &uploadServer{id: fmt.Sprintf("i-%04d", i), faulty: r.trouble && i%2 == 0, r: r}
		servers = append(servers, v)
		go v.serve(l)
		s.register(v.id, "finishing", zones[i%3], address, 6)
	}
	s.publish(route{"settle-pay", "unsafe", "/pay/", "finishing", 2000, 0})
	for _, zone := range zones {
		s.addNode(zone)
	}
	if err := s.start(); err != nil {
		return err
	}
	begin := time.Now()
	end := begin.Add(16 * time.Second)
	for _, v := range servers {
		v.mu.Lock()
		v.from, v.to = begin.Add(disruptionAt), begin.Add(disruptionAt+disruptionTime)
		v.mu.Unlock()
	}
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("short-%d-%d", i, n)
				s.checkUpload(r, s.nodes[n%3], id, 400, 1200)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	long := 0
	for ; time.Now().Before(end); long++ {
		s.checkUpload(r, s.nodes[long%3], "long-"+strconv.Itoa(long), answerBytes, longBody)
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	for _, v := range servers {
		r.log("server %s, faulty %v: %d answers within the disruption, %d broken off", v.id, v.faulty, v.answers, v.brokenOffs)
	}
	if long < 20 {
		return fmt.Errorf("only %d long requests", long)
	}
	return nil
}

// checkUpload sends a request on a new connection and checks a success.
func (s *system) checkUpload(r *report, n *node, id string, answer, size int) {
	conn, err := net.DialTimeout("tcp", n.at(portFront), time.Second)
	if err != nil {
		r.log("%s: no connection: %v", id, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	go func() {
		fmt.Fprintf(conn, "PUT /pay/a HTTP/1.1\r\nHost: %s\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", host, id, size)
		_, _ = io.WriteString(conn, strings.Repeat("b", size))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.log("%s at %s: no answer: %v", id, n.name, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	complete, seal := err == nil, resp.Header.Get("Rhubarbrelay-Response-Seal")
	if size >= longBody || resp.StatusCode != http.StatusOK {
		r.log("%s at %s: the client gets %d, %d bytes, complete: %v, seal %q", id, n.name, resp.StatusCode, len(body), complete, seal)
	}
	if resp.StatusCode == http.StatusOK && complete && string(body) != wholeAnswer(id, answer) {
		r.breakRule("%s: a success with %d bytes of %d", id, len(body), answer)
	}
}
