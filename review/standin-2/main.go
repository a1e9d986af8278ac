// Command cases runs a case of the review: the project's own daemon as separate processes,
// with stand-ins for clients, servers and the platform's store in this process.
//
//	cases NAME FOLDER
//
// It writes what was sent, answered and run to record.txt in the folder. The exit code is 1 if
// the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment it runs without the disruption.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	timeCase = 115 * time.Second
)

// report is the record of a case.
type report struct {
	begin   time.Time
	trouble bool

	mu     sync.Mutex
	out    *bufio.Writer
	breaks int
}

// log writes a line with the time since the begin.
func (r *report) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// breakRule records that the rule was broken.
func (r *report) breakRule(format string, args ...any) {
	r.mu.Lock()
	r.breaks++
	r.mu.Unlock()
	r.log("RULE BROKEN: "+format, args...)
}

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(*report, *system) error{
	"early-reset":    earlyReset,
	"last-tenant":    lastTenant,
	"pipelined-stop": pipelinedStop,
	"quota-freeze":   quotaFreeze,
	"many-attempts":  manyAttempts,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return notRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r := &report{begin: time.Now(), trouble: os.Getenv("TROUBLE") != "0", out: bufio.NewWriter(file)}
	defer func() {
		_ = r.out.Flush()
		_ = file.Close()
	}()
	s, err := newSystem()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](r, s) }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(timeCase):
		err = fmt.Errorf("the case did not end within %s", timeCase)
	}
	r.mu.Lock()
	breaks := r.breaks
	r.mu.Unlock()
	switch {
	case breaks > 0:
		fmt.Printf("rule broken %d times\n", breaks)
		return broken
	case err != nil:
		r.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	fmt.Println("rule held")
	return held
}
