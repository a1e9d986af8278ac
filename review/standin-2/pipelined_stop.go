package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// inFlight is the number of requests that a client sends before it reads the first answer.
	inFlight = 4
	// stopGap is the time between the end of one planned stop and the next one.
	stopGap = 3 * time.Second
	grace   = 6 * time.Second
)

// pipelinedStop stops and starts the three machines in turn, one at a time, while clients keep
// connections on which they send further safe requests before the first one is answered. A
// request that the machine has passed on to a server must get a complete answer.
func pipelinedStop(r *report, s *system) error {
	var mu sync.Mutex
	runs := map[string]time.Time{}
	err := s.startServers(6, "ordering", 140*time.Millisecond, func(_, id string, _ http.Header) {
		mu.Lock()
		defer mu.Unlock()
		runs[id] = time.Now()
	})
	if err != nil {
		return err
	}
	s.publish(route{"proof-view", "safe", "/proof/", "ordering", 1500, 0})
	for _, zone := range zones {
		s.addNode(zone)
	}
	if err := s.start(); err != nil {
		return err
	}
	var stopped sync.Map // times of SIGTERM by machine
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			n := s.nodes[i%3]
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				default:
				}
				cut := pipeline(r, n, fmt.Sprintf("proof-%d-%d", i, k), done)
				for _, id := range cut {
					mu.Lock()
					at, ran := runs[id]
					mu.Unlock()
					if !ran {
						r.log("%s at %s was not passed on to a server", id, n.name)
						continue
					}
					term, planned := stopped.Load(n)
					if !planned {
						r.log("%s at %s: cut without a planned stop", id, n.name)
						continue
					}
					r.breakRule("%s: passed on by %s (a server works on it from %s after SIGTERM on), its connection ends without an answer", id, n.name, at.Sub(term.(time.Time)).Round(time.Millisecond))
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for range 2 {
		for _, n := range s.nodes {
			if r.trouble {
				stopped.Store(n, time.Now())
				r.log("SIGTERM to %s", n.name)
				n.signal(syscall.SIGTERM)
				select {
				case <-n.exited:
					r.log("%s has ended", n.name)
				case <-time.After(grace):
					n.signal(syscall.SIGKILL)
					<-n.exited
					r.log("%s was killed after the grace period", n.name)
				}
				if err := n.start(false); err != nil {
					return err
				}
			}
			time.Sleep(stopGap)
			stopped.Delete(n)
		}
	}
	close(done)
	clients.Wait()
	return nil
}

// pipeline sends requests on one kept connection, up to inFlight at a time, until the machine
// closes it. It returns those that were sent completely and got no complete answer.
func pipeline(r *report, n *node, name string, done chan struct{}) (cut []string) {
	conn, err := net.DialTimeout("tcp", n.at(portFront), time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for round := 0; ; round++ {
		select {
		case <-done:
			return nil
		default:
		}
		var ids []string
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		for k := range inFlight {
			id := fmt.Sprintf("%s-%d-%d", name, round, k)
			if _, err := fmt.Fprintf(conn, "GET /proof/%d HTTP/1.1\r\nHost: %s\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Deadline-Ms: 3000\r\n\r\n", k, host, id); err != nil {
				break
			}
			ids = append(ids, id)
		}
		for i, id := range ids {
			resp, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				r.log("%s at %s: no complete answer: %v", id, n.name, err)
				return ids[i:]
			}
			if resp.Close {
				r.log("%s at %s: status %d with Connection: close; %d requests were sent behind it", id, n.name, resp.StatusCode, len(ids)-i-1)
				// The connection is read to its end, in case more answers follow.
			}
		}
	}
}
