package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"rhubarbrelay/standin"
	"rhubarbrelay/targets"
)

// target is a stand-in target in this process.
type target struct {
	*standin.Target
	id, zone   string
	deregister context.CancelFunc
}

// instance is a process of the system. It reaches the store through a proxy.
type instance struct {
	env  *environment
	id   string
	zone string
	host string
	// cpuShare is the processor capacity that the instance states.
	cpuShare float64
	proxy    *standin.Proxy

	mu          sync.Mutex
	command     *exec.Cmd // nil until it has been started
	exited      chan struct{}
	sentSIGTERM bool // whether SIGTERM was sent to the process
	paused      bool

	faultInProgress atomic.Bool // set by tryClaim until the fault ends
}

// cpuShares are those of the instances in turn. Callers are sent to the larger ones.
var cpuShares = [...]float64{0.25, 1}

// tryClaim reserves the instance for a process fault. It returns false if
// another one is in progress.
func (in *instance) tryClaim() bool { return in.faultInProgress.CompareAndSwap(false, true) }

func (in *instance) address(port int) string { return fmt.Sprintf("%s:%d", in.host, port) }

// start writes the settings and starts the process. The setting peers.seeds is
// the first instance with adminPort. The port is ignored: the daemon uses only
// the IP address and sends to the port that it listens on for peers itself.
func (in *instance) start() error {
	path := filepath.Join(in.env.opts.Dir, in.id+".ini")
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nregion = r\ncpu_share = %g\n[callers]\nlisten = %s\nentry = %s\nready = %s\n[peers]\nlisten = %s\n"+
		"seeds = %s.10:%d\n[admin]\nlisten = %s\n[store]\naddress = %s\n[stop]\ngrace = %s\n",
		in.id, in.zone, in.cpuShare, in.address(callerPort), in.address(entryPort), in.address(readyPort), in.address(peerPort),
		in.env.network, adminPort, in.address(adminPort), in.address(storePort), gracePeriod)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(in.env.opts.Dir, in.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(in.env.opts.DaemonPath, "--settings", path) //nolint:gosec,noctx // The program under test.
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.command, in.exited, in.sentSIGTERM, in.paused = command, exited, false, false
	in.mu.Unlock()
	go func() {
		_ = errors.Join(command.Wait(), out.Close()) // a killed process returns an error
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it was started.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.command == nil {
		return
	}
	in.sentSIGTERM = in.sentSIGTERM || s == syscall.SIGTERM
	in.paused = s == syscall.SIGSTOP || in.paused && s != syscall.SIGCONT
	_ = in.command.Process.Signal(s) // the process may have ended already
}

// waitForExit waits until the process has ended.
func (in *instance) waitForExit() {
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	<-exited
}

// running returns the process ID, or 0 if the process has ended, and whether
// the process runs and is not paused.
func (in *instance) running() (pid int, notPaused bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited:
		return 0, false
	default:
		return in.command.Process.Pid, !in.paused
	}
}

func (t *target) startDraining() { t.SetState(targets.Draining) }
