package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-heads"] = slowHeads }

const (
	rollLength = 60 * time.Second
	rollGap    = 1300 * time.Millisecond
	// minHeadTime and maxHeadTime are how long clients on slow links take to send a
	// request head; header-timeout-ms allows 3 s.
	minHeadTime = 100 * time.Millisecond
	maxHeadTime = 500 * time.Millisecond
)

// slowHeads stops the machines in turn with SIGTERM while clients on slow links send
// requests on new connections.
func slowHeads(root string, rec *recorder, trouble bool) int {
	d, err := newDeployment(root, rec, layout{
		zones: []string{"mid-a", "mid-b", "mid-c"}, instancesInZone: 3, servers: map[string]int{"spoolkeep": 28}, slots: 4,
		work:   func(*http.Request) time.Duration { return 180 * time.Millisecond },
		answer: func(*http.Request) []byte { return []byte("held") },
		routes: []route{{name: "spool-hold", kind: "unsafe", prefix: "/spool/", service: "spoolkeep", objectiveMS: 500, timeoutMS: int(holdTimeout.Milliseconds()), attempts: 2, priority: 1}},
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		rec.printf("cannot start: %v", err)
		return failed
	}
	stop := make(chan struct{})
	d.watchReadiness(stop)
	time.Sleep(2 * time.Second)
	end := time.Now().Add(rollLength)
	var wait sync.WaitGroup
	var mu sync.Mutex
	served, lost, otherwise := 0, 0, 0
	var stops stopTimes
	for i := range 200 {
		wait.Go(func() {
			entry := newDirectory(d, []string{"mid-a", "mid-b", "mid-c"}[i%3], i%3 == 0)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(600*time.Millisecond)))
				address := entry.address()
				a, whole := sendSlowly(address)
				ran := d.runs.of(a.ID)
				stopped := stops.of(address)
				verdict := "answered"
				mu.Lock()
				switch {
				case a.Err == nil && a.Status == http.StatusOK:
					served++
				case a.Err == nil:
					verdict = "refused or failed"
				case !whole || len(ran) == 0:
					verdict = "not sent or not run"
				case isLost(a, stopped):
					lost++
					verdict = "LOST"
				default:
					otherwise++
					verdict = "cut off, but not by a stop"
				}
				mu.Unlock()
				rec.printf("id %s to %s: sent %s, runs %d, run at %s, status %d, ended %s, error %v, SIGTERM of the machine %s: %s", a.ID, address,
					rec.at(a.Sent), len(ran), rec.at(firstRun(ran).At), a.Status, rec.at(a.Done), a.Err, rec.at(stopped), verdict)
			}
		})
	}
	for i := 0; trouble && time.Now().Before(end.Add(-rollGap)); i++ {
		machine := d.instances[i%len(d.instances)]
		wait.Go(func() {
			at := time.Now()
			stops.record(machine.front(), at)
			machine.signal(syscall.SIGTERM)
			<-machine.exited
			rec.printf("SIGTERM to %s at %s, ended after %.3f s", machine.id, rec.at(at), machine.exitedAt.Sub(at).Seconds())
			if err := machine.start(root, d.folder); err != nil {
				rec.printf("%s cannot start again: %v", machine.id, err)
			}
		})
		time.Sleep(rollGap)
	}
	wait.Wait()
	close(stop)
	rec.printf("requests served %d, run and cut off by a stop %d, run and cut off otherwise %d", served, lost, otherwise)
	switch {
	case lost > 0:
		return broken
	case served == 0 || otherwise > 0:
		return failed
	}
	return held
}

// stopTimes holds when the machine at an address has last got a SIGTERM.
type stopTimes struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (s *stopTimes) record(address string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[string]time.Time{}
	}
	s.last[address] = at
}

func (s *stopTimes) of(address string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[address]
}

// isLost reports whether rule LOST counts a request that was sent whole, run, and not
// answered: its connection ended within the time after a SIGTERM of its machine that the rule
// covers, and neither its deadline nor the timeout of its route was reached. The servers never
// break off, and work too briefly for the excuse of the last sixth of the grace period.
func isLost(a answer, stopped time.Time) bool {
	planned := !stopped.IsZero() && a.Done.After(stopped) && a.Done.Before(stopped.Add(grace+time.Second))
	return planned && a.Done.Before(a.Sent.Add(holdTimeout))
}

// sendSlowly sends a request on a new connection, the end of its head some time after the
// beginning. whole reports whether all of it was sent; Sent is when.
func sendSlowly(address string) (a answer, whole bool) {
	a = answer{ID: newID()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.Err, a.Done = err, time.Now()
		return a, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(holdDeadline))
	const body = "12 spools"
	_, err = fmt.Fprintf(conn, "POST /spool/hold HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", host, headerID, a.ID)
	time.Sleep(minHeadTime + rand.N(maxHeadTime-minHeadTime))
	if err == nil {
		_, err = fmt.Fprintf(conn, "%s: %d\r\nContent-Length: %d\r\n\r\n%s", headerDeadline, holdDeadline.Milliseconds(), len(body), body)
	}
	a.Sent = time.Now()
	if err != nil {
		a.Err, a.Done = err, time.Now()
		return a, false
	}
	return readAnswer(a, bufio.NewReader(conn), http.MethodPost), true
}
