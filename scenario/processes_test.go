package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// processes are the background processes of one scenario, by name.
type processes struct {
	network string
	dir     string
	running map[string]*process
	watch   *versionWatch
}

// process is one background process.
type process struct {
	command *exec.Cmd
	started time.Time
	log     string
	exited  chan struct{}
	err     error
}

type processesKey struct{}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// start runs a program in the background. Its output goes to a file that is
// shown when the scenario fails.
func (p *processes) start(name string, argv ...string) error {
	path := filepath.Join(p.dir, name+".log")
	out, err := os.Create(path)
	if err != nil {
		return err
	}
	command := exec.Command(argv[0], argv[1:]...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	started := &process{command: command, started: time.Now(), log: path, exited: make(chan struct{})}
	go func() {
		started.err = errors.Join(command.Wait(), out.Close())
		close(started.exited)
	}()
	p.running[name] = started
	return nil
}

// killAll ends every process of the scenario.
func (p *processes) killAll() {
	for _, running := range p.running {
		_ = running.command.Process.Signal(syscall.SIGKILL)
		<-running.exited
	}
}

// startPlatform starts the platform stand-in: platform [FLAGS...]. It serves
// on $NET.1:7000.
func startPlatform(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	address := p.network + ".1:7000"
	check(ts, p.start("platform", append([]string{"standin", "platform", "--listen", address}, args...)...))
	awaitListener(ts, address)
}

// startTarget starts a target stand-in: target NAME HOST [FLAGS...]. It serves
// on $NET.HOST:9000.
func startTarget(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: target NAME HOST [FLAGS...]")
	}
	p := processesOf(ts)
	address := p.network + "." + args[1] + ":9000"
	check(ts, p.start(args[0], append([]string{"standin", "target", "--listen", address}, args[2:]...)...))
	awaitListener(ts, address)
}

// startInstance starts an instance: instance ID ZONE HOST [unlisted]
// [slow] [SETTINGS-FILE]. Its listeners are $NET.HOST:8080 for callers, 8081 for peers
// and 8082 for operators. It is put on the platform's list unless it is
// unlisted. A slow one takes seconds for a graceful stop. The file's text is
// appended to its settings.
func startInstance(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: instance ID ZONE HOST [unlisted] [SETTINGS-FILE]")
	}
	p := processesOf(ts)
	id, zone, host := args[0], args[1], p.network+"."+args[2]
	listed, ttl, extra := true, "300ms", ""
	for _, option := range args[3:] {
		if option == "unlisted" {
			listed = false
			continue
		}
		if option == "slow" {
			ttl = "4s"
			continue
		}
		extra = ts.ReadFile(option)
	}
	if listed {
		listInstance(ts, id, zone, host, "live")
	}
	path := filepath.Join(p.dir, id+".ini")
	check(ts, os.WriteFile(path, []byte(settingsOf(p.network, id, zone, host, ttl)+extra), 0o600))
	check(ts, p.start(id, "rhubarbrelayd", "--settings", path))
}

// settingsOf returns settings. With a short entry TTL a graceful stop takes less
// than a second.
func settingsOf(network, id, zone, host, ttl string) string {
	return fmt.Sprintf(`[instance]
id = %[2]s
zone = %[3]s
[callers]
listen = %[4]s:8080
entry_ttl = %[5]s
[peers]
listen = %[4]s:8081
[admin]
listen = %[4]s:8082
[platform]
address = %[1]s.1:7000
[stop]
margin = 200ms
`, network, id, zone, host, ttl)
}

// setListed changes a line of the platform's list: listed ID ZONE HOST STATE
// [target].
func setListed(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: listed ID ZONE HOST STATE [target]")
	}
	host := processesOf(ts).network + "." + args[2]
	if len(args) == 4 {
		listInstance(ts, args[0], args[1], host, args[3])
		return
	}
	putInstance(ts, fmt.Sprintf(`{"id":%q,"role":"target","zone":%q,"state":%q,"caller_address":"%s:9000"}`, args[0], args[1], args[3], host))
}

func listInstance(ts *testscript.TestScript, id, zone, host, state string) {
	putInstance(ts, fmt.Sprintf(`{"id":%q,"role":"entry","zone":%q,"state":%q,"caller_address":"%[4]s:8080","peer_address":"%[4]s:8081","admin_address":"%[4]s:8082"}`,
		id, zone, state, host))
}

func putInstance(ts *testscript.TestScript, body string) {
	url := "http://" + processesOf(ts).network + ".1:7000/standin/instances"
	check(ts, ts.Exec("standin", "put", url, "--body", body))
}

// signal sends a signal to a process: signal NAME STOP|CONT|KILL|TERM.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
	}
	if len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME STOP|CONT|KILL|TERM")
	}
	running, ok := processesOf(ts).running[args[0]]
	if !ok {
		ts.Fatalf("no process %s", args[0])
	}
	check(ts, running.command.Process.Signal(signals[args[1]]))
}

// finished waits until a process has ended by itself with exit code 0: finished
// NAME. With a leading ! the exit code must differ from 0.
func finished(ts *testscript.TestScript, neg bool, args []string) {
	running, ok := processesOf(ts).running[args[0]]
	if !ok {
		ts.Fatalf("no process %s", args[0])
	}
	select {
	case <-running.exited:
	case <-time.After(conditionTimeout):
		ts.Fatalf("process %s did not end", args[0])
	}
	if (running.err != nil) != neg {
		text, _ := os.ReadFile(running.log)
		ts.Fatalf("process %s ended with %v:\n%s", args[0], running.err, text)
	}
}

func awaitListener(ts *testscript.TestScript, address string) {
	deadline := time.Now().Add(conditionTimeout)
	for time.Now().Before(deadline) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			check(ts, conn.Close())
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("nothing listens on %s", address)
}

func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}
