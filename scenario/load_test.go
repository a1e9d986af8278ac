package scenario

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// callMany implements the script command "callmany COUNT METHOD URL ...". It sends
// COUNT requests at the same time, each with an ID of its own, and prints how many of
// them got each status. It fails if one got none.
func callMany(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	var running sync.WaitGroup
	results := make(chan string, count)
	for i := range count {
		running.Go(func() {
			out, err := sendBody(append(slices.Clone(args[1:]), fmt.Sprintf("Rhubarbrelay-Attempt-Id:many-%d", i)), "")
			status, _, _ := strings.Cut(out, "\n")
			if err != nil {
				status = "error " + err.Error()
			}
			results <- status
		})
	}
	running.Wait()
	close(results)
	statuses := map[string]int{}
	for status := range results {
		statuses[status]++
	}
	for status, n := range statuses {
		_, _ = fmt.Fprintf(ts.Stdout(), "%s: %d\n", status, n)
		if strings.HasPrefix(status, "error") {
			ts.Fatalf("request without a response: %s", status)
		}
	}
}

// peakRSS implements the script command "peakrss NAME MIB". It fails if the process
// has used more resident memory at any time.
func peakRSS(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[1])
	ts.Check(err)
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", processesOf(ts).running[args[0]].command.Process.Pid))
	ts.Check(err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if fields[0] != "VmHWM:" {
			continue
		}
		kib, err := strconv.Atoi(fields[1])
		ts.Check(err)
		ts.Logf("peak memory of %s: %d MiB", args[0], kib>>10)
		if kib>>10 > limit {
			ts.Fatalf("peak memory of %s is %d MiB, at most %d are allowed", args[0], kib>>10, limit)
		}
		return
	}
	ts.Fatalf("peak memory of %s is not known", args[0])
}
