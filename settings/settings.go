// Package settings reads the daemon's settings from an INI file and reports all
// problems at once.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// ErrInvalid means that the daemon cannot start with the settings. The error
// text lists the file, section, key and value of every problem, unless the file
// cannot be read or is not in INI format.
var ErrInvalid = errors.New("invalid settings")

// Defaults of the settings.
const (
	DefaultEntryTTL        = 2 * time.Second
	DefaultGrace           = 6 * time.Second
	DefaultMaxConnections  = 2000
	DefaultDrainDelay      = 2 * time.Second
	DefaultRetryRatio      = 0.2
	DefaultRetrySlack      = 20.0
	DefaultRetryWindow     = 10 * time.Second
	DefaultProbesPerSecond = 60.0
	DefaultQuotaWindow     = 5 * time.Second
	DefaultQuotaOverage    = 0.1
	DefaultQuotaSlack      = 20.0
	DefaultColdOverage     = 1.5
	DefaultColdSlack       = 8.0
	DefaultEvacuationDelay = 5 * time.Second
	DefaultMemory          = 256 * mebibyte
	DefaultCPUShare        = 1.0
	DefaultCores           = 1.0
	DefaultLogLevel        = "info"
	DefaultLogFormat       = FormatText
)

// Limits of the settings.
const (
	minEntryTTL       = 10 * time.Millisecond
	maxEntryTTL       = 5 * time.Minute
	minGrace          = time.Second
	maxGrace          = 10 * time.Minute
	minDrainDelay     = 100 * time.Millisecond
	maxDrainDelay     = 10 * time.Minute
	minRetryWindow    = time.Second
	maxRetryWindow    = time.Hour
	minQuotaWindow    = time.Second
	maxQuotaWindow    = time.Hour
	minMemory         = 32 * mebibyte
	maxMemory         = 1024 * gibibyte
	minCores          = 0.001
	maxCores          = 1024
	maxMaxConnections = 1_000_000
	maxRatio          = 10
	maxRate           = 1_000_000
	// minTokenLength makes it infeasible to guess a token over the network.
	minTokenLength = 16
)

// The formats of the log output.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Settings configures one daemon.
type Settings struct {
	Instance Instance
	Callers  Callers
	Peers    Peers
	Admin    Admin
	Store    Store
	Budgets  Budgets
	Stop     Stop
	Log      Log
}

// Instance configures the identity and the location of the instance.
type Instance struct {
	ID     string
	Zone   string
	Region string
	// Memory is the memory limit of the process in bytes.
	Memory int
	// CPUShare is the part of the processor time of each core that the process gets, and
	// Cores the number of cores.
	CPUShare, Cores float64
	// FirstStart is set if the whole system starts for the first time, so that no other
	// instance has any state yet.
	FirstStart bool
}

// Callers configures the callers' listeners.
type Callers struct {
	// Listen is the address for requests.
	Listen netip.AddrPort
	// Entry is the address for entry queries, which return addresses of instances.
	Entry netip.AddrPort
	// Ready is the address for readiness checks.
	Ready netip.AddrPort
	// EntryTTL is how long callers may cache the response to an entry query.
	EntryTTL time.Duration
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int
}

// Peers configures the exchange with other instances.
type Peers struct {
	Listen netip.AddrPort
	// Seeds are addresses of other instances to contact at startup. Their ports are
	// ignored: all instances use the port of Listen.
	Seeds []netip.AddrPort
}

// Admin configures the administration API.
type Admin struct {
	Listen netip.AddrPort
	// Token is the bearer token that requests must carry. If it is empty, none is
	// needed.
	Token string
}

// Store configures the client of the platform's store.
type Store struct {
	Address netip.AddrPort
}

// Budgets configures the limits for the traffic to targets. They apply to all
// instances together.
type Budgets struct {
	// DrainDelay is the time within which instances must stop sending new requests
	// to a draining target.
	DrainDelay time.Duration
	// RetryRatio is the number of retries allowed per request of a service, and
	// RetrySlack the number allowed in addition, within any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ProbesPerSecond is the maximum rate of probes of one target.
	ProbesPerSecond float64
	// QuotaOverage is the fraction of a tenant's quota, and QuotaSlack the number of
	// requests, by which all instances together may exceed the quota within any
	// QuotaWindow.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// ColdOverage is the multiple of the requests per second that a cold target tolerates
	// which it may get within any second, and ColdSlack the number in addition.
	ColdOverage float64
	ColdSlack   float64
	// EvacuationDelay is the time within which instances must stop sending requests to
	// the targets of an evacuated zone.
	EvacuationDelay time.Duration
}

// Stop configures the graceful shutdown.
type Stop struct {
	// Grace is the time between the stop signal and the kill of the process. The
	// daemon exits before it ends.
	Grace time.Duration
}

// Log configures the log output.
type Log struct {
	Level  string
	Format string
}

// Load reads the settings from a file. Errors wrap ErrInvalid.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return Parse(path, text)
}

// Parse reads the settings from the text of a file. The path is used only in
// errors, which wrap ErrInvalid.
func Parse(path string, text []byte) (*Settings, error) {
	r, err := newReader(path, text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, path, err)
	}
	s := r.settings()
	r.checkUnknown()
	if len(r.problems) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, errors.Join(r.problems...))
	}
	return s, nil
}

// settings reads every key.
func (r *reader) settings() *Settings {
	return &Settings{
		Instance: Instance{
			ID: r.name("instance", "id"), Zone: r.name("instance", "zone"), Region: r.name("instance", "region"),
			Memory:     r.size("instance", "memory", DefaultMemory, minMemory, maxMemory),
			CPUShare:   r.number(setting{"instance", "cpu_share"}, DefaultCPUShare, minCores, maxCores),
			Cores:      r.number(setting{"instance", "cores"}, DefaultCores, minCores, maxCores),
			FirstStart: r.flag("instance", "first_start"),
		},
		Callers: Callers{
			Listen:         r.listener("callers", "listen"),
			Entry:          r.listener("callers", "entry"),
			Ready:          r.listener("callers", "ready"),
			EntryTTL:       r.duration("callers", "entry_ttl", DefaultEntryTTL, minEntryTTL, maxEntryTTL),
			MaxConnections: r.integer("callers", "max_connections", DefaultMaxConnections, 1, maxMaxConnections),
		},
		Peers: Peers{Listen: r.address("peers", "listen"), Seeds: r.addresses("peers", "seeds")},
		Admin: Admin{Listen: r.listener("admin", "listen"), Token: r.token("admin", "token")},
		Store: Store{Address: r.address("store", "address")},
		Budgets: Budgets{
			DrainDelay:      r.duration("budgets", "drain_delay", DefaultDrainDelay, minDrainDelay, maxDrainDelay),
			RetryRatio:      r.budget("retry_ratio", DefaultRetryRatio, maxRatio),
			RetrySlack:      r.budget("retry_slack", DefaultRetrySlack, maxRate),
			RetryWindow:     r.duration("budgets", "retry_window", DefaultRetryWindow, minRetryWindow, maxRetryWindow),
			ProbesPerSecond: r.budget("probes_per_second", DefaultProbesPerSecond, maxRate),
			QuotaWindow:     r.duration("budgets", "quota_window", DefaultQuotaWindow, minQuotaWindow, maxQuotaWindow),
			QuotaOverage:    r.budget("quota_overage", DefaultQuotaOverage, maxRatio),
			QuotaSlack:      r.budget("quota_slack", DefaultQuotaSlack, maxRate),
			ColdOverage:     r.budget("cold_overage", DefaultColdOverage, maxRatio),
			ColdSlack:       r.budget("cold_slack", DefaultColdSlack, maxRate),
			EvacuationDelay: r.duration("budgets", "evacuation_delay", DefaultEvacuationDelay, minDrainDelay, maxDrainDelay),
		},
		Stop: Stop{Grace: r.duration("stop", "grace", DefaultGrace, minGrace, maxGrace)},
		Log: Log{
			Level:  r.choice("log", "level", DefaultLogLevel, "debug", "info", "warn", "error"),
			Format: r.choice("log", "format", DefaultLogFormat, FormatText, FormatJSON),
		},
	}
}
