package scenario

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbrelay/peer"
	"rhubarbrelay/platform"
)

// restartAll implements the script command "restartall LAST_DELAY URL HOST:ID:ZONE ...". It
// kills all instances, which startSeeded has started, at the same time and starts them
// again, 5 ms after each other and the seeds LAST_DELAY later. It waits until each responds
// to the URL path with status 200 and prints the times from the first listening process to
// the first and the last success. It fails if none succeeds before the seeds are started.
func restartAll(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	delay, err := time.ParseDuration(args[0])
	ts.Check(err)
	specs := args[2:]
	for _, spec := range specs {
		ts.Check(p.running[strings.Split(spec, ":")[1]].command.Process.Signal(syscall.SIGKILL))
	}
	for _, spec := range specs {
		<-p.running[strings.Split(spec, ":")[1]].exited
	}
	var mu sync.Mutex
	var listening time.Time
	var successes []time.Time
	var waiting sync.WaitGroup
	var seedsAt time.Time
	for i, spec := range specs {
		if i == len(specs)-seededSeeds {
			time.Sleep(delay)
			seedsAt = time.Now()
		}
		fields := strings.Split(spec, ":")
		ts.Check(p.startSeeded(fields[0], fields[1], fields[2]))
		time.Sleep(5 * time.Millisecond)
		waiting.Go(func() {
			address := p.network + "." + fields[0] + ":8080"
			at := waitListening(address)
			mu.Lock()
			if listening.IsZero() || at.Before(listening) {
				listening = at
			}
			mu.Unlock()
			if waitSuccess("http://"+address+args[1], fields[1]) {
				mu.Lock()
				successes = append(successes, time.Now())
				mu.Unlock()
			}
		})
	}
	waiting.Wait()
	if len(successes) != len(specs) {
		ts.Fatalf("%d of %d instances have responded with a success", len(successes), len(specs))
	}
	first, last := successes[0], successes[len(successes)-1]
	_, _ = fmt.Fprintf(ts.Stdout(), "first success after %d ms, last after %d ms, seeds started after %d ms\n",
		first.Sub(listening).Milliseconds(), last.Sub(listening).Milliseconds(), seedsAt.Sub(listening).Milliseconds())
	if !first.Before(seedsAt) {
		ts.Fatalf("no instance has served before the seeds were started")
	}
}

// seededSeeds is the number of seeds, which are the last instances of restartall.
const seededSeeds = 2

// startSeededInstances implements the script command "seeded HOST:ID:ZONE ...". It starts
// instances that have the last two as seeds.
func startSeededInstances(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	for _, spec := range args[len(args)-seededSeeds:] {
		p.seeds = append(p.seeds, p.network+"."+strings.Split(spec, ":")[0]+":8081")
	}
	for _, spec := range args {
		fields := strings.Split(spec, ":")
		ts.Check(p.startSeeded(fields[0], fields[1], fields[2]))
	}
}

func (p *processes) startSeeded(host, id, zone string) error {
	address := p.network + "." + host
	text := fmt.Sprintf("[instance]\nid = %s\nzone = %s\nregion = r\nmemory = 184MiB\n[callers]\nlisten = %[3]s:8080\nentry = %[3]s:8083\nready = %[3]s:8084\n"+
		"[peers]\nlisten = %[3]s:8081\nseeds = %[4]s\n[admin]\nlisten = %[3]s:8082\n[store]\naddress = %[5]s.1:7000\n[stop]\ngrace = 4s\n",
		id, zone, address, strings.Join(p.seeds, ","), p.network)
	path := p.dir + "/" + id + ".ini"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return p.start(id, "rhubarbrelayd", "--settings", path)
}

// listed implements the script command "listed COUNT". It waits until the registrations in
// the store state the addresses of COUNT instances.
func listed(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	store := platform.NewStore(netip.MustParseAddrPort(processesOf(ts).network + ".1:7000"))
	addresses := map[netip.AddrPort]bool{}
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		batch, err := store.Newest(context.Background(), platform.InstanceTopic)
		ts.Check(err)
		for _, record := range batch.Records {
			registration, err := peer.DecodeRegistration(record.Value)
			ts.Check(err)
			for _, address := range registration.ZonePeers {
				addresses[address] = true
			}
		}
		if len(addresses) == want {
			return
		}
		clear(addresses)
	}
	ts.Fatalf("the registrations do not state %d instances", want)
}

func waitListening(address string) time.Time {
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			_ = c.Close()
			break
		}
	}
	return time.Now()
}

// waitSuccess repeats a request until it has status 200.
func waitSuccess(url, id string) bool {
	for i, deadline := 0, time.Now().Add(conditionTimeout); time.Now().Before(deadline); i++ {
		out, err := sendBody([]string{"POST", url, "Host:hemtape.example", "Rhubarbrelay-Deadline-Ms:1500", fmt.Sprintf("Rhubarbrelay-Attempt-Id:%s-%d", id, i)}, "")
		if err == nil && strings.HasPrefix(out, "status 200") {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}
