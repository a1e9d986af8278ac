package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"rhubarbrelay/commands"
	"rhubarbrelay/loadtest"
)

// loadArgs are the arguments of the load and experiment tool.
type loadArgs struct {
	Run    *loadRunArgs    `arg:"subcommand:run" help:"drive open-loop load through the instances"`
	Ideal  *loadIdealArgs  `arg:"subcommand:ideal" help:"compute the ideal central queue over the same trace"`
	Report *loadReportArgs `arg:"subcommand:report" help:"compare saved reports in a table and a plot"`
}

type loadRunArgs struct {
	Profile string `arg:"positional,required" help:"file with the load profile"`
	Label   string `arg:"--label" default:"run" help:"name of the run in reports"`
	Entries string `arg:"--entries" help:"callers' addresses of some instances, comma separated"`
	Zones   string `arg:"--zones" help:"zones of the callers, comma separated"`
	Direct  bool   `arg:"--direct" help:"send to the targets, without any instance"`
	Targets string `arg:"--targets" help:"stand-in targets to check against, comma separated"`
	Seed    uint64 `arg:"--seed" help:"replaces the seed of the profile"`
	SaveTo  string `arg:"--save" help:"file that keeps the report"`
	Known   bool   `arg:"--forbid-unknown" help:"fail if a caller did not learn whether its request ran"`
}

type loadIdealArgs struct {
	Profile string `arg:"positional,required" help:"file with the load profile"`
	Targets int    `arg:"--targets" default:"20" help:"number of targets"`
	Slots   int    `arg:"--slots" default:"4" help:"slots of each target"`
	Seed    uint64 `arg:"--seed" help:"replaces the seed of the profile"`
	SaveTo  string `arg:"--save" help:"file that keeps the report"`
}

type loadReportArgs struct {
	Reports []string `arg:"positional,required" help:"files with saved reports"`
	Title   string   `arg:"--title" default:"short requests" help:"title of the plot"`
	Plot    string   `arg:"--plot" help:"PNG or SVG file for the plot"`
	Seconds bool     `arg:"--by-second" help:"print answered requests and p99 for each second of the runs"`
}

func runLoad(ctx context.Context, a *loadArgs) error {
	switch {
	case a.Run != nil:
		return runLoadRun(ctx, a.Run)
	case a.Ideal != nil:
		return runLoadIdeal(a.Ideal)
	case a.Report != nil:
		return runLoadReport(a.Report)
	default:
		return fmt.Errorf("%w: load needs run, ideal or report", errUsage)
	}
}

func runLoadRun(ctx context.Context, a *loadRunArgs) error {
	profile, err := loadProfile(a.Profile, a.Seed)
	if err != nil {
		return err
	}
	entries, err := optionalAddresses(a.Entries)
	if err != nil {
		return err
	}
	targets, err := optionalAddresses(a.Targets)
	if err != nil {
		return err
	}
	if len(entries) == 0 && !a.Direct || len(targets) == 0 && a.Direct {
		return fmt.Errorf("%w: load run needs --entries and --zones, or --direct and --targets", errUsage)
	}
	load := &commands.Load{
		Profile: profile, Label: a.Label, Entries: entries, Zones: strings.Split(a.Zones, ","), Direct: a.Direct,
		Targets: targets, ForbidUnknown: a.Known, SaveTo: a.SaveTo, Out: os.Stdout,
	}
	return load.Run(ctx)
}

func runLoadIdeal(a *loadIdealArgs) error {
	profile, err := loadProfile(a.Profile, a.Seed)
	if err != nil {
		return err
	}
	report := loadtest.IdealReport(profile, loadtest.NewTrace(profile, "ideal"), a.Targets, a.Slots)
	if a.SaveTo != "" {
		if err := report.Save(a.SaveTo); err != nil {
			return err
		}
	}
	return loadtest.WriteTable(os.Stdout, []*loadtest.Report{report})
}

func runLoadReport(a *loadReportArgs) error {
	var reports []*loadtest.Report
	for _, path := range a.Reports {
		report, err := loadtest.LoadReport(path)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	if a.Plot != "" {
		if err := loadtest.Plot(a.Title, a.Plot, reports); err != nil {
			return err
		}
	}
	if err := loadtest.WriteTable(os.Stdout, reports); err != nil || !a.Seconds {
		return err
	}
	return loadtest.WriteSeconds(os.Stdout, reports)
}

func loadProfile(path string, seed uint64) (*loadtest.Profile, error) {
	profile, err := loadtest.LoadProfile(path)
	if err == nil && seed != 0 {
		profile.Seed = seed
	}
	return profile, err
}

// optionalAddresses reads a list of addresses that may be empty.
func optionalAddresses(text string) ([]netip.AddrPort, error) {
	if text == "" {
		return nil, nil
	}
	return parseAddresses([]string{text})
}
