package commands

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/netip"

	"rhubarbrelay/header"
	"rhubarbrelay/loadtest"
)

// ErrLoadFailed reports a load run in which something was doubled, lost,
// wrongly called not run, or answered with another caller's body.
var ErrLoadFailed = errors.New("load run broke a guarantee")

// Load drives open-loop load through the instances and checks it against what
// the stand-in targets counted.
type Load struct {
	Profile *loadtest.Profile
	Label   string
	// Entries are the addresses of some instances.
	Entries []netip.AddrPort
	// Direct sends the requests to the targets, without any instance.
	Direct bool
	// Zones are the zones in which callers run; requests go to them in turn.
	Zones []string
	// Targets are the stand-in targets to check against, none for no check.
	Targets []netip.AddrPort
	// ForbidUnknown makes a run fail in which a caller did not learn whether
	// its request ran.
	ForbidUnknown bool
	// SaveTo is the file that keeps the report, empty for none.
	SaveTo string
	Out    io.Writer
}

// Run drives the load and prints the report. The error wraps ErrLoadFailed
// when a guarantee was broken.
func (l *Load) Run(ctx context.Context) error {
	trace := loadtest.NewTrace(l.Profile, rand.Text())
	report := loadtest.Run(ctx, l.Label, l.Profile, trace, l.callers())
	if err := loadtest.WriteTable(l.Out, []*loadtest.Report{report}); err != nil {
		return err
	}
	if l.SaveTo != "" {
		if err := report.Save(l.SaveTo); err != nil {
			return err
		}
	}
	if report.Wrong > 0 || l.ForbidUnknown && report.Outcomes[header.OutcomeUnknown] > 0 {
		return ErrLoadFailed
	}
	return l.check(report)
}

func (l *Load) callers() []*loadtest.Caller {
	if l.Direct {
		return []*loadtest.Caller{loadtest.NewDirectCaller(l.Profile.Service, l.Targets)}
	}
	callers := make([]*loadtest.Caller, 0, len(l.Zones))
	for _, zone := range l.Zones {
		callers = append(callers, loadtest.NewCaller(l.Profile.Service, zone, l.Entries))
	}
	return callers
}

func (l *Load) check(report *loadtest.Report) error {
	if len(l.Targets) == 0 {
		return nil
	}
	verdict, err := loadtest.Check(report, l.Targets)
	if err != nil {
		return err
	}
	if err := verdict.Write(l.Out); err != nil {
		return err
	}
	if !verdict.Clean() {
		return ErrLoadFailed
	}
	return nil
}
