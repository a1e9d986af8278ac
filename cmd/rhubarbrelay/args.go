package main

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"rhubarbrelay/config"
)

// The environment variables that replace options.
const (
	envAdmin  = "RHUBARBRELAY_ADMIN"
	envToken  = "RHUBARBRELAY_TOKEN"
	envAuthor = "RHUBARBRELAY_AUTHOR"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

type args struct {
	Admin  []string `arg:"--admin,separate" placeholder:"ADDRESS" help:"address of an instance's administration API; repeat it or separate several by commas [env: RHUBARBRELAY_ADMIN]"`
	Token  string   `arg:"--token" help:"bearer token [env: RHUBARBRELAY_TOKEN, which keeps it out of the list of processes]"`
	Output string   `arg:"--output" default:"table" help:"table or json"`

	Publish  *publishArgs  `arg:"subcommand:publish" help:"publish the services of a document"`
	Delete   *deleteArgs   `arg:"subcommand:delete" help:"delete a service"`
	Drain    *drainArgs    `arg:"subcommand:drain" help:"give a target or an instance no new work"`
	Undrain  *drainArgs    `arg:"subcommand:undrain" help:"withdraw a drain"`
	Check    *fileArgs     `arg:"subcommand:check" help:"check a document without publishing it"`
	Diff     *fileArgs     `arg:"subcommand:diff" help:"compare a document with what is published"`
	Show     *showArgs     `arg:"subcommand:show" help:"list the services or print one"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show the state of all live instances"`
	Timeline *timelineArgs `arg:"subcommand:timeline" help:"show the events of all live instances in one order"`
	Load     *loadArgs     `arg:"subcommand:load" help:"drive load, compute the ideal queue, compare reports"`
}

// Description is the first line of the help.
func (args) Description() string { return "rhubarbrelay is the operators' tool of the load balancer." }

// changeArgs are the options of every command that changes state.
type changeArgs struct {
	Author  string        `arg:"--author" help:"who makes the change [env: RHUBARBRELAY_AUTHOR, USER]"`
	ID      string        `arg:"--id" help:"id of the change, to repeat one whose outcome is unknown"`
	Wait    bool          `arg:"--wait" help:"wait until it is in force on every live instance"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"how long to wait"`
}

type publishArgs struct {
	File string   `arg:"positional,required" help:"document with the services"`
	Base []string `arg:"--base,separate" placeholder:"SERVICE=VERSION" help:"version that the document is based on; the published one by default"`
	changeArgs
}

type deleteArgs struct {
	Service string `arg:"positional,required" help:"name of the service"`
	changeArgs
}

type drainArgs struct {
	Name string `arg:"positional,required" help:"SERVICE/TARGET, or the id of an instance"`
	changeArgs
}

type fileArgs struct {
	File string `arg:"positional,required" help:"document with the services"`
}

type showArgs struct {
	Service string `arg:"positional" help:"name of the service; all services are listed without it"`
}

type statusArgs struct {
	Targets bool `arg:"--targets" help:"list ready targets too"`
}

type timelineArgs struct {
	Since   string `arg:"--since" help:"only events after this time: 5m (ago), 2026-01-02T15:04:05Z or a stamp"`
	Until   string `arg:"--until" help:"only events before this time"`
	Request string `arg:"--request" help:"only events of this request id"`
	Target  string `arg:"--target" help:"only events of this target"`
	Service string `arg:"--service" help:"only events of this service"`
	Limit   int    `arg:"--limit" help:"only this many of the newest events"`
}

// examples holds one example for the help of each command.
func examples() map[string]string {
	return map[string]string{
		"publish":  "rhubarbrelay --admin 127.0.0.11:8082,127.0.0.12:8082 publish --wait services.ini",
		"delete":   "rhubarbrelay delete spoolkeep",
		"drain":    "rhubarbrelay drain --wait spoolkeep/sk-01",
		"undrain":  "rhubarbrelay undrain kt-a-1",
		"check":    "rhubarbrelay check services.ini",
		"diff":     "rhubarbrelay diff services.ini",
		"show":     "rhubarbrelay show spoolkeep > spoolkeep.ini",
		"status":   "rhubarbrelay --output json status",
		"timeline": "rhubarbrelay timeline --since 5m --request order-1",
		"load":     "rhubarbrelay load run profile.ini --entries 127.0.0.11:8080 --zones mid-a --save run.json",
	}
}

// parseAddresses reads addresses separated by commas.
func parseAddresses(lists []string) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, list := range lists {
		for text := range strings.SplitSeq(list, ",") {
			a, err := netip.ParseAddrPort(strings.TrimSpace(text))
			if err != nil {
				return nil, fmt.Errorf("administration address %q: not an IP address with a port, such as 127.0.0.1:8082", text)
			}
			all = append(all, a)
		}
	}
	return all, nil
}

// parseBases reads SERVICE=VERSION pairs.
func parseBases(pairs []string) (map[string]config.Version, error) {
	bases := map[string]config.Version{}
	for _, pair := range pairs {
		service, text, _ := strings.Cut(pair, "=")
		version, err := strconv.ParseInt(text, 10, 64)
		if err != nil || service == "" || version < int64(config.NoVersion) {
			return nil, fmt.Errorf("base %q: not SERVICE=VERSION, such as spoolkeep=12", pair)
		}
		bases[service] = config.Version(version)
	}
	return bases, nil
}
