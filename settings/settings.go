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
	DefaultMaxInstances   = 20
	DefaultEntryTTL       = 5 * time.Second
	DefaultStopMargin     = 2 * time.Second
	DefaultMaxRequestBody = 8 * mebibyte
	DefaultMaxConnections = 10_000
	DefaultLogLevel       = "info"
	DefaultLogFormat      = FormatText
)

// Bounds of the settings.
const (
	minEntryTTL       = 10 * time.Millisecond
	maxEntryTTL       = 5 * time.Minute
	maxStopMargin     = 10 * time.Minute
	maxMaxInstances   = 1000
	minMaxRequestBody = kibibyte
	maxMaxRequestBody = gibibyte
	maxMaxConnections = 1_000_000
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
	Platform Platform
	Stop     Stop
	Log      Log
}

// Instance names the instance and its place.
type Instance struct {
	ID   string
	Zone string
}

// Callers configures the callers' listener.
type Callers struct {
	Listen netip.AddrPort
	// EntryTTL is how long callers may keep an entry answer.
	EntryTTL time.Duration
	// MaxRequestBody bounds the body of a request, in bytes.
	MaxRequestBody int
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
}

// Peers configures the sessions with other instances.
type Peers struct {
	Listen netip.AddrPort
	// Advertise is the address that other instances connect to, where it
	// differs from Listen.
	Advertise netip.AddrPort
	// MaxInstances bounds the instances that run at once, replacements
	// included. Connection limits and the measuring budget are divided by it.
	MaxInstances int
	// Seeds are peers to ask when the platform's list cannot be read.
	Seeds []netip.AddrPort
}

// Admin configures the administration API.
type Admin struct {
	Listen netip.AddrPort
	// Token is what operators must present as a bearer token. Empty means
	// that none is needed.
	Token string
}

// Platform configures the platform's client.
type Platform struct {
	Address netip.AddrPort
}

// Stop configures the graceful stop.
type Stop struct {
	// Margin is added to the entry TTL before the instance stops listening.
	Margin time.Duration
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
	peers := r.address("peers", "listen")
	return &Settings{
		Instance: Instance{ID: r.name("instance", "id"), Zone: r.name("instance", "zone")},
		Callers: Callers{
			Listen:         r.address("callers", "listen"),
			EntryTTL:       r.duration("callers", "entry_ttl", DefaultEntryTTL, minEntryTTL, maxEntryTTL),
			MaxRequestBody: r.size("callers", "max_request_body", DefaultMaxRequestBody, minMaxRequestBody, maxMaxRequestBody),
			MaxConnections: r.integer("callers", "max_connections", DefaultMaxConnections, 1, maxMaxConnections),
		},
		Peers: Peers{
			Listen:       peers,
			Advertise:    r.optionalAddress("peers", "advertise", peers),
			MaxInstances: r.integer("peers", "max_instances", DefaultMaxInstances, 1, maxMaxInstances),
			Seeds:        r.addresses("peers", "seeds"),
		},
		Admin:    Admin{Listen: r.address("admin", "listen"), Token: r.token("admin", "token")},
		Platform: Platform{Address: r.address("platform", "address")},
		Stop:     Stop{Margin: r.duration("stop", "margin", DefaultStopMargin, 0, maxStopMargin)},
		Log: Log{
			Level:  r.choice("log", "level", DefaultLogLevel, "debug", "info", "warn", "error"),
			Format: r.choice("log", "format", DefaultLogFormat, FormatText, FormatJSON),
		},
	}
}
