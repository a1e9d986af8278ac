package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// background are the calls of a scenario that are in progress, by name.
type background map[string]chan reply

// reply is the result of a call.
type reply struct {
	out string
	err error
}

type backgroundKey struct{}

// startProxy starts a network path that can fail: proxy NAME HOST TO:PORT. It
// listens on port 9000 of $NET.HOST and is controlled on port 9900.
func startProxy(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: proxy NAME HOST TO:PORT")
	}
	p := processesOf(ts)
	check(ts, p.startProxy(args[0], args[1], args[2]))
	awaitListener(ts, p.network+"."+args[1]+":9000")
}

func (p *processes) startProxy(name, host, to string) error {
	return p.start(name, "standin", "proxy", "--to", p.network+"."+to,
		"--listen", p.network+"."+host+":9000", "--control", p.network+"."+host+":9900")
}

// ask sends a request in the background: ask NAME METHOD URL ...
func ask(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: ask NAME METHOD URL [Name:value ...] [@file]")
	}
	answered := make(chan reply, 1)
	calls, ok := ts.Value(backgroundKey{}).(background)
	if !ok {
		ts.Fatalf("no background calls")
	}
	calls[args[0]] = answered
	go func() {
		out, err := send(ts, args[1:])
		answered <- reply{out, err}
	}()
}

// answered waits for a background call and prints its answer: answered NAME.
// With a leading ! the caller must have got none.
func answered(ts *testscript.TestScript, neg bool, args []string) {
	calls, _ := ts.Value(backgroundKey{}).(background)
	if len(args) != 1 || calls[args[0]] == nil {
		ts.Fatalf("usage: answered NAME")
	}
	r := <-calls[args[0]]
	if (r.err != nil) != neg {
		ts.Fatalf("call %s: %v\n%s", args[0], r.err, r.out)
	}
	_, _ = fmt.Fprint(ts.Stdout(), r.out)
}

// makeKey sets a variable to a new idempotency key of the instance at the host:
// key VARIABLE HOST.
func makeKey(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: key VARIABLE HOST")
	}
	prefix, err := keyPrefix(processesOf(ts).network+"."+args[1]+":8080", conditionTimeout)
	check(ts, err)
	ts.Setenv(args[0], newKey(prefix, ts.Name()+args[0]))
}

func newKey(prefix, random string) string {
	return prefix + "~" + strconv.FormatInt(time.Now().UnixMilli(), 10) + "~" + random
}

// keyPrefix asks the instance at the address for the prefix of its keys.
func keyPrefix(address string, timeout time.Duration) (string, error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/.well-known/rhubarbrelay/entry?service=spoolkeep&zone=mid-a")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []struct {
			Address   string `json:"address"`
			KeyPrefix string `json:"key_prefix"`
		} `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", err
	}
	for _, a := range answer.Addresses {
		if a.Address == address {
			return a.KeyPrefix, nil
		}
	}
	return "", fmt.Errorf("entry answer of %s does not name it", address)
}

// ran checks how often the targets ran a request, killed targets included: ran
// ID COUNT. The targets keep their runs in $WORK/NAME.runs.
func ran(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: ran ID COUNT")
	}
	runs, err := countRuns(processesOf(ts).dir)
	check(ts, err)
	if got := strconv.Itoa(runs[args[0]]); got != args[1] {
		ts.Fatalf("request %s ran %s times, not %s", args[0], got, args[1])
	}
}

// awaitRun waits until a target has begun to run a request: running ID.
func awaitRun(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(conditionTimeout)
	for time.Now().Before(deadline) {
		runs, err := countRuns(processesOf(ts).dir)
		check(ts, err)
		if runs[args[0]] > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("request %s did not run", args[0])
}

func countRuns(dir string) (map[string]int, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.runs"))
	if err != nil {
		return nil, err
	}
	runs := map[string]int{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for id := range strings.FieldsSeq(string(text)) {
			runs[id]++
		}
	}
	return runs, nil
}

// startBehindPath starts an instance that its peers reach only through a proxy:
// instance_behind ID ZONE HOST PROXY-HOST. The proxy's name is path-ID.
func startBehindPath(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 4 {
		ts.Fatalf("usage: instance_behind ID ZONE HOST PROXY-HOST")
	}
	p := processesOf(ts)
	id, zone, host, path := args[0], args[1], args[2], args[3]
	startProxy(ts, false, []string{"path-" + id, path, host + ":8081"})
	extra := filepath.Join(p.dir, id+"-peers.ini")
	check(ts, os.WriteFile(extra, []byte(advertise(p.network+"."+path)), 0o600))
	url, body := listLine(p.network, id, zone, host, p.network+"."+path+":9000")
	check(ts, ts.Exec("standin", "put", url, "--body", body))
	startInstance(ts, false, []string{id, zone, host, "unlisted", extra})
}

// advertise returns settings of an instance behind a proxy at the address.
func advertise(path string) string {
	return "[peers]\nadvertise = " + path + ":9000\n"
}

// listLine returns the request that puts an instance on the platform's list.
func listLine(network, id, zone, host, peer string) (url, body string) {
	return "http://" + network + ".1:7000/standin/instances", fmt.Sprintf(
		`{"id":%q,"role":"entry","zone":%q,"state":"live","caller_address":"%[4]s:8080","peer_address":%[3]q,"admin_address":"%[4]s:8082"}`,
		id, zone, peer, network+"."+host)
}
