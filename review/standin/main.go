// Command review plays the script cases of review/ against the project's own program. It
// runs the stand-ins for clients, servers and the platform's store in its own process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxCaseTime limits a case. After it all processes are ended.
const maxCaseTime = 115 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// recorder is the file record.txt of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// at returns a time as seconds since the start of the case.
func (r *recorder) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
}

var cases = map[string]func(root string, rec *recorder, trouble bool) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE ROOT FOLDER")
		os.Exit(failed)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go func() {
		interrupts := make(chan os.Signal, 1)
		signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-interrupts:
		case <-time.After(maxCaseTime):
		}
		endAll()
		os.Exit(failed)
	}()
	rec := &recorder{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %t, started %s", os.Args[1], trouble, time.Now().UTC().Format(time.RFC3339))
	code := cases[os.Args[1]](os.Args[2], rec, trouble)
	rec.printf("%s", map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", failed: "the case could not run"}[code])
	_ = file.Close()
	os.Exit(code)
}
