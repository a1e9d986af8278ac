// Command rhubarbrelay is the operators' command-line tool.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"rhubarbrelay/admin"
	"rhubarbrelay/commands"
	"rhubarbrelay/queries"
	"rhubarbrelay/timeline"
)

func main() {
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// report is what a command or a query prints.
type report interface {
	WriteText(w io.Writer) error
	WriteJSON(w io.Writer) error
}

// run parses the arguments, runs the command and returns the exit code.
func run(argv []string, getenv func(string) string, stdout, stderr io.Writer) int {
	a := &args{}
	parser, err := arg.NewParser(arg.Config{Program: "rhubarbrelay", Out: stderr}, a)
	if err != nil {
		return fail(stderr, err)
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return help(parser, stdout)
	case err != nil:
		return usage(parser, stderr, err)
	case parser.Subcommand() == nil:
		return usage(parser, stderr, errors.New("a command is needed"))
	case a.Output != outputTable && a.Output != outputJSON:
		return usage(parser, stderr, fmt.Errorf("output %q: not %s or %s", a.Output, outputTable, outputJSON))
	}
	s, err := newSession(a, getenv)
	if err != nil {
		return usage(parser, stderr, err)
	}
	defer s.close()
	r, err := s.dispatch(context.Background(), a)
	if r != nil {
		write := r.WriteText
		if a.Output == outputJSON {
			write = r.WriteJSON
		}
		// The outcome of the command counts for more than its output.
		err = cmp.Or(err, write(stdout))
	}
	if err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

func help(parser *arg.Parser, w io.Writer) int {
	names := parser.SubcommandNames()
	if err := parser.WriteHelpForSubcommand(w, names...); err != nil {
		return exitFailed
	}
	if len(names) == 1 {
		_, _ = fmt.Fprintf(w, "\nExample:\n  %s\n", examples()[names[0]])
		return exitOK
	}
	_, _ = io.WriteString(w, exitHelp)
	return exitOK
}

func usage(parser *arg.Parser, w io.Writer, err error) int {
	_ = parser.WriteUsageForSubcommand(w, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(w, "rhubarbrelay:", err)
	return exitUsage
}

func fail(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, "rhubarbrelay:", err)
	return exitCode(err)
}

// session is what the commands of one run share.
type session struct {
	group  *admin.Group
	getenv func(string) string
}

// errNoAdmin reports that no instance is named.
var errNoAdmin = errors.New("no instance: --admin or " + envAdmin + " is needed")

func newSession(a *args, getenv func(string) string) (*session, error) {
	lists := a.Admin
	if len(lists) == 0 && getenv(envAdmin) != "" {
		lists = []string{getenv(envAdmin)}
	}
	addresses, err := parseAddresses(lists)
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 && a.Check == nil && a.Load == nil {
		return nil, errNoAdmin
	}
	token := cmp.Or(a.Token, getenv(envToken))
	return &session{group: admin.NewGroup(addresses, admin.WithClientToken(token)), getenv: getenv}, nil
}

func (s *session) close() { s.group.Close() }

// dispatch runs the command. The report may be set together with the error.
func (s *session) dispatch(ctx context.Context, a *args) (report, error) {
	switch {
	case a.Publish != nil:
		return s.publish(ctx, a.Publish)
	case a.Delete != nil:
		cmd := &commands.Delete{Group: s.group, Author: s.author(a.Delete.Author), ID: a.Delete.ID, Wait: waiter(a.Delete.changeArgs)}
		return orNil(cmd.Run(ctx, a.Delete.Service))
	case a.Drain != nil:
		return s.drain(ctx, a.Drain, false)
	case a.Undrain != nil:
		return s.drain(ctx, a.Undrain, true)
	case a.Check != nil:
		return s.check(a.Check)
	case a.Diff != nil:
		return s.diff(ctx, a.Diff)
	case a.Show != nil:
		return s.show(ctx, a.Show)
	case a.Status != nil:
		r, err := queries.Status(ctx, s.group, a.Status.Targets)
		if err != nil {
			return nil, err
		}
		return r, nil
	case a.Timeline != nil:
		return s.timeline(ctx, a.Timeline)
	case a.Load != nil:
		return nil, runLoad(ctx, a.Load)
	default:
		// Guards against a subcommand that was added to args without a case here.
		// The parser refuses a call without a subcommand.
		return nil, errors.New("command has no case in dispatch")
	}
}

// orNil keeps a nil report from becoming a report that is not nil.
func orNil(r *commands.Report, err error) (report, error) {
	if r == nil {
		return nil, err
	}
	return r, err
}

func (s *session) author(option string) string {
	return cmp.Or(option, s.getenv(envAuthor), s.getenv("USER"))
}

func waiter(a changeArgs) *commands.Waiter {
	if !a.Wait {
		return nil
	}
	return &commands.Waiter{Timeout: a.Timeout}
}

func (s *session) publish(ctx context.Context, a *publishArgs) (report, error) {
	bases, err := parseBases(a.Base)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	document, err := readDocument(a.File)
	if err != nil {
		return nil, err
	}
	cmd := &commands.Publish{Group: s.group, Author: s.author(a.Author), ID: a.ID, Bases: bases, Wait: waiter(a.changeArgs)}
	return orNil(cmd.Run(ctx, document))
}

func (s *session) drain(ctx context.Context, a *drainArgs, undrain bool) (report, error) {
	cmd := &commands.Drain{Group: s.group, Author: s.author(a.Author), ID: a.ID, Undrain: undrain, Wait: waiter(a.changeArgs)}
	return orNil(cmd.Run(ctx, a.Name))
}

func (s *session) check(a *fileArgs) (report, error) {
	document, err := readDocument(a.File)
	if err != nil {
		return nil, err
	}
	r, err := queries.Check(document)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", a.File, err)
	}
	return r, nil
}

func (s *session) diff(ctx context.Context, a *fileArgs) (report, error) {
	document, err := readDocument(a.File)
	if err != nil {
		return nil, err
	}
	r, err := queries.Diff(ctx, s.group, document)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (s *session) show(ctx context.Context, a *showArgs) (report, error) {
	if a.Service == "" {
		r, err := queries.ShowServices(ctx, s.group)
		if err != nil {
			return nil, err
		}
		return r, nil
	}
	r, err := queries.ShowService(ctx, s.group, a.Service)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (s *session) timeline(ctx context.Context, a *timelineArgs) (report, error) {
	f := timeline.Filter{Request: a.Request, Target: a.Target, Service: a.Service, Limit: a.Limit}
	var err error
	if a.Since != "" {
		if f.After, err = queries.ParseTime(a.Since, time.Now()); err != nil {
			return nil, err
		}
	}
	if a.Until != "" {
		if f.Before, err = queries.ParseTime(a.Until, time.Now()); err != nil {
			return nil, err
		}
	}
	r, err := queries.Timeline(ctx, s.group, f)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// readDocument reads the file that the operator names.
func readDocument(path string) ([]byte, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return text, nil
}
