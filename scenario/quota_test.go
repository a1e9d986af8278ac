package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	floodTimeout = 2 * time.Second
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// flood sends requests at a rate until it is stopped.
type flood struct {
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	statuses map[string]int
}

// startFlood implements the script command "flood NAME PER_SECOND KEY HOSTS...". It sends
// requests with an API key, as many to each instance, until "flooded NAME".
func startFlood(ts *testscript.TestScript, _ bool, args []string) {
	perSecond, err := strconv.Atoi(args[1])
	ts.Check(err)
	f := &flood{stop: make(chan struct{}), statuses: map[string]int{}}
	processesOf(ts).floods[args[0]] = f
	hosts := args[3:]
	interval := time.Second * time.Duration(len(hosts)) / time.Duration(perSecond)
	client := &http.Client{Timeout: floodTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for _, host := range hosts {
		f.running.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-ticker.C:
					f.running.Go(func() { f.send(client, host, args[2], fmt.Sprintf("%s-%s-%d", args[0], host, i)) })
				}
			}
		})
	}
}

func (f *flood) send(client *http.Client, host, key, id string) {
	status := "none"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+host+":8080/orders/1", http.NoBody)
	if err == nil {
		req.Host = "hemtape.example"
		req.Header.Set("Authorization", "Token "+key)
		req.Header.Set("Rhubarbrelay-Attempt-Id", id)
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			status = strconv.Itoa(resp.StatusCode)
			if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Retry-After") == "" {
				status = "429 without Retry-After"
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[status]++
}

// endFlood implements the script command "flooded NAME". It prints the numbers of responses
// by status.
func endFlood(ts *testscript.TestScript, _ bool, args []string) {
	f := processesOf(ts).floods[args[0]]
	close(f.stop)
	f.running.Wait()
	for status, n := range f.statuses {
		_, _ = fmt.Fprintf(ts.Stdout(), "%s: %d\n", status, n)
	}
}

// runTimes returns when requests began to run at targets, sorted.
func runTimes(ts *testscript.TestScript, hosts []string) []time.Time {
	parts := make([][]time.Time, len(hosts))
	for i, host := range hosts {
		resp, err := http.Get("http://" + host + ":9000/standin/run-times") //nolint:noctx // The stand-in responds at once.
		ts.Check(err)
		ts.Check(json.NewDecoder(resp.Body).Decode(&parts[i]))
		ts.Check(resp.Body.Close())
	}
	all := slices.Concat(parts...)
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// waitForRuns implements the script command "ran COUNT HOSTS...". It waits until the
// targets have run as many further requests.
func waitForRuns(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	before := len(runTimes(ts, args[1:]))
	start := time.Now()
	for len(runTimes(ts, args[1:])) < before+count {
		if time.Since(start) > conditionTimeout {
			ts.Fatalf("the targets ran only %d requests", len(runTimes(ts, args[1:]))-before)
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "ran %.1f per second\n", float64(count)/time.Since(start).Seconds())
	ts.Logf("%d requests ran at %.1f per second", count, float64(count)/time.Since(start).Seconds())
}

// withinQuota implements the script command "withinquota PER_SECOND BURST HOSTS...". It
// fails if the targets ran more requests in some window than the quota allows.
func withinQuota(ts *testscript.TestScript, _ bool, args []string) {
	perSecond, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	burst, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	times := runTimes(ts, args[2:])
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := (perSecond*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	ts.Logf("%d requests ran, %d in the worst window, %g are allowed", len(times), most, allowed)
	if float64(most) > allowed {
		ts.Fatalf("%d requests ran in a window that allows %g", most, allowed)
	}
}
