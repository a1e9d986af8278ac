package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The quota of the tenant and its bound in a window.
const (
	perSecond   = 20.0
	quotaWindow = 5 * time.Second
	quotaBound  = perSecond*5*1.1 + 20
	// freezeTime is the time for which a machine stands still, freezes the number of times.
	freezeTime = 1500 * time.Millisecond
	freezes    = 8
)

// demand is what the tenant sends to each machine, as multiples of an even part of its rate.
type demand struct {
	mu     sync.Mutex
	factor [3]float64
}

func (d *demand) set(factor ...float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	copy(d.factor[:], factor)
}

func (d *demand) of(i int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.factor[i]
}

// quotaRun is a request that a server has run.
type quotaRun struct{ sent, ran time.Time }

// quotaFreeze lets a tenant send to one of three machines while another one stands still, and
// to all of them once that one goes on. All machines together must keep to the tenant's quota
// in every window.
func quotaFreeze(r *report, s *system) error {
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var runs []quotaRun
	err := s.startServers(6, "finishing", 20*time.Millisecond, func(server, id string, _ http.Header) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, quotaRun{sent[id], time.Now()})
		r.log("%s runs at %s", id, server)
	})
	if err != nil {
		return err
	}
	for _, zone := range zones {
		s.addNode(zone)
	}
	const key = "key-of-cuka620"
	s.publishTenants([]tenant{{"cuka620", []string{key}, perSecond}}, route{"order-place", "unsafe", "/order/", "finishing", 2000, 0})
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var d demand
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i, n := range s.nodes {
		clients.Go(func() {
			for k := 0; ; k++ {
				wait := 20 * time.Millisecond
				if factor := d.of(i); factor > 0 {
					id := fmt.Sprintf("order-%d-%d", i, k)
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					clients.Go(func() {
						status, err := placeOrder(n, id, key)
						r.log("%s at %s: status %d, %v", id, n.name, status, err)
					})
					wait = time.Duration(float64(time.Second) / (factor * perSecond / 3))
				}
				select {
				case <-done:
					return
				case <-time.After(wait):
				}
			}
		})
	}
	for range freezes {
		time.Sleep(4 * time.Second)
		d.set(0, 0, 5)
		if r.trouble {
			r.log("%s stands still", s.nodes[1].name)
			s.nodes[1].signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if r.trouble {
			s.nodes[1].signal(syscall.SIGCONT)
			r.log("%s goes on", s.nodes[1].name)
		}
		d.set(5, 5, 5)
		time.Sleep(6 * time.Second)
		d.set(0, 0, 0)
	}
	close(done)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return checkQuota(r, runs)
}

// checkQuota counts, for each window that ends with a run, the requests that were sent and run
// in it, and reports the windows beyond the bound that don't overlap.
func checkQuota(r *report, runs []quotaRun) error {
	slices.SortFunc(runs, func(a, b quotaRun) int { return a.ran.Compare(b.ran) })
	most, reported := 0, time.Time{}
	for i, last := range runs {
		from, n := last.ran.Add(-quotaWindow), 0
		for j := i; j >= 0 && runs[j].ran.After(from); j-- {
			if runs[j].sent.After(from) {
				n++
			}
		}
		most = max(most, n)
		if float64(n) > quotaBound && from.After(reported) {
			reported = last.ran
			r.breakRule("QUOTA: more than %.0f requests of the tenant were sent and have run in the 5 s up to %.3f s", quotaBound, last.ran.Sub(r.begin).Seconds())
		}
	}
	r.log("%d requests have run; at most %d in a window, the bound is %.0f", len(runs), most, quotaBound)
	if len(runs) < 400 {
		return fmt.Errorf("only %d requests have run", len(runs))
	}
	return nil
}
