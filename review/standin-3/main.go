// Command standin-3 runs the cases of the third review. It starts the project's own programs
// and has the stand-ins for clients, servers and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

var cases = map[string]func(rec *record, trouble bool) (broken bool){
	"turned-away-zone": turnedAwayZone,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	defer func() {
		if cause := recover(); cause != nil {
			if err, ok := cause.(setupError); ok {
				rec.printf("%v", err)
				fmt.Fprintln(os.Stderr, err)
				code = exitNotRun
				return
			}
			panic(cause)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	if cases[name](rec, trouble) {
		rec.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.printf("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
