// Command rhubarbrelay is the command-line tool for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/commands"
	"rhubarbrelay/config"
	"rhubarbrelay/platform"
	"rhubarbrelay/queries"
	"rhubarbrelay/timeline"
)

// Exit codes.
const (
	exitFailure            = 1
	exitUsage              = 2
	exitConflict           = 3
	exitOutcomeUnknown     = 4
	exitAppendedToRestored = 5
)

// maxKeyInput limits the bytes that are read of an API key.
const maxKeyInput = 4096

// commandTimeout limits the run time of a command.
const commandTimeout = 10 * time.Second

type fileArgs struct {
	File string `arg:"positional,required" help:"configuration file"`
}

type checkArgs struct {
	fileArgs
	Compare bool   `arg:"--compare" help:"also list the differences from the published configuration"`
	Format  string `arg:"--format" default:"text" help:"text or json"`
}

type publishArgs struct {
	fileArgs
	WithoutKeys bool `arg:"--without-keys" help:"let requests need no API key any more"`
}

type zoneArgs struct {
	Zone string `arg:"positional,required" help:"name of the zone"`
}

type addKeyArgs struct {
	Tenant string `arg:"positional,required" help:"name of the tenant"`
}

type revokeKeyArgs struct {
	Tenant string `arg:"positional,required" help:"name of the tenant"`
	Digest string `arg:"positional,required" help:"digest of the key, or the beginning of it"`
}

type instanceArgs struct {
	Admin []netip.AddrPort `arg:"--admin,required,env:RHUBARBRELAY_ADMIN" help:"administration addresses of the instances"`
	Token string           `arg:"--token,env:RHUBARBRELAY_TOKEN" help:"bearer token for the administration API"`
}

type timelineArgs struct {
	instanceArgs
	Request string `arg:"--request" help:"show only events of the request with this ID"`
	Service string `arg:"--service" help:"show only events of this service"`
	Target  string `arg:"--target" help:"show only events of the target with this ID"`
	Limit   int    `arg:"--limit" help:"show only this many of the newest events"`
}

type args struct {
	Check       *checkArgs     `arg:"subcommand:check" help:"validate a configuration file, print likely mistakes and its routes"`
	Diff        *fileArgs      `arg:"subcommand:diff" help:"print the difference between the published configuration and a file"`
	Publish     *publishArgs   `arg:"subcommand:publish" help:"publish a configuration file as the next version"`
	Show        *struct{}      `arg:"subcommand:show" help:"print the published configuration"`
	Status      *instanceArgs  `arg:"subcommand:status" help:"print the status of instances"`
	Timeline    *timelineArgs  `arg:"subcommand:timeline" help:"print the merged events of instances in chronological order"`
	Evacuate    *zoneArgs      `arg:"subcommand:evacuate" help:"stop sending requests to the targets of a zone"`
	Restore     *zoneArgs      `arg:"subcommand:restore" help:"end the evacuation of a zone"`
	Evacuations *struct{}      `arg:"subcommand:evacuations" help:"list the evacuated zones"`
	Tenants     *struct{}      `arg:"subcommand:tenants" help:"print the published tenants with the digests of their API keys"`
	AddKey      *addKeyArgs    `arg:"subcommand:add-key" help:"add the API key that is read from the standard input to a tenant"`
	RevokeKey   *revokeKeyArgs `arg:"subcommand:revoke-key" help:"remove an API key from a tenant"`
	Store       netip.AddrPort `arg:"--store,env:RHUBARBRELAY_STORE" help:"address of the store (for all commands but check, status and timeline)"`
}

// Epilogue returns the text at the end of the help.
func (args) Epilogue() string {
	return "Example:\n  rhubarbrelay --store 10.200.1.7:8142 publish services.ini\n\n" +
		"Exit codes:\n  0  success\n  1  failure, nothing was changed\n  2  usage error or invalid file\n" +
		"  3  conflict with a concurrent change\n  4  unknown whether the change was published\n" +
		"  5  published to a store that was restored meanwhile; check the configuration in force"
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("missing command")
	}
	if err := run(&a, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rhubarbrelay:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, config.ErrInvalid), errors.Is(err, commands.ErrInvalidZone), errors.Is(err, commands.ErrAdmitsWithoutKey):
		return exitUsage
	case errors.Is(err, platform.ErrConflict):
		return exitConflict
	case errors.Is(err, commands.ErrOutcomeUnknown):
		return exitOutcomeUnknown
	case errors.Is(err, commands.ErrAppendedToRestored):
		return exitAppendedToRestored
	}
	return exitFailure
}

// formatJSON is the value of --format for programs.
const formatJSON = "json"

var errNoStore = errors.New("no store address: set --store or RHUBARBRELAY_STORE")

func run(a *args, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	switch {
	case a.Status != nil:
		return queries.Client{Token: a.Status.Token}.Status(ctx, a.Status.Admin, out)
	case a.Timeline != nil:
		t := a.Timeline
		filter := timeline.Filter{Request: t.Request, Service: t.Service, Target: t.Target, Limit: t.Limit}
		return queries.Client{Token: t.Token}.Timeline(ctx, t.Admin, filter, out)
	case a.Check != nil:
		return check(ctx, a, out)
	}
	return runStore(ctx, a, in, out)
}

// errFindings means that a valid configuration has likely mistakes.
var errFindings = errors.New("configuration has likely mistakes")

// check prints the findings in a file and, if it has none and the format is text, its
// routes.
func check(ctx context.Context, a *args, out io.Writer) error {
	text, err := os.ReadFile(a.Check.File)
	if err != nil {
		return err
	}
	d, _, err := loadDocument(a.Check.File)
	if err != nil {
		return err
	}
	opts := commands.CheckOptions{File: a.Check.File, Text: text, JSON: a.Check.Format == formatJSON}
	if a.Check.Compare {
		if !a.Store.IsValid() {
			return errNoStore
		}
		if opts.InForce, _, err = commands.LatestConfig(ctx, platform.NewStore(a.Store)); err != nil {
			return err
		}
	}
	n, err := commands.Check(d, opts, out)
	switch {
	case err != nil:
		return err
	case n > 0:
		return fmt.Errorf("%s: %w: %d", a.Check.File, errFindings, n)
	case opts.JSON:
		return nil
	}
	return queries.PrintRoutes(d, out)
}

// runStore runs the commands that use the store.
func runStore(ctx context.Context, a *args, in io.Reader, out io.Writer) error {
	if !a.Store.IsValid() {
		return errNoStore
	}
	store := platform.NewStore(a.Store)
	switch {
	case a.Evacuate != nil:
		return commands.Evacuate(ctx, store, a.Evacuate.Zone, out)
	case a.Restore != nil:
		return commands.EndEvacuation(ctx, store, a.Restore.Zone, out)
	case a.Evacuations != nil:
		return commands.ListEvacuations(ctx, store, out)
	case a.Publish != nil:
		return publish(ctx, store, a.Publish, out)
	case a.AddKey != nil:
		key, err := io.ReadAll(io.LimitReader(in, maxKeyInput))
		if err != nil {
			return err
		}
		return commands.AddKey(ctx, store, a.AddKey.Tenant, strings.TrimSpace(string(key)), out)
	case a.RevokeKey != nil:
		return commands.RevokeKey(ctx, store, a.RevokeKey.Tenant, a.RevokeKey.Digest, out)
	}
	published, _, err := commands.LatestConfig(ctx, store)
	if err != nil {
		return err
	}
	if a.Diff != nil {
		d, _, err := loadDocument(a.Diff.File)
		if err != nil {
			return err
		}
		return queries.Diff(published, d, out)
	}
	if published == nil {
		return errors.New("no configuration has been published yet")
	}
	if a.Tenants != nil {
		return queries.PrintTenants(published, out)
	}
	return queries.Show(published, out)
}

func publish(ctx context.Context, store commands.Store, a *publishArgs, out io.Writer) error {
	d, keys, err := loadDocument(a.File)
	if err != nil {
		return err
	}
	var opts []commands.PublishOption
	if a.WithoutKeys {
		opts = append(opts, commands.WithoutKeys())
	}
	return commands.Publish(ctx, store, d, keys, out, opts...)
}

func loadDocument(path string) (*config.Document, config.Keys, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator chooses the file.
	if err != nil {
		return nil, nil, err
	}
	d, keys, err := config.ParseWithKeys(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, keys, nil
}
