// Package settings reads the daemon's INI settings and reports everything that
// is wrong with them at once.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// ErrInvalid reports settings that the daemon cannot start with. The wrapped
// text names file, section, key and value of every problem.
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
	DefaultMemory          = 256 * mebibyte
	DefaultLogLevel        = "info"
	DefaultLogFormat       = FormatText
)

// Bounds of the settings.
const (
	minEntryTTL       = 10 * time.Millisecond
	maxEntryTTL       = 5 * time.Minute
	minGrace          = time.Second
	maxGrace          = 10 * time.Minute
	minDrainDelay     = 100 * time.Millisecond
	maxDrainDelay     = 10 * time.Minute
	minWindow         = time.Second
	maxWindow         = time.Hour
	minMemory         = 32 * mebibyte
	maxMemory         = 1024 * gibibyte
	maxMaxConnections = 1_000_000
	maxRatio          = 10
	maxRate           = 1_000_000
	// minTokenLength keeps tokens out of reach of guessing over the network.
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

// Instance names the instance and its place.
type Instance struct {
	ID     string
	Zone   string
	Region string
	// Memory bounds the memory of the process, in bytes.
	Memory int
}

// Callers configures the callers' listeners.
type Callers struct {
	// Listen is the address for requests.
	Listen netip.AddrPort
	// Entry is the address that answers where to connect.
	Entry netip.AddrPort
	// Ready is the address that answers whether the instance is ready.
	Ready netip.AddrPort
	// EntryTTL is how long callers may keep an entry answer.
	EntryTTL time.Duration
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
}

// Peers configures the exchange with other instances.
type Peers struct {
	Listen netip.AddrPort
	// Seeds are addresses of other instances, to be asked at the start.
	Seeds []netip.AddrPort
}

// Admin configures the administration API.
type Admin struct {
	Listen netip.AddrPort
	// Token is what operators must present as a bearer token. Empty means
	// that none is needed.
	Token string
}

// Store configures the client of the platform's store.
type Store struct {
	Address netip.AddrPort
}

// Budgets bounds what the instances together may spend on targets.
type Budgets struct {
	// DrainDelay is the time in which a leaving target must get no new request.
	DrainDelay time.Duration
	// RetryRatio is the number of further tries per request of a service, and
	// RetrySlack the number beyond it, within any RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ProbesPerSecond bounds the probes of one target.
	ProbesPerSecond float64
}

// Stop configures the graceful stop.
type Stop struct {
	// Grace is the time after which the process is killed.
	Grace time.Duration
}

// Log configures the log output.
type Log struct {
	Level  string
	Format string
}

// Load reads the settings from a file. The error wraps ErrInvalid.
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
			Memory: r.size("instance", "memory", DefaultMemory, minMemory, maxMemory),
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
			RetryRatio:      r.number("budgets", "retry_ratio", DefaultRetryRatio, maxRatio),
			RetrySlack:      r.number("budgets", "retry_slack", DefaultRetrySlack, maxRate),
			RetryWindow:     r.duration("budgets", "retry_window", DefaultRetryWindow, minWindow, maxWindow),
			ProbesPerSecond: r.number("budgets", "probes_per_second", DefaultProbesPerSecond, maxRate),
		},
		Stop: Stop{Grace: r.duration("stop", "grace", DefaultGrace, minGrace, maxGrace)},
		Log: Log{
			Level:  r.choice("log", "level", DefaultLogLevel, "debug", "info", "warn", "error"),
			Format: r.choice("log", "format", DefaultLogFormat, FormatText, FormatJSON),
		},
	}
}
