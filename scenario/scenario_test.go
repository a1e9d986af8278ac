// Package scenario runs test scripts against real processes of the system.
package scenario

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// conditionTimeout limits the wait for a condition. It only matters when a
// scenario fails, so it is long enough for slow machines.
const conditionTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	os.Exit(runWithPrograms(m))
}

// runWithPrograms builds the programs, adds them to PATH and runs the tests.
func runWithPrograms(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rhubarbrelay-programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "rhubarbrelay/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cannot build the programs:", err)
		return 1
	}
	if err := os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// Guards against failures that only show between separate processes: requests that
// fail or run twice while targets fail or instances shut down, configurations and
// settings that do not take effect, and instances that do not recover from an
// outage of the store or from being killed. Each script in testdata begins with
// the failures that it guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"store":    startStore,
			"proxy":    startProxy,
			"target":   startTarget,
			"instance": startInstance,
			"signal":   signal,
			"exits":    exits,
			"call":     call,
			"eventual": eventual,
			"begin":    begin,
			"finished": finished,
			"callmany": callMany,
			"peakrss":  peakRSS,
			"never":    never,
			"held":     held,
			"part":     part,
			"rest":     rest,
			"status":   status,
			"body":     body,
			"refuses":  refuses,

			"flood":       startFlood,
			"flooded":     endFlood,
			"ran":         waitForRuns,
			"withinquota": withinQuota,

			"seeded":     startSeededInstances,
			"restartall": restartAll,
			"listed":     listed,
		},
	})
}

// setup gives each scenario its own /24 network in 127.0.0.0/8. A listener on the
// last address of the network reserves it, so that other test processes do not
// use it at the same time.
func setup(env *testscript.Env) error {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", network+".255:7")
		if err != nil {
			continue
		}
		env.Defer(func() { _ = l.Close() })
		env.Setenv("NET", network)
		env.Setenv("RHUBARBRELAY_STORE", network+".1:7000")
		p := &processes{network: network, dir: env.WorkDir, running: map[string]*process{}, calls: map[string]chan string{}, watches: map[string]*watch{}, slow: map[string]*slowCall{}, floods: map[string]*flood{}}
		env.Values[processesKey{}] = p
		env.Defer(p.killAll)
		return expandFiles(env.WorkDir, network)
	}
	return fmt.Errorf("no free loopback network found")
}

// expandFiles replaces $NET in the files of a scenario, as testscript expands
// variables only in commands.
func expandFiles(dir, network string) error {
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, []byte(strings.ReplaceAll(string(text), "$NET", network)), 0o600)
	})
}

// call implements the script command "call METHOD URL [Name:value ...] [@file]".
// It sends a request and prints the status, the platform's headers and the body
// of the response. The header Host also sets the host of the request.
func call(ts *testscript.TestScript, neg bool, args []string) {
	out, err := send(ts, args)
	if (err != nil) != neg {
		ts.Fatalf("call %v: %v", args, err)
	}
	_, _ = fmt.Fprint(ts.Stdout(), out)
}

func send(ts *testscript.TestScript, args []string) (string, error) {
	if len(args) < 2 {
		return "", fmt.Errorf("usage: call METHOD URL [Name:value ...] [@file]")
	}
	body := ""
	if file, ok := strings.CutPrefix(args[len(args)-1], "@"); ok {
		body = ts.ReadFile(file)
		args = args[:len(args)-1]
	}
	return sendBody(args, body)
}

func sendBody(args []string, body string) (string, error) {
	req, err := http.NewRequestWithContext(context.Background(), args[0], args[1], strings.NewReader(body))
	if err != nil {
		return "", err
	}
	for _, h := range args[2:] {
		name, value, _ := strings.Cut(h, ":")
		if name == "Host" {
			req.Host = value
		}
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: conditionTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "status %d\n", resp.StatusCode)
	for name, values := range resp.Header {
		if strings.HasPrefix(name, "Rhubarbrelay-") || name == "Retry-After" || name == "Connection" {
			fmt.Fprintf(&b, "%s: %s\n", name, values[0])
		}
	}
	fmt.Fprintf(&b, "%s\n", data)
	return b.String(), nil
}

// eventual implements the script command "eventual TEXT METHOD URL ...". It
// repeats a call until the output contains TEXT or, with a leading "!", until it
// does not.
func eventual(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: eventual TEXT METHOD URL ...")
	}
	deadline := time.Now().Add(conditionTimeout)
	var out string
	var err error
	for time.Now().Before(deadline) {
		out, err = send(ts, args[1:])
		if err == nil && strings.Contains(out, args[0]) != neg {
			_, _ = fmt.Fprint(ts.Stdout(), out)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("eventual %v: condition not met in time, last response %q, error %v", args, out, err)
}

// begin implements the script command "begin NAME METHOD URL ...". It starts a
// call in the background.
func begin(ts *testscript.TestScript, _ bool, args []string) {
	done := make(chan string, 1)
	processesOf(ts).calls[args[0]] = done
	go func() {
		out, err := sendBody(args[1:], "")
		if err != nil {
			out = "error " + err.Error() + "\n"
		}
		done <- out
	}()
}

// finished implements the script command "finished NAME". It waits for a call
// started by begin and prints its output.
func finished(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case out := <-processesOf(ts).calls[args[0]]:
		_, _ = fmt.Fprint(ts.Stdout(), out)
	case <-time.After(conditionTimeout):
		ts.Fatalf("call %s did not finish in time", args[0])
	}
}
