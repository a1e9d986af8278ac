// Command rhubarbrelayd runs one instance of rhubarbrelay.
package main

import (
	"context"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/daemon"
	"rhubarbrelay/settings"
)

// The exit codes of the daemon.
const (
	exitFailed   = 1
	exitSettings = 2
	// exitInterrupted means that a second signal cut the graceful stop short.
	exitInterrupted = 3
)

// args are the arguments of the daemon.
type args struct {
	Settings string `arg:"--settings,required" help:"file with the settings"`
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
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelayd:", err)
		os.Exit(exitFailed)
	}
}

func run(s *settings.Settings) error {
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go watchSignals(signals, cancel)
	d := daemon.New(s, newLogger(s, os.Stderr))
	expvar.Publish(daemon.MetricsName, expvar.Func(d.Metrics))
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
