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
	sent, lost := 0, 0
	for i := range 200 {
		wait.Go(func() {
			entry := newDirectory(d, []string{"mid-a", "mid-b", "mid-c"}[i%3], i%3 == 0)
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(600*time.Millisecond)))
				address := entry.address()
				a, whole := sendSlowly(address)
				ran := d.runs.of(a.ID)
				mu.Lock()
				sent++
				if whole && a.Err != nil && len(ran) > 0 && a.Done.Before(a.Sent.Add(holdTimeout)) {
					lost++
					rec.printf("LOST id %s on %s: last byte sent %s, run at %s, connection ended %s: %v", a.ID, address, rec.at(a.Sent), rec.at(firstRun(ran).At), rec.at(a.Done), a.Err)
				}
				mu.Unlock()
			}
		})
	}
	for i := 0; trouble && time.Now().Before(end.Add(-rollGap)); i++ {
		machine := d.instances[i%len(d.instances)]
		wait.Go(func() {
			at := time.Now()
			machine.signal(syscall.SIGTERM)
			<-machine.exited
			rec.printf("SIGTERM to %s at %s, ended after %.3f s", machine.id, rec.at(at), machine.exitedAt.Sub(at).Seconds())
			_ = machine.start(root, d.folder)
		})
		time.Sleep(rollGap)
	}
	wait.Wait()
	close(stop)
	rec.printf("requests %d, run and cut off %d", sent, lost)
	if lost > 0 {
		return broken
	}
	return held
}

// sendSlowly sends a request on a new connection, the end of its head some time after the
// beginning. whole reports whether all of it was sent; Sent is when.
func sendSlowly(address string) (a answer, whole bool) {
	a = answer{ID: newID()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.Err = err
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
		a.Err = err
		return a, false
	}
	return readAnswer(a, bufio.NewReader(conn), http.MethodPost), true
}
