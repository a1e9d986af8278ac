// Command rhubarbrelayd runs one instance of rhubarbrelay.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"rhubarbrelay/daemon"
	"rhubarbrelay/settings"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
)

// The exit codes of the daemon.
const (
	exitFailed   = 1
	exitSettings = 2
)

type args struct {
	Settings string `arg:"--settings,required" help:"file with the settings"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
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
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// After the first signal the default action returns, so that a second one
	// ends the process at once.
	context.AfterFunc(stop, cancel)
	return daemon.New(s, newLogger(s.Log)).Run(stop)
}

func newLogger(l settings.Log) log.Interface {
	logger := &log.Logger{Handler: text.New(os.Stderr), Level: log.MustParseLevel(l.Level)}
	if l.Format == "json" {
		logger.Handler = json.New(os.Stderr)
	}
	return logger
}
