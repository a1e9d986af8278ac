package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// processes holds the background processes and calls of one scenario by name.
type processes struct {
	network string
	dir     string
	seeds   []string // of the instances that startSeeded starts
	running map[string]*process
	calls   map[string]chan string
	watches map[string]*watch
	slow    map[string]*slowCall
	floods  map[string]*flood
}

// process is one background process.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	err     error
}

type processesKey struct{}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// start runs a program in the background. Its output is appended to NAME.log,
// which keeps the output of earlier processes of the same name.
func (p *processes) start(name string, argv ...string) error {
	out, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(argv[0], argv[1:]...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	started := &process{command: command, exited: make(chan struct{})}
	go func() {
		started.err = errors.Join(command.Wait(), out.Close())
		close(started.exited)
	}()
	p.running[name] = started
	return nil
}

// killAll kills all processes of the scenario and waits until they have exited.
func (p *processes) killAll() {
	for _, running := range p.running {
		_ = running.command.Process.Signal(syscall.SIGKILL)
		<-running.exited
	}
}

// startStore implements the script command "store". It starts the stand-in for
// the store on $NET.1:7000.
func startStore(ts *testscript.TestScript, _ bool, _ []string) {
	p := processesOf(ts)
	address := p.network + ".1:7000"
	ts.Check(p.start("store", "standin", "store", "--listen", address))
	waitForListener(ts, address)
}

// startProxy implements the script command "proxy". It starts a proxy to the store on
// $NET.1:7001, with control requests on $NET.1:7002.
func startProxy(ts *testscript.TestScript, _ bool, _ []string) {
	p := processesOf(ts)
	host := p.network + ".1"
	ts.Check(p.start("proxy", "standin", "proxy", "--listen", host+":7001", "--to", host+":7000", "--control", host+":7002"))
	waitForListener(ts, host+":7001")
	waitForListener(ts, host+":7002")
}

// startTarget implements the script command "target ID SERVICE HOST [FLAGS...]".
// It starts a stand-in for a target on $NET.HOST:9000.
func startTarget(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: target ID SERVICE HOST [FLAGS...]")
	}
	p := processesOf(ts)
	address := p.network + "." + args[2] + ":9000"
	ts.Check(p.start(args[0], append([]string{
		"standin", "target", "--listen", address, "--store", p.network + ".1:7000", "--id", args[0], "--service", args[1],
	}, args[3:]...)...))
	waitForListener(ts, address)
}

// startInstance implements the script command "instance ID ZONE HOST [PORT]". It starts
// an instance that uses the store at $NET.1:PORT, 7000 if there is none, and listens on $NET.HOST: port 8080 for callers, 8081 for peers,
// 8082 for administration, 8083 for entry queries and 8084 for readiness checks.
func startInstance(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: instance ID ZONE HOST [PORT]")
	}
	storePort := "7000"
	if len(args) > 3 {
		storePort = args[3]
	}
	p := processesOf(ts)
	host := p.network + "." + args[2]
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nregion = r\nmemory = 184MiB\n[callers]\nlisten = %[3]s:8080\nentry = %[3]s:8083\nready = %[3]s:8084\n"+
		"[peers]\nlisten = %[3]s:8081\n[admin]\nlisten = %[3]s:8082\n[store]\naddress = %s.1:%s\n[stop]\ngrace = 4s\n",
		args[0], args[1], host, p.network, storePort)
	path := filepath.Join(p.dir, args[0]+".ini")
	ts.Check(os.WriteFile(path, []byte(text), 0o600))
	ts.Check(p.start(args[0], "rhubarbrelayd", "--settings", path))
	waitForListener(ts, host+":8082")
}

// signal implements the script command "signal NAME TERM|KILL|HUP|STOP|CONT".
// After KILL it waits until the process has exited.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "HUP": syscall.SIGHUP, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	p := processesOf(ts).running[args[0]]
	ts.Check(p.command.Process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		<-p.exited
	}
}

// exits implements the script command "exits NAME CODE". It waits until the
// process exits and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts).running[args[0]]
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		ts.Fatalf("%s did not exit before the timeout", args[0])
	}
	if got := p.command.ProcessState.ExitCode(); got != want {
		ts.Fatalf("exit code of %s is %d, want %d", args[0], got, want)
	}
}

func waitForListener(ts *testscript.TestScript, address string) {
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
			return
		}
	}
	ts.Fatalf("nothing listened on %s before the timeout", address)
}
