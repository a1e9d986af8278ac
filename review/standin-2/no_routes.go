package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// noRoutes removes the routes of a configuration: first one of two, then the other one. Later
// than config-apply-ms after the acknowledgement, no request may run on a dropped route.
func noRoutes(r *report, s *system) error {
	var mu sync.Mutex
	runs := map[string]string{}
	err := s.startServers(6, "finishing", 20*time.Millisecond, func(server, id string, _ http.Header) {
		mu.Lock()
		defer mu.Unlock()
		runs[id] = server
	})
	if err != nil {
		return err
	}
	for _, zone := range zones {
		s.addNode(zone)
	}
	routes := []route{{"settle-pay", "unsafe", "/pay/", "finishing", 1000, 0}, {"sched-view", "safe", "/sched/", "finishing", 1000, 0}}
	s.publish(routes...)
	r.log("version 1 has the routes /pay/ and /sched/")
	if err := s.start(); err != nil {
		return err
	}
	kept, acknowledged, served := 2, time.Now(), 0
	for begin, n := time.Now(), 0; time.Since(begin) < 18*time.Second; n++ {
		if left := 2 - int(time.Since(begin)/(6*time.Second)); r.trouble && left < kept {
			kept, acknowledged = left, s.publish(routes[:left]...)
			r.log("a version with %d routes is acknowledged", left)
		}
		for i, at := range routes {
			id := fmt.Sprintf("%s-%d", at.name, n)
			node := s.nodes[n%len(s.nodes)]
			late := time.Since(acknowledged) > applyTime
			status, err := request(node, id, at.prefix)
			mu.Lock()
			server, ran := runs[id]
			mu.Unlock()
			r.log("%s at %s: status %d, %v, ran at %q", id, node.name, status, err, server)
			switch {
			case ran && late && i >= kept:
				r.breakRule("CONFIG: %s runs at %s on a dropped route, %s after the acknowledgement", id, server, time.Since(acknowledged).Round(time.Millisecond))
			case ran:
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if served < 20 {
		return fmt.Errorf("only %d requests have run", served)
	}
	return nil
}

// request sends a request on a new connection.
func request(n *node, id, prefix string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", n.at(portFront), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "PUT %sa HTTP/1.1\r\nHost: %s\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody", prefix, host, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
