package scenario

import (
	"fmt"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// watchInterval is the time between two calls of a watch.
const watchInterval = 20 * time.Millisecond

// watch repeats a call in the background.
type watch struct {
	stop     chan struct{}
	violated chan string // receives the first response with the text, or "" at the end
}

// never implements the script command "never NAME TEXT METHOD URL ...". It repeats a
// call until "held NAME", which fails if a response contained TEXT. Calls without a
// response do not count.
func never(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: never NAME TEXT METHOD URL ...")
	}
	w := &watch{stop: make(chan struct{}), violated: make(chan string, 1)}
	processesOf(ts).watches[args[0]] = w
	go func() {
		for {
			select {
			case <-w.stop:
				w.violated <- ""
				return
			case <-time.After(watchInterval):
			}
			if out, err := sendBody(args[2:], ""); err == nil && strings.Contains(out, args[1]) {
				w.violated <- fmt.Sprintf("at %s: %s", time.Now().Format(time.RFC3339Nano), out)
				return
			}
		}
	}()
}

// held implements the script command "held NAME". It ends a watch started by never.
func held(ts *testscript.TestScript, _ bool, args []string) {
	w := processesOf(ts).watches[args[0]]
	close(w.stop)
	if out := <-w.violated; out != "" {
		ts.Fatalf("%s did not hold: %s", args[0], out)
	}
}
