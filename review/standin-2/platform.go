package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"
)

const host = "plaques.example"

var zones = []string{"seoul-a", "seoul-b", "seoul-c"}

// route is a route of the configuration.
type route struct {
	name, kind, prefix, service string
	timeoutMS                   int
	attempts                    int // 0 for two
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name      string   `json:"name"`
	Keys      []string `json:"api-keys"`
	PerSecond float64  `json:"rate-per-s,omitempty"`
}

// publish writes the next version of the configuration, without tenants, as the operator
// does. It returns the time of the acknowledgement.
func (s *system) publish(routes ...route) time.Time { return s.publishTenants(nil, routes...) }

// publishTenants is like publish for a configuration that contains tenants, unless they are
// nil.
func (s *system) publishTenants(tenants []tenant, routes ...route) time.Time {
	s.store.mu.Lock()
	version := 7 + len(s.store.topic("keyed.op").records)
	s.store.mu.Unlock()
	type object = map[string]any
	rules, clusters := []object{}, []object{}
	seen := map[string]bool{}
	for i, r := range routes {
		rules = append(rules, object{
			"name": r.name, "kind": r.kind, "slo-ms": 500, "priority": i, "match": object{"path-prefix": r.prefix},
			"action": object{"service": r.service, "timeout-ms": r.timeoutMS, "attempts": cmp.Or(r.attempts, 2)},
		})
		if !seen[r.service] {
			clusters = append(clusters, object{"name": r.service, "health-path": "/healthz", "max-conns": 220, "protocol": "h1", "tls": false})
		}
		seen[r.service] = true
	}
	document := object{
		"version": version, "base-version": version - 1,
		"limits":    object{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"listeners": []object{{"host": host, "rules": rules}}, "clusters": clusters,
	}
	if tenants != nil {
		document["tenants"] = tenants
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return s.store.put("keyed.op", "config", text)
}

// register writes the entry of a server that starts now.
func (s *system) register(id, service, zone, address string, slots int) {
	s.store.put("keyed.servers", id, []byte(fmt.Sprintf(
		`{"addr":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":1,"cold-left-ms":0}}`,
		address, time.Now().UnixMilli(), service, zone, slots)))
}
