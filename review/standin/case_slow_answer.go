package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-answer"] = slowAnswer }

const (
	answerSize   = 8 << 20 // bytes, half of the largest answer that the program passes on
	linkRate     = 8 << 20 // bytes per second, 67 Mbit/s
	holdDeadline = 4 * time.Second
	holdTimeout  = 2 * time.Second
	grace        = 6 * time.Second
	clients      = 4
)

// slowAnswer stops a machine with SIGTERM while answers are on their way to clients
// behind a link of limited bandwidth.
func slowAnswer(root string, rec *recorder, trouble bool) int {
	big := make([]byte, answerSize)
	for i := range big {
		big[i] = byte(i * 7)
	}
	d, err := newDeployment(root, rec, layout{
		zones: []string{"mid-a", "mid-b", "mid-c"}, instancesInZone: 1, servers: map[string]int{"spoolkeep": 6}, slots: 4,
		work:   func(*http.Request) time.Duration { return 180 * time.Millisecond },
		answer: func(*http.Request) []byte { return big },
		routes: []route{{name: "spool-hold", kind: "unsafe", prefix: "/spool/", service: "spoolkeep", objectiveMS: 500, timeoutMS: int(holdTimeout.Milliseconds()), attempts: 2, priority: 1}},
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		rec.printf("cannot start: %v", err)
		return failed
	}
	machine := d.instances[0]
	k, err := newLink(machine.front(), linkRate)
	if err != nil {
		return failed
	}
	defer k.close()
	time.Sleep(2 * time.Second)
	stop := time.Now()
	if trouble {
		machine.signal(syscall.SIGTERM)
		rec.printf("SIGTERM to %s", machine.id)
	}
	// The clients hold an entry response that names the machine, and may for seconds.
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut, complete, otherwise := 0, 0, 0
	for i := range clients {
		at := stop.Add(2300*time.Millisecond + time.Duration(i)*150*time.Millisecond)
		wait.Go(func() {
			time.Sleep(time.Until(at))
			conn, err := net.Dial("tcp", k.address())
			if err != nil {
				rec.printf("client %d cannot connect: %v", i, err)
				return
			}
			defer conn.Close()
			a := exchange(conn, bufio.NewReader(conn), newID(), http.MethodPost, "/spool/hold", holdDeadline, []byte("12 spools"))
			ran := d.runs.of(a.ID)
			rec.printf("client %d id %s sent %s done %s status %d seal %q body %d of %d error %v; runs %d, run at %s, answered at %s", i, a.ID,
				rec.at(a.Sent), rec.at(a.Done), a.Status, a.Seal, a.BodyBytes, a.Expected, a.Err, len(ran), rec.at(firstRun(ran).At), rec.at(firstRun(ran).Answered))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Err == nil && a.Status == http.StatusOK && a.Digest == firstRun(ran).Answer:
				complete++
			case trouble && lostToStop(a, ran, stop):
				cut++
			default:
				otherwise++
			}
		})
	}
	wait.Wait()
	if trouble {
		select {
		case <-machine.exited:
			rec.printf("%s ended %.3f s after SIGTERM, of %.0f s of grace", machine.id, machine.exitedAt.Sub(stop).Seconds(), grace.Seconds())
		case <-time.After(time.Until(stop.Add(grace))):
			rec.printf("%s still runs at the end of its grace", machine.id)
		}
	}
	rec.printf("answers: %d complete, %d cut off by the stop, %d otherwise, of %d", complete, cut, otherwise, clients)
	switch {
	case cut > 0:
		return broken
	case complete == 0 || otherwise > 0:
		return failed
	}
	return held
}

func firstRun(all []run) run {
	if len(all) == 0 {
		return run{}
	}
	return all[0]
}

// lostToStop reports whether rule LOST counts the request: it was passed on to a server,
// which did not break off, its connection ended without a complete answer within the time
// after SIGTERM that the rule covers, and neither its deadline nor the timeout of its route
// was reached.
func lostToStop(a answer, ran []run, stop time.Time) bool {
	ended := a.Err != nil
	inTime := a.Done.Before(a.Sent.Add(holdTimeout)) && a.Done.Before(stop.Add(grace+time.Second))
	return ended && inTime && len(ran) > 0 && !firstRun(ran).Broken && !firstRun(ran).Answered.IsZero()
}
