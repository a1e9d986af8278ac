// Command rhubarbrelay is the operators' command-line tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/commands"
	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/queries"
	"rhubarbrelay/timeline"
)

// The exit codes of the tool.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitConflict  = 3
	exitUncertain = 4
)

// callTimeout bounds the calls of the store.
const callTimeout = 10 * time.Second

type fileArgs struct {
	File string `arg:"positional,required" help:"file with the configuration"`
}

type instanceArgs struct {
	Admin []netip.AddrPort `arg:"--admin,required,env:RHUBARBRELAY_ADMIN" help:"administration addresses of instances"`
	Token string           `arg:"--token,env:RHUBARBRELAY_TOKEN" help:"bearer token of the instances"`
}

type timelineArgs struct {
	instanceArgs
	Request string `arg:"--request" help:"only events about the request with this ID"`
	Service string `arg:"--service" help:"only events about this service"`
	Target  string `arg:"--target" help:"only events about the target with this ID"`
	Limit   int    `arg:"--limit" help:"only the newest events"`
}

type args struct {
	Check    *fileArgs      `arg:"subcommand:check" help:"check a file and print its routes"`
	Diff     *fileArgs      `arg:"subcommand:diff" help:"print what publishing a file would change"`
	Publish  *fileArgs      `arg:"subcommand:publish" help:"publish a file as the next version"`
	Show     *struct{}      `arg:"subcommand:show" help:"print the published configuration"`
	Status   *instanceArgs  `arg:"subcommand:status" help:"print the state of instances"`
	Timeline *timelineArgs  `arg:"subcommand:timeline" help:"print the events of instances in one order"`
	Store    netip.AddrPort `arg:"--store,env:RHUBARBRELAY_STORE" help:"address of the store, for diff, publish and show"`
}

// Epilogue ends the help.
func (args) Epilogue() string {
	return "Example:\n  rhubarbrelay --store 10.200.1.7:8142 publish services.ini\n\n" +
		"Exit codes:\n  0  done\n  1  failed, nothing was changed\n  2  usage or invalid file\n" +
		"  3  another change was published at once\n  4  unknown whether the change was published"
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("a command is needed")
	}
	if err := run(&a, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelay:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, config.ErrInvalid):
		return exitUsage
	case errors.Is(err, platform.ErrConflict):
		return exitConflict
	case errors.Is(err, commands.ErrOutcomeUnknown):
		return exitUncertain
	}
	return exitFailed
}

var errNoStore = errors.New("no store: --store or RHUBARBRELAY_STORE is needed")

func run(a *args, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch {
	case a.Status != nil:
		return queries.Client{Token: a.Status.Token}.Status(ctx, a.Status.Admin, out)
	case a.Timeline != nil:
		t := a.Timeline
		filter := timeline.Filter{Request: t.Request, Service: t.Service, Target: t.Target, Limit: t.Limit}
		return queries.Client{Token: t.Token}.Timeline(ctx, t.Admin, filter, out)
	case a.Check != nil:
		d, err := load(a.Check.File)
		if err != nil {
			return err
		}
		return queries.PrintRoutes(d, out)
	}
	return runStore(ctx, a, out)
}

// runStore runs the commands that need the store.
func runStore(ctx context.Context, a *args, out io.Writer) error {
	if !a.Store.IsValid() {
		return errNoStore
	}
	store := platform.NewStore(a.Store)
	if a.Publish != nil {
		d, err := load(a.Publish.File)
		if err != nil {
			return err
		}
		return commands.Publish(ctx, store, d, out)
	}
	published, _, err := commands.LatestConfig(ctx, store)
	if err != nil {
		return err
	}
	if a.Diff != nil {
		d, err := load(a.Diff.File)
		if err != nil {
			return err
		}
		return queries.Diff(published, d, out)
	}
	if published == nil {
		return errors.New("nothing is published yet")
	}
	return queries.Show(published, out)
}

func load(path string) (*config.Document, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, err
	}
	d, err := config.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}
