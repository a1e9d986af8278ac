package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// entryTTLFactor is how much longer than the time to live some clients keep an entry
// response.
const entryTTLFactor = 3

// directory is a client's view of where to connect: it asks an instance and keeps the
// response for its time to live, or three times as long.
type directory struct {
	deployment *deployment
	zone       string
	keepsLong  bool
	addresses  []string
	until      time.Time
	http       http.Client
}

func newDirectory(d *deployment, zone string, keepsLong bool) *directory {
	return &directory{deployment: d, zone: zone, keepsLong: keepsLong, http: http.Client{Timeout: time.Second}}
}

// address returns a random address to connect to, empty if none is known.
func (e *directory) address() string {
	if !time.Now().Before(e.until) {
		e.refresh()
	}
	if len(e.addresses) == 0 {
		return ""
	}
	return e.addresses[rand.IntN(len(e.addresses))]
}

func (e *directory) refresh() {
	all := e.deployment.instances
	for _, i := range rand.Perm(len(all))[:min(3, len(all))] {
		resp, err := e.http.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=%s&region=midlands&zone=%s", all[i].ip, all[i].ports.directory, host, e.zone))
		if err != nil {
			continue
		}
		var m struct {
			Addresses []string `json:"addrs"`
			TTL       float64  `json:"ttl-s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&m)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(m.Addresses) == 0 {
			continue
		}
		kept := time.Duration(m.TTL * float64(time.Second))
		if e.keepsLong {
			kept *= entryTTLFactor
		}
		e.addresses, e.until = m.Addresses, time.Now().Add(kept)
		return
	}
}

// watchReadiness asks every instance once a second whether it is ready, as the platform
// does, until stop is closed.
func (d *deployment) watchReadiness(stop <-chan struct{}) {
	for _, in := range d.instances {
		go func() {
			client := http.Client{Timeout: time.Second}
			for {
				if resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", in.ip, in.ports.ready)); err == nil {
					_ = resp.Body.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
}
