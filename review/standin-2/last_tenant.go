package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	applyTime = 2 * time.Second // config-apply-ms of the small deployments
	forgedKey = "no-configuration-ever-held-this"
)

// lastTenant removes the keys of two tenants, one after the other: the second version has an
// empty list of tenants. Clients go on with their keys, and one has a key that no configuration
// ever held. Later than config-apply-ms after the acknowledgement, no request with such a key
// may run, and no server may be shown a key.
func lastTenant(r *report, s *system) error {
	var mu sync.Mutex
	runs, shown := map[string]string{}, map[string]string{}
	err := s.startServers(6, "finishing", 20*time.Millisecond, func(server, id string, header http.Header) {
		mu.Lock()
		defer mu.Unlock()
		runs[id] = server
		if key := header.Get("Authorization"); key != "" {
			shown[id] = key
		}
	})
	if err != nil {
		return err
	}
	for _, zone := range zones {
		s.addNode(zone)
	}
	keys := []string{"key-of-cuka620", "key-of-lizo114", forgedKey}
	versions := [][]tenant{
		{{"cuka620", keys[:1], 0}, {"lizo114", keys[1:2], 0}},
		{{"cuka620", keys[:1], 0}},
		{},
	}
	order := route{"order-place", "unsafe", "/order/", "finishing", 2000, 0}
	s.publishTenants(versions[0], order)
	r.log("version 1 has the tenants cuka620 and lizo114")
	if err := s.start(); err != nil {
		return err
	}
	version, acknowledged, served := 0, time.Now(), 0
	for begin, n := time.Now(), 0; time.Since(begin) < 18*time.Second; n++ {
		if next := int(time.Since(begin) / (6 * time.Second)); r.trouble && next > version {
			version, acknowledged = next, s.publishTenants(versions[next], order)
			r.log("version %d is acknowledged; it has the tenants %v", next+1, versions[next])
		}
		for i, key := range keys {
			id := fmt.Sprintf("order-%d-%d", n, i)
			node := s.nodes[n%len(s.nodes)]
			late := time.Since(acknowledged) > applyTime
			status, err := placeOrder(node, id, key)
			mu.Lock()
			server, ran := runs[id]
			sent, exposed := shown[id]
			mu.Unlock()
			r.log("%s with %s at %s: status %d, %v, ran at %q", id, key, node.name, status, err, server)
			held := false
			for _, t := range versions[version] {
				held = held || t.Keys[0] == key
			}
			switch {
			case ran && key == forgedKey:
				r.breakRule("ROUTE: %s runs at %s with a key that no configuration ever held", id, server)
			case ran && late && !held:
				r.breakRule("CONFIG: %s runs at %s with the dropped key %s, %s after the acknowledgement", id, server, key, time.Since(acknowledged))
			case ran && held:
				served++
			}
			if exposed {
				r.breakRule("UNASKED: %s: server %s is shown the key (%q)", id, server, sent)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if served < 20 {
		return fmt.Errorf("only %d requests with valid keys have run", served)
	}
	return nil
}

// placeOrder sends a request with an API key on a new connection.
func placeOrder(n *node, id, key string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", n.at(portFront), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST /order/a HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Deadline-Ms: 2000\r\nContent-Length: 5\r\n\r\norder", host, key, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
