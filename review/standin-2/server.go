package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// server is a sound server that answers each request after its work with the whole body.
type server struct {
	id   string
	work time.Duration
	// onRun is called when the server begins to work on a request.
	onRun func(server, id string, header http.Header)
}

func (v *server) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go v.serveConn(conn)
	}
}

func (v *server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Rhubarbrelay-Attempt-Id")
		switch {
		case req.URL.Path == "/healthz":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRhubarbrelay-Instance-Id: %s\r\nRhubarbrelay-Server-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n", v.id)
		case req.Header.Get("Rhubarbrelay-Expect-Instance") != v.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRhubarbrelay-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", v.id)
		default:
			v.onRun(v.id, id, req.Header)
			time.Sleep(v.work)
			body := wholeAnswer(id, 400)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", answerHeader(id, v.id), len(body), body)
		}
	}
}

// startServers starts sound servers of a service and registers them.
func (s *system) startServers(n int, service string, work time.Duration, onRun func(server, id string, header http.Header)) error {
	for i := range n {
		l, address, err := s.listen(i)
		if err != nil {
			return err
		}
		v := &server{id: fmt.Sprintf("i-%04d", i), work: work, onRun: onRun}
		go v.serve(l)
		s.register(v.id, service, zones[i%3], address, 6)
	}
	return nil
}
