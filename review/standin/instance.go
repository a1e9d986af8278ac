package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are those of every machine of a deployment.
type ports struct{ front, ready, control, directory, internal int }

// instance is one process of the program under test, on a machine of its own: a
// loopback address.
type instance struct {
	id, zone, ip string
	ports        ports
	settings     string
	log          *os.File
	command      *exec.Cmd
	exited       chan struct{}
	exitedAt     time.Time
}

// settingsText is deploy/settings.ini.tmpl with the figures of the small sites.
func settingsText(in *instance, storeAddress string, seeds []string, bootstrap bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nid = %s\nzone = %s\nregion = midlands\nmemory = 284MiB\n", in.id, in.zone)
	if bootstrap {
		b.WriteString("first_start = true\n")
	}
	fmt.Fprintf(&b, "\n[callers]\nlisten = %s:%d\nentry = %s:%d\nready = %s:%d\n", in.ip, in.ports.front, in.ip, in.ports.directory, in.ip, in.ports.ready)
	fmt.Fprintf(&b, "\n[peers]\nlisten = %s:%d\nseeds = %s\n", in.ip, in.ports.internal, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "\n[admin]\nlisten = %s:%d\n\n[store]\naddress = %s\n", in.ip, in.ports.control, storeAddress)
	b.WriteString("\n[budgets]\ndrain_delay = 2000ms\nretry_ratio = 0.2\nretry_slack = 58\nretry_window = 10s\nprobes_per_second = 60\n")
	b.WriteString("\n[stop]\ngrace = 6s\n")
	return b.String()
}

// started holds the processes that were started and have not ended.
var started sync.Map

// folders holds the folders of the deployments.
var folders sync.Map

// ending is set by endAll, after which no process is started. startLock orders the two.
var (
	startLock sync.Mutex
	ending    bool
)

// endAll kills these processes for good and removes the folders of all deployments.
func endAll() {
	startLock.Lock()
	defer startLock.Unlock()
	ending = true
	started.Range(func(process, _ any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
	folders.Range(func(folder, _ any) bool {
		_ = os.RemoveAll(folder.(string))
		return true
	})
}

// start starts the process as the deploy file says: target/rhubarbrelayd, in the root of
// the repository, with the path of its settings in RHUBARBRELAY_BOOT.
func (in *instance) start(root, folder string) error {
	in.settings = filepath.Join(folder, in.id+".ini")
	log, err := os.OpenFile(filepath.Join(folder, in.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.log = log
	in.command = exec.Command(filepath.Join(root, "target", "rhubarbrelayd"))
	in.command.Dir = root
	in.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBRELAY_BOOT=" + in.settings}
	in.command.Stdout, in.command.Stderr = log, log
	startLock.Lock()
	defer startLock.Unlock()
	if ending {
		return errors.New("the case has ended")
	}
	if err := in.command.Start(); err != nil {
		return err
	}
	started.Store(in.command.Process, true)
	in.exited = make(chan struct{})
	command, exited := in.command, in.exited
	go func() {
		_ = command.Wait()
		started.Delete(command.Process)
		in.exitedAt = time.Now()
		close(exited)
	}()
	return nil
}

func (in *instance) signal(s syscall.Signal) { _ = in.command.Process.Signal(s) }

// end kills the process if it still runs.
func (in *instance) end() {
	if in.command == nil || in.command.Process == nil {
		return
	}
	select {
	case <-in.exited:
		return
	default:
	}
	_ = in.command.Process.Signal(syscall.SIGCONT)
	_ = in.command.Process.Kill()
	<-in.exited
}

func (in *instance) front() string { return fmt.Sprintf("%s:%d", in.ip, in.ports.front) }

func (in *instance) waitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", in.ip, in.ports.ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(in.id + " is not ready in time")
}

// freePorts returns five ports that are free on all the addresses.
func freePorts(ips []string) (ports, error) {
	var found [5]int
	for i := range found {
		port, err := freePort(ips)
		if err != nil {
			return ports{}, err
		}
		found[i] = port
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func freePort(ips []string) (int, error) {
next:
	for range 50 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		for _, ip := range ips {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				continue next
			}
			_ = other.Close()
		}
		return port, nil
	}
	return 0, errors.New("no free port")
}
