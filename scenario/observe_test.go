package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbrelay/standin"
)

const (
	// leavingLimit is the time after its first leaving signal from which a
	// target must receive no new work.
	leavingLimit = 3 * time.Second
	// quietWindow is how long after that signal work is counted.
	quietWindow = 4 * time.Second
	// watchInterval is the time between two looks at the versions in force.
	watchInterval = 20 * time.Millisecond
)

// exits runs commands at the same time and compares their exit codes in any
// order: exits CODE[,CODE...] COMMAND... [-- COMMAND...].
func exits(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exits CODE[,CODE...] COMMAND... [-- COMMAND...]")
	}
	lines := strings.Split(strings.Join(args[1:], "\x00"), "\x00--\x00")
	commands := make([]*exec.Cmd, 0, len(lines))
	for _, line := range lines {
		argv := strings.Split(line, "\x00")
		command := exec.Command(argv[0], argv[1:]...)
		command.Dir = processesOf(ts).dir
		commands = append(commands, command)
	}
	outputs := make([]string, len(commands))
	var running sync.WaitGroup
	for i, command := range commands {
		running.Go(func() {
			out, err := command.CombinedOutput()
			outputs[i] = string(out)
			if failed := new(exec.ExitError); err != nil && !errors.As(err, &failed) {
				outputs[i] += err.Error()
			}
		})
	}
	running.Wait()
	codes := make([]string, 0, len(commands))
	for _, command := range commands {
		codes = append(codes, strconv.Itoa(command.ProcessState.ExitCode()))
	}
	slices.Sort(codes)
	_, _ = fmt.Fprint(ts.Stdout(), strings.Join(outputs, ""))
	if got := strings.Join(codes, ","); got != args[0] {
		ts.Fatalf("exit codes %s, expected %s:\n%s", got, args[0], strings.Join(outputs, ""))
	}
}

// during signals a process while requests to it are in progress and prints
// their answers: during NAME SIGNAL COUNT METHOD URL [Name:value ...]. The
// signal is sent once every request has been written to its connection.
func during(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 5 {
		ts.Fatalf("usage: during NAME SIGNAL COUNT METHOD URL [Name:value ...]")
	}
	count, err := strconv.Atoi(args[2])
	check(ts, err)
	written := make(chan struct{}, count)
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { written <- struct{}{} }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	answers := make([]string, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			out, err := sendWith(ctx, ts, args[3:])
			if err != nil {
				out = fmt.Sprintf("error %v\n", err)
			}
			answers[i] = out
		})
	}
	for range count {
		select {
		case <-written:
		case <-time.After(conditionTimeout):
			ts.Fatalf("requests not written")
		}
	}
	signal(ts, false, args[:2])
	running.Wait()
	_, _ = fmt.Fprint(ts.Stdout(), strings.Join(answers, ""))
}

// versionWatch compares the versions in force on ready instances with the
// highest seen at the same address.
type versionWatch struct {
	stop    context.CancelFunc
	done    chan struct{}
	highest map[string]int64
	failure string
}

// versions checks that no ready instance goes back to an older version, a
// restarted one included: versions watch HOST... starts the check, versions
// check ends it.
func versions(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	if args[0] == "watch" {
		ctx, cancel := context.WithCancel(context.Background())
		p.watch = &versionWatch{stop: cancel, done: make(chan struct{}), highest: map[string]int64{}}
		go p.watch.run(ctx, p.network, args[1:])
		return
	}
	p.stopWatch()
	if p.watch.failure != "" || len(p.watch.highest) == 0 {
		ts.Fatalf("%d instances were ready; %s", len(p.watch.highest), p.watch.failure)
	}
}

func (p *processes) stopWatch() {
	if p.watch != nil {
		p.watch.stop()
		<-p.watch.done
	}
}

func (w *versionWatch) run(ctx context.Context, network string, hosts []string) {
	defer close(w.done)
	for ctx.Err() == nil {
		for _, host := range hosts {
			w.look(ctx, network+"."+host)
		}
		time.Sleep(watchInterval)
	}
}

func (w *versionWatch) look(ctx context.Context, host string) {
	// A paused instance must not hold up the look at the others.
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	var status struct {
		Ready   bool  `json:"ready"`
		Version int64 `json:"version"`
	}
	if err := getJSON(ctx, "http://"+host+":8082/v1/status", &status); err != nil || !status.Ready {
		return
	}
	highest, known := w.highest[host]
	if known && status.Version < highest {
		w.failure += fmt.Sprintf("%s went from version %d to %d; ", host, highest, status.Version)
	}
	if !known || status.Version > highest {
		w.highest[host] = status.Version
	}
}

func getJSON(ctx context.Context, url string, to any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(to)
}

// quiet waits until a target has been leaving for the window and checks that
// its last request arrived in time: quiet HOST.
func quiet(ts *testscript.TestScript, _ bool, args []string) {
	stats := statsOf(ts, args[0])
	for stats.Leaving >= 0 && stats.Leaving < quietWindow {
		time.Sleep(quietWindow - stats.Leaving)
		stats = statsOf(ts, args[0])
	}
	if stats.Leaving < 0 || stats.LateAfter > leavingLimit {
		ts.Fatalf("target leaves for %s and got work %s after the first signal", stats.Leaving, stats.LateAfter)
	}
	ts.Logf("%d requests after the first leaving signal, the last %s after it", stats.Late, stats.LateAfter)
}

// probes observes a target for a time: probes NAME HOST INTERVAL WINDOW. Since
// the start of the target, the instances together must not have sent more than
// one probe per interval, and at least one within the window.
func probes(ts *testscript.TestScript, _ bool, args []string) {
	interval, err := time.ParseDuration(args[2])
	check(ts, err)
	window, err := time.ParseDuration(args[3])
	check(ts, err)
	before := statsOf(ts, args[1])
	time.Sleep(window)
	after := statsOf(ts, args[1])
	budget := int64(time.Since(processesOf(ts).running[args[0]].started) / interval)
	ts.Logf("%d probes, %d in the window, budget %d", after.Probes, after.Probes-before.Probes, budget)
	if after.Probes > budget || after.Probes == before.Probes {
		ts.Fatalf("%d probes, %d in the window, budget %d", after.Probes, after.Probes-before.Probes, budget)
	}
}

func statsOf(ts *testscript.TestScript, host string) standin.Stats {
	out, err := send(ts, []string{http.MethodGet, "http://" + processesOf(ts).network + "." + host + ":9000/standin/stats"})
	check(ts, err)
	_, body, _ := strings.Cut(out, "\n")
	stats, err := standin.DecodeStats([]byte(body))
	check(ts, err)
	return stats
}
