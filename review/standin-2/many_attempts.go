package main

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimit = 284 << 20 // memory-mb of the small deployments
	// maxEnds is the number of ends by itself from which a machine counts, and minMachines
	// that of such machines from which the rule is broken.
	maxEnds, minMachines = 3, 2
	// maxLost is the number of requests that a machine may lose.
	maxLost = 3
)

// manyAttempts publishes a version in which a route has no limit of attempts: the largest
// number that fits into 32 bits. The platform kills a process whose memory exceeds its limit
// and starts it again.
func manyAttempts(r *report, s *system) error {
	var mu sync.Mutex
	runs, answers, lost := map[string]bool{}, map[string]int{}, map[*node]int{}
	err := s.startServers(6, "finishing", 100*time.Millisecond, func(_, id string, _ http.Header) {
		mu.Lock()
		defer mu.Unlock()
		runs[id] = true
	})
	if err != nil {
		return err
	}
	for _, zone := range zones {
		s.addNode(zone)
	}
	s.publish(route{"settle-pay", "unsafe", "/pay/", "finishing", 1000, 2})
	if err := s.start(); err != nil {
		return err
	}
	begin := time.Now()
	end := begin.Add(30 * time.Second)
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(func() { s.enforceMemory(r, n, end) })
	}
	for i := range 12 {
		group.Go(func() {
			n := s.nodes[i%3]
			kept := &keptConnection{node: n}
			defer kept.close()
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("settle-%d-%d", i, k)
				status, sent, err := kept.request(id)
				mu.Lock()
				answers[fmt.Sprintf("%2d s on: status %d, answered %t", int(time.Since(begin).Seconds())/5*5, status, err == nil)]++
				if sent && err != nil && runs[id] && !isTimeout(err) {
					lost[n]++
					r.log("%s: passed on by %s, whose connection ends without an answer: %v", id, n.name, err)
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	if r.trouble {
		time.Sleep(5 * time.Second)
		s.publish(route{"settle-pay", "unsafe", "/pay/", "finishing", 1000, math.MaxInt32})
		r.log("version 2 is acknowledged: attempts %d", math.MaxInt32)
	}
	group.Wait()
	for _, text := range slices.Sorted(maps.Keys(answers)) {
		r.log("from %s: %d requests", text, answers[text])
	}
	mu.Lock()
	defer mu.Unlock()
	machines := 0
	for _, n := range s.nodes {
		r.log("%s: ended %d times, as its memory was over the limit; %d requests passed on and lost", n.name, n.ends, lost[n])
		if lost[n] > maxLost {
			r.breakRule("LOST: %s has closed %d kept connections on which it had passed a request on, without an answer", n.name, lost[n])
		}
		if n.ends >= maxEnds {
			machines++
		}
	}
	if machines >= minMachines {
		r.breakRule("Fault: on %d of %d machines, the process ended by itself %d times or more", machines, len(s.nodes), maxEnds)
	}
	if len(runs) < 100 {
		return fmt.Errorf("only %d requests have run", len(runs))
	}
	return nil
}

// enforceMemory kills the process of a machine when it exceeds its memory, and starts it again
// after a short delay.
func (s *system) enforceMemory(r *report, n *node, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.running() {
			used := n.memory()
			if used <= memoryLimit {
				continue
			}
			n.signal(syscall.SIGKILL)
			<-n.exited
			r.log("%s is killed by the platform: it uses %d MiB of %d MiB", n.name, used>>20, memoryLimit>>20)
		} else {
			r.log("%s has ended by itself", n.name)
		}
		n.ends++
		time.Sleep(500 * time.Millisecond)
		if err := n.start(false); err != nil {
			r.log("%s cannot be started: %v", n.name, err)
			return
		}
	}
}

// memory returns the resident memory of the process in bytes.
func (n *node) memory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb << 10
}
