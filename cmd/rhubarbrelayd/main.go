// Command rhubarbrelayd runs an instance of the rhubarbrelay load balancer.
package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	_ "runtime/cgo" // The platform requires programs that are linked to the C library.
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"

	"rhubarbrelay/daemon"
	"rhubarbrelay/logwriter"
	"rhubarbrelay/settings"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitInterrupted means that SIGINT ended the graceful shutdown.
	exitInterrupted = 3
)

// memoryLimitFraction is the fraction of the configured memory that is set as the
// memory limit of the Go runtime. The rest is for what this limit does not cover,
// such as thread stacks and kernel buffers.
const memoryLimitFraction = 0.7

// args are the command-line arguments.
type args struct {
	Settings string `arg:"--settings,required,env:RHUBARBRELAY_BOOT" help:"settings file"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Epilogue returns the text at the end of the help.
func (args) Epilogue() string {
	return "Example:\n  rhubarbrelayd --check --settings /etc/rhubarbrelayd.ini\n\n" +
		"Exit codes:\n  0  graceful shutdown, or the settings are valid\n  1  failure\n  2  usage error or invalid settings\n  3  terminated by SIGINT during the shutdown"
}

func main() {
	var a args
	arg.MustParse(&a)
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelayd:", err)
		os.Exit(exitUsage)
	}
	if a.Check {
		fmt.Println("settings are valid")
		return
	}
	if err := run(a.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelayd:", err)
		os.Exit(exitFailure)
	}
}

func run(path string, s *settings.Settings) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Instance.Memory)))
	stopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)

	logWriter := logwriter.NewWriter(os.Stdout)
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var writerGroup sync.WaitGroup
	writerGroup.Go(func() { logWriter.Run(writerCtx) })
	defer func() {
		stopWriter()
		writerGroup.Wait()
	}()
	logger := newLogger(s, logWriter)
	go watchSignals(signals, cancel, logger)
	d := daemon.New(s, logger)
	expvar.Publish(daemon.MetricsName, expvar.Func(func() any { return d.Metrics(logWriter.Stats()) }))
	go daemon.WatchSettings(stopCtx, path, hangups, d.Reload)
	return d.Run(stopCtx)
}

// watchSignals starts the graceful shutdown at the first signal. A further SIGTERM changes
// nothing, as it must not cost requests; a further SIGINT, with which an operator ends the
// wait, ends the process at once. It handles all signals itself: if it restored the default
// action after the first one, a second signal that arrives before that would be lost.
func watchSignals(signals <-chan os.Signal, stop func(), logger log.Interface) {
	<-signals
	stop()
	for s := range signals {
		if s == syscall.SIGINT {
			os.Exit(exitInterrupted)
		}
		logger.Info("instance is shutting down already, the signal is ignored")
	}
}
