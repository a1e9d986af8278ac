// Command rhubarbrelayd runs one instance of rhubarbrelay.
package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	_ "runtime/cgo" // The platform requires a program that is linked to the C library.
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/daemon"
	"rhubarbrelay/eventlog"
	"rhubarbrelay/settings"
)

// The exit codes of the daemon.
const (
	exitFailed   = 1
	exitSettings = 2
	// exitInterrupted means that a second signal cut the graceful stop short.
	exitInterrupted = 3
)

// heapShare is the part of the allowed memory that the heap may take; the rest
// is for stacks and buffers of the kernel.
const heapShare = 0.7

// args are the arguments of the daemon.
type args struct {
	Settings string `arg:"--settings,required,env:RHUBARBRELAY_BOOT" help:"file with the settings"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Epilogue ends the help.
func (args) Epilogue() string {
	return "Example:\n  rhubarbrelayd --check --settings /etc/rhubarbrelayd.ini\n\n" +
		"Exit codes:\n  0  stopped gracefully, or the settings are valid\n  1  failed\n  2  usage or invalid settings\n  3  ended by a second signal"
}

func main() {
	var a args
	arg.MustParse(&a)
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelayd:", err)
		os.Exit(exitSettings)
	}
	if a.Check {
		fmt.Println("settings are valid")
		return
	}
	if err := run(a.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelayd:", err)
		os.Exit(exitFailed)
	}
}

func run(path string, s *settings.Settings) error {
	debug.SetMemoryLimit(int64(heapShare * float64(s.Instance.Memory)))
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go watchSignals(signals, cancel)

	lines := eventlog.NewWriter(os.Stdout)
	writing, stopWriting := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { lines.Run(writing) })
	defer func() {
		stopWriting()
		writer.Wait()
	}()
	d := daemon.New(s, newLogger(s, lines))
	expvar.Publish(daemon.MetricsName, expvar.Func(func() any { return d.Metrics(lines.Stats()) }))
	go daemon.WatchSettings(stop, path, hangups, d.Reload)
	return d.Run(stop)
}

// watchSignals starts the graceful stop at the first signal and ends the
// process at the second. It receives both itself: if it gave the signal its
// default action back in between, a second signal that came sooner was lost.
func watchSignals(signals <-chan os.Signal, stop func()) {
	<-signals
	stop()
	<-signals
	os.Exit(exitInterrupted)
}
