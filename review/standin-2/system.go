package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The ports of each instance. All instances have the same, on addresses of their own.
const (
	portFront     = 8144
	portDirectory = 8143
	portReady     = 8140
	portControl   = 8146
	portInternal  = 7660
	portStore     = 8142
	portServer    = 8587
)

// system is a small deployment: a store, and instances as separate processes.
type system struct {
	network string // the first three numbers of all addresses
	dir     string // for settings and logs
	store   *store
	nodes   []*node
}

// node is one machine with its process.
type node struct {
	system   *system
	name     string
	zone, ip string
	command  *exec.Cmd
	exited   chan struct{}
	ends     int // the times that the process ended by itself
}

// newSystem returns a system with a store on a loopback network that nothing uses.
func newSystem() (*system, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d", 30+os.Getpid()%200, (os.Getpid()/200+i)%250)
		s := &system{network: network, dir: dir, store: newStore()}
		if s.store.serve(fmt.Sprintf("%s.1:%d", network, portStore)) == nil {
			return s, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// addNode adds a machine, which start starts.
func (s *system) addNode(zone string) *node {
	n := &node{system: s, name: fmt.Sprintf("front-%s-%d", zone, len(s.nodes)+1), zone: zone, ip: fmt.Sprintf("%s.%d", s.network, 10+len(s.nodes))}
	s.nodes = append(s.nodes, n)
	return n
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// settings are those of a machine of the small deployments.
func (n *node) settings(bootstrap bool) settings {
	var seeds []string
	for _, other := range n.system.nodes[:min(3, len(n.system.nodes))] {
		seeds = append(seeds, other.at(portControl))
	}
	return settings{
		"node": n.name, "zone": n.zone, "region": "seoul", "ip": n.ip, "bootstrap": bootstrap, "seeds": seeds,
		"listen": map[string]any{
			"front": n.at(portFront), "ready": n.at(portReady), "control": n.at(portControl), "directory": n.at(portDirectory),
		},
		"internal-ports": []string{fmt.Sprint(portInternal), fmt.Sprint(portInternal + 15)},
		"limits":         map[string]any{"memory-mb": "284"},
		"platform":       map[string]any{"addr": fmt.Sprintf("%s.1:%d", n.system.network, portStore)},
		"bounds": map[string]any{
			"drain-ms": "2000", "grace-s": "6", "retry-budget": "0.2", "retry-slack": "58", "budget-window-s": "10", "probes-per-s": "60",
			"quota-window-s": "5", "quota-overage": "0.1", "quota-slack": "20",
		},
	}
}

// start starts the process with the command and the settings template of the deploy file.
// The working folder is the root of the repository.
func (n *node) start(bootstrap bool) error {
	template, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		return err
	}
	text, err := n.settings(bootstrap).render(string(template))
	if err != nil {
		return err
	}
	path := filepath.Join(n.system.dir, n.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.system.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/rhubarbrelayd")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBRELAY_BOOT=" + path}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// ready asks the readiness address as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.at(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts all machines and waits until they are ready.
func (s *system) start() error {
	for _, n := range s.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(s.nodes) {
			return nil
		}
	}
	return errors.New("instances are not ready")
}

// stop ends all processes.
func (s *system) stop() {
	for _, n := range s.nodes {
		if n.command != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	_ = os.RemoveAll(s.dir)
}

// listen opens the listener of server i.
func (s *system) listen(i int) (net.Listener, string, error) {
	address := fmt.Sprintf("%s.%d:%d", s.network, 100+i, portServer)
	l, err := net.Listen("tcp", address)
	return l, address, err
}
