package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// instance is one process of the load balancer.
type instance struct {
	id, zone                     string
	front, ready, entry, control string
	peers                        string
	port                         *storePort
	settings                     string
	cmd                          *exec.Cmd
	log                          *os.File
	exited                       chan struct{}
}

// deployment is the whole system of a case.
type deployment struct {
	dir       string // temporary
	store     *logStore
	runs      *runs
	instances []*instance
	servers   []*upstreamServer
	seeds     []string
	extra     string // further settings
}

func newDeployment() *deployment {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	return &deployment{dir: dir, store: newLogStore(), runs: &runs{}}
}

// freeAddress returns a loopback address whose TCP and UDP ports are free. Each instance has a
// host of its own, since all use the same port for packets.
func freePort(host string) string {
	l, err := net.Listen("tcp", host+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addInstance prepares an instance of a zone. All use the peer port of the first one.
func (d *deployment) addInstance(id, zone string) *instance {
	host := fmt.Sprintf("127.0.7.%d", 10+len(d.instances))
	port, err := openStorePort(d.store)
	must(err)
	in := &instance{id: id, zone: zone, front: freePort(host), ready: freePort(host), entry: freePort(host), control: freePort(host), port: port}
	if len(d.instances) == 0 {
		in.peers = freePort(host)
	} else {
		_, peerPort, _ := net.SplitHostPort(d.instances[0].peers)
		in.peers = net.JoinHostPort(host, peerPort)
	}
	in.settings = filepath.Join(d.dir, id+".ini")
	d.instances = append(d.instances, in)
	return in
}

// writeSettings renders the settings as the template of the deploy file does, with the bounds
// of the small deployments.
func (d *deployment) writeSettings(in *instance) {
	text := fmt.Sprintf(`[instance]
id = %s
zone = %s
region = region
memory = 284MiB
cpu_share = 0.32
cores = 1
first_start = true

[callers]
listen = %s
entry = %s
ready = %s

[peers]
listen = %s
seeds = %s

[admin]
listen = %s

[store]
address = %s

[budgets]
drain_delay = 2000ms
retry_ratio = 0.2
retry_slack = 58
retry_window = 10s
probes_per_second = 60
%s
[stop]
grace = 6s
`, in.id, in.zone, in.front, in.entry, in.ready, in.peers, strings.Join(d.seeds, ","), in.control, in.port.address(), d.extra)
	must(os.WriteFile(in.settings, []byte(text), 0o600))
}

// start starts the process of an instance with the command of the deploy file.
func (d *deployment) start(in *instance) {
	d.writeSettings(in)
	log, err := os.OpenFile(filepath.Join(d.dir, in.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	in.cmd = exec.Command("target/rhubarbrelayd")
	in.cmd.Env = []string{"RHUBARBRELAY_BOOT=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if this process is ended from outside
	must(in.cmd.Start())
	in.log, in.exited = log, make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(in.cmd, in.exited)
}

// startAll starts all instances and waits until they are ready.
func (d *deployment) startAll() {
	for _, in := range d.instances[:min(3, len(d.instances))] {
		d.seeds = append(d.seeds, in.control)
	}
	for _, in := range d.instances {
		d.start(in)
	}
	for _, in := range d.instances {
		d.awaitReady(in, 15*time.Second)
	}
}

func (d *deployment) awaitReady(in *instance, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if in.isReady() {
			return
		}
	}
	must(fmt.Errorf("instance %s is not ready", in.id))
}

// isReady makes the readiness check of the platform.
func (in *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.ready+"/-/readyz", nil)
	must(err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the directory of an instance for the addresses to connect to.
func (in *instance) resolve(zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.entry+"/-/resolve?name=shop.example&region=region&zone="+zone, nil)
	must(err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addrs
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) { _ = in.cmd.Process.Signal(s) }

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, in := range d.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Signal(syscall.SIGCONT)
			_ = in.cmd.Process.Kill()
			<-in.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
