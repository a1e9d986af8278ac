package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// route is a route of the configuration.
type route struct {
	name, kind, prefix, service string
	objectiveMS, timeoutMS      int
	attempts, priority          int
}

// host is the host of all routes.
const host = "ficu95.example"

// deployment is the whole system with its stand-ins.
type deployment struct {
	root, folder string
	store        *store
	instances    []*instance
	servers      []*server
	runs         *runs
	record       *recorder
	version      int
}

// layout says how large a deployment is.
type layout struct {
	zones           []string
	instancesInZone int
	servers         map[string]int // by service
	slots           int
	work            func(r *http.Request) time.Duration
	answer          func(r *http.Request) []byte
	routes          []route
}

// newDeployment starts store, servers and instances and waits until these are ready.
func newDeployment(root string, rec *recorder, l layout) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	folders.Store(folder, true)
	d := &deployment{root: root, folder: folder, runs: &runs{byID: map[string][]*run{}}, record: rec}
	base := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250)
	var ips []string
	for range len(l.zones) * l.instancesInZone {
		ips = append(ips, fmt.Sprintf("%s.%d", base, len(ips)+1))
	}
	p, err := freePorts(ips)
	if err != nil {
		return d, err
	}
	storePort, err := freePort([]string{base + ".200"})
	if err != nil {
		return d, err
	}
	if d.store, err = newStore(fmt.Sprintf("%s.200:%d", base, storePort)); err != nil {
		return d, err
	}
	d.publish(l.routes)
	n := 0
	for service, count := range l.servers {
		for range count {
			n++
			ip := fmt.Sprintf("%s.%d", base, 100+n)
			port, err := freePort([]string{ip})
			if err != nil {
				return d, err
			}
			s := &server{
				id: fmt.Sprintf("i-%04d", n), service: service, zone: l.zones[n%len(l.zones)], address: fmt.Sprintf("%s:%d", ip, port),
				slots: l.slots, work: l.work, answer: l.answer, runs: d.runs, store: d.store,
			}
			if err := s.start(1500 * time.Millisecond); err != nil {
				return d, err
			}
			d.servers = append(d.servers, s)
		}
	}
	seeds := []string{}
	for i, ip := range ips {
		zone := l.zones[i%len(l.zones)]
		d.instances = append(d.instances, &instance{id: fmt.Sprintf("front-%s-%d", zone, 1+i/len(l.zones)), zone: zone, ip: ip, ports: p})
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.control))
		}
	}
	for _, in := range d.instances {
		text := settingsText(in, d.store.address, seeds, true)
		if err := os.WriteFile(filepath.Join(folder, in.id+".ini"), []byte(text), 0o600); err != nil {
			return d, err
		}
		if err := in.start(root, folder); err != nil {
			return d, err
		}
	}
	for _, in := range d.instances {
		if err := in.waitReady(10 * time.Second); err != nil {
			return d, err
		}
	}
	return d, nil
}

// publish puts a configuration with the routes.
func (d *deployment) publish(routes []route) {
	d.version += 2
	services := map[string]bool{}
	rules := []map[string]any{}
	for _, r := range routes {
		services[r.service] = true
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "slo-ms": r.objectiveMS, "priority": r.priority,
			"match":  map[string]any{"path-prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-ms": r.timeoutMS, "attempts": r.attempts},
		})
	}
	clusters := []map[string]any{}
	for name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health-path": "/healthz", "max-conns": 220, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{
		"version": d.version, "base-version": d.version - 2,
		"limits":    map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"listeners": []map[string]any{{"host": host, "rules": rules}},
		"clusters":  clusters,
	})
	d.store.put("keyed.op", "config", value)
}

// close ends all processes and stand-ins and removes the folder.
func (d *deployment) close() {
	for _, in := range d.instances {
		in.end()
		if in.log != nil {
			_ = in.log.Close()
		}
	}
	for _, s := range d.servers {
		s.close()
	}
	if d.store != nil {
		d.store.close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	_ = os.RemoveAll(d.folder)
}
