// Package settings reads the daemon's INI settings.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"gopkg.in/ini.v1"
)

// ErrInvalid reports settings that the daemon cannot start with. The wrapped
// text names file, section, key and value of every problem.
var ErrInvalid = errors.New("invalid settings")

// Defaults of the settings.
const (
	DefaultMaxInstances = 20
	DefaultEntryTTL     = 5 * time.Second
	DefaultStopMargin   = 2 * time.Second
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
}

// Peers configures the sessions with other instances.
type Peers struct {
	Listen netip.AddrPort
	// MaxInstances bounds the instances that run at once, replacements
	// included. Connection limits and the measuring budget are divided by it.
	MaxInstances int
	// Seeds are peers to ask when the platform's list cannot be read.
	Seeds []netip.AddrPort
}

// Admin configures the administration API.
type Admin struct {
	Listen netip.AddrPort
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

// Load reads the settings from a file.
func Load(path string) (*Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	r := &reader{file: file, path: path}
	s := &Settings{
		Instance: Instance{ID: r.text("instance", "id", ""), Zone: r.text("instance", "zone", "")},
		Callers: Callers{
			Listen:   r.address("callers", "listen"),
			EntryTTL: r.duration("callers", "entry_ttl", DefaultEntryTTL),
		},
		Peers: Peers{
			Listen:       r.address("peers", "listen"),
			MaxInstances: r.integer("peers", "max_instances", DefaultMaxInstances),
			Seeds:        r.addresses("peers", "seeds"),
		},
		Admin:    Admin{Listen: r.address("admin", "listen")},
		Platform: Platform{Address: r.address("platform", "address")},
		Stop:     Stop{Margin: r.duration("stop", "margin", DefaultStopMargin)},
		Log:      Log{Level: r.text("log", "level", "info"), Format: r.text("log", "format", "text")},
	}
	if len(r.problems) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, errors.Join(r.problems...))
	}
	return s, nil
}

// reader reads typed values and collects what is wrong with them.
type reader struct {
	file     *ini.File
	path     string
	problems []error
}

func (r *reader) text(section, key, fallback string) string {
	return r.file.Section(section).Key(key).MustString(fallback)
}

func (r *reader) duration(section, key string, fallback time.Duration) time.Duration {
	text := r.text(section, key, "")
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.problem(section, key, text, "not a duration such as 250ms")
	}
	return d
}

func (r *reader) integer(section, key string, fallback int) int {
	return r.file.Section(section).Key(key).MustInt(fallback)
}

func (r *reader) address(section, key string) netip.AddrPort {
	text := r.text(section, key, "")
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		r.problem(section, key, text, "not an address such as 127.0.0.1:8080")
	}
	return a
}

func (r *reader) addresses(section, key string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, text := range r.file.Section(section).Key(key).Strings(",") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			r.problem(section, key, text, "not an address such as 127.0.0.1:8080")
			continue
		}
		all = append(all, a)
	}
	return all
}

func (r *reader) problem(section, key, value, text string) {
	r.problems = append(r.problems, fmt.Errorf("%s: section %q, key %q, value %q: %s", r.path, section, key, value, text))
}
