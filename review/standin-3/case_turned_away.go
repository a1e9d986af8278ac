package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the small deployments.
const (
	configApply = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
)

// version is a configuration that the operator has sent. It adds the route of its number and
// drops the one that the version before has added.
type version struct {
	number      int
	sent, acked time.Time
}

// addedRoute is the prefix of the route that only one version has.
func addedRoute(number int) string { return fmt.Sprintf("/added-%d/", number) }

// putVersion sends a configuration with the lasting route /orders/ and the added one.
func putVersion(store *logStore, number int) version {
	cluster := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/healthz", "max-conns": 220, "protocol": "h1", "tls": false}
	}
	rule := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "kind": "unsafe", "slo-ms": 500, "priority": 1, "match": map[string]any{"path-prefix": prefix},
			"action": map[string]any{"service": service, "timeout-ms": 2000, "attempts": 2},
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": number,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"listeners": []any{map[string]any{
			"host": "shop.example", "rules": []any{rule("orders", "/orders/", "alpha"), rule("added", addedRoute(number), "beta")},
		}},
		"clusters": []any{cluster("alpha"), cluster("beta")},
	})
	must(err)
	v := version{number: number, sent: time.Now()}
	store.put("keyed.op", "config", text)
	v.acked = time.Now()
	return v
}

// versionLog holds the versions that were sent.
type versionLog struct {
	mu  sync.Mutex
	all []version
}

func (l *versionLog) put(store *logStore) version {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := putVersion(store, len(l.all)+1)
	l.all = append(l.all, v)
	return v
}

func (l *versionLog) newest() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// turnedAwayZone turns away the first three of nine instances at the store, which are of zone
// a, and sends a version meanwhile. The fourth instance of the zone, which nothing disturbs,
// must follow within the bound.
func turnedAwayZone(rec *record, trouble bool) (broken bool) {
	const (
		spells       = 12
		spellTime    = 4500 * time.Millisecond
		pauseTime    = 3370 * time.Millisecond // longer than contactTime
		versionDelay = 50 * time.Millisecond
		lookInterval = 200 * time.Millisecond
	)
	d := newDeployment()
	defer d.stop()
	for _, id := range []string{"front-a-1", "front-a-2", "front-a-3", "front-a-4", "front-b-1", "front-b-2", "front-c-1", "front-c-2", "front-c-3"} {
		d.addInstance(id, id[len("front-"):len("front-")+1])
	}
	versions := &versionLog{}
	versions.put(d.store)
	for _, service := range []string{"alpha", "beta"} {
		for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
			d.servers = append(d.servers, startServer(d.store, d.runs, fmt.Sprintf("i-%s-%d", service, i), service, zone, 8, 20*time.Millisecond))
		}
	}
	d.startAll()
	rec.printf("all instances are ready")
	time.Sleep(contactTime)

	c := &client{rec: rec}
	end := make(chan struct{})
	var senders sync.WaitGroup
	repeat := func(interval time.Duration, send func(*http.Transport)) {
		senders.Go(func() {
			transport := &http.Transport{}
			for {
				select {
				case <-end:
					return
				case <-time.After(interval):
				}
				send(transport)
			}
		})
	}
	for _, in := range d.instances {
		// The requests that show which configuration is in force on each node.
		repeat(lookInterval, func(transport *http.Transport) {
			newest := versions.newest()
			for _, number := range []int{newest, max(1, newest-1)} {
				c.send(transport, in, http.MethodPost, addedRoute(number), "look", 2*time.Second)
			}
		})
	}
	for _, zone := range []string{"a", "b", "c"} {
		// Clients, which connect to where the directory of the last instance sends them.
		repeat(lookInterval, func(transport *http.Transport) {
			addresses := d.instances[len(d.instances)-1].resolve(zone)
			for _, in := range d.instances {
				if slices.Contains(addresses, in.front) {
					c.send(transport, in, http.MethodPost, "/orders/1", "one order", 4*time.Second)
				}
			}
		})
	}
	away := d.instances[:3]
	for range spells {
		if trouble {
			for _, in := range away {
				in.port.turnAway(true)
			}
			rec.printf("the store resets the connections of front-a-1, front-a-2 and front-a-3")
		}
		time.Sleep(versionDelay)
		v := versions.put(d.store)
		rec.printf("version %d is acknowledged: it has %s and drops %s", v.number, addedRoute(v.number), addedRoute(v.number-1))
		time.Sleep(spellTime - versionDelay)
		for _, in := range away {
			in.port.turnAway(false)
		}
		rec.printf("the store serves all instances")
		time.Sleep(pauseTime)
	}
	close(end)
	senders.Wait()
	all, ran := c.exchanges(), d.runs.snapshot()
	writeExchanges(rec, all, ran)
	return checkVersions(rec, all, ran, versions.all, []string{"front-a-1", "front-a-2", "front-a-3"})
}

// checkVersions reports whether a request was run with a dropped route, or refused with 404
// though the route is there, later than the bound after the acknowledgement. It leaves out
// the instances that were turned away.
func checkVersions(rec *record, all []exchange, ran []run, versions []version, disturbed []string) (broken bool) {
	wasRun := map[string]bool{}
	for _, r := range ran {
		wasRun[r.id] = true
	}
	late := 0
	for _, x := range all {
		var number int
		if _, err := fmt.Sscanf(x.path, "/added-%d/", &number); err != nil || slices.Contains(disturbed, x.instance) {
			continue
		}
		// bound is the version that must be in force, newer whether another one may be.
		bound, newer := version{}, false
		for _, v := range versions {
			if v.acked.Add(configApply).Before(x.sent) {
				bound = v
			} else if v.sent.Before(x.answered) {
				newer = true
			}
		}
		what := ""
		switch {
		case wasRun[x.id] && number < bound.number:
			what = "was run with a dropped route"
		case x.status == http.StatusNotFound && number == bound.number && !newer:
			what = "was refused with 404 though the route is there"
		default:
			continue
		}
		if late++; late <= 40 {
			rec.printf("BROKEN: %s, sent to %s %.3f s after version %d was acknowledged, %s", x.id, x.instance, x.sent.Sub(bound.acked).Seconds(), bound.number, what)
		}
	}
	rec.printf("%d requests were handled as only an older version allows", late)
	return late > 0
}
