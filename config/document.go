package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// ErrInvalid reports a document that cannot be published. The wrapped text
// names section, key and value of every problem.
var ErrInvalid = errors.New("invalid configuration")

// noChildDelimiter keeps the ini library from treating a dot in a section name
// as inheritance between sections.
const noChildDelimiter = "\x00"

// ParseDocument reads the services of a published document. The returned
// error wraps ErrInvalid and lists every problem found.
func ParseDocument(text []byte) ([]*Service, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true,
		ChildSectionDelimiter:  noChildDelimiter,
		KeyValueDelimiters:     "=",
		IgnoreInlineComment:    true,
	}, text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	d := &documentReader{services: map[string]*Service{}}
	for _, section := range file.Sections() {
		d.readSection(section)
	}
	if len(d.problems) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, errors.Join(d.problems...))
	}
	return d.ordered, nil
}

// documentReader collects services and problems while it reads sections in the
// order of the document.
type documentReader struct {
	services map[string]*Service
	ordered  []*Service
	problems []error
}

func (d *documentReader) readSection(section *ini.Section) {
	name := section.Name()
	if name == ini.DefaultSection {
		if len(section.Keys()) > 0 {
			d.problem(name, section.Keys()[0].Name(), "", "key outside of a section")
		}
		return
	}
	words := strings.Fields(name)
	switch {
	case len(words) == 2 && words[0] == "service":
		d.readService(section, words[1])
	case len(words) == 3 && words[0] == "target":
		d.readTarget(section, words[1], words[2])
	case len(words) == 4 && words[0] == "route":
		d.readRoute(section, words[1], words[2], words[3])
	default:
		d.problem(name, "", "", "unknown section")
	}
}

func (d *documentReader) readService(section *ini.Section, name string) {
	if _, ok := d.services[name]; ok {
		d.problem(section.Name(), "", "", "service defined twice")
		return
	}
	s := NewService(name)
	for _, key := range section.Keys() {
		switch key.Name() {
		case "policy":
			s.Policy = Policy(key.Value())
		case "deadline":
			s.Deadline = d.duration(section, key)
		case "max_wait":
			s.MaxWait = d.duration(section, key)
		case "max_queue":
			s.MaxQueue = d.integer(section, key)
		case "entry_per_zone":
			s.EntryPerZone = d.integer(section, key)
		case "retry_percent":
			s.RetryPercent = d.integer(section, key)
		case "probe_interval":
			s.ProbeInterval = d.duration(section, key)
		case "long_percent":
			s.LongPercent = d.integer(section, key)
		case "eject_percent":
			s.EjectPercent = d.integer(section, key)
		default:
			d.problem(section.Name(), key.Name(), key.Value(), "unknown key")
		}
	}
	d.services[name] = s
	d.ordered = append(d.ordered, s)
}

func (d *documentReader) readTarget(section *ini.Section, service, name string) {
	s, ok := d.services[service]
	if !ok {
		d.problem(section.Name(), "", service, "target of an undefined service")
		return
	}
	t := Target{Name: name, Slots: DefaultSlots, MaxConnections: DefaultMaxConnections}
	for _, key := range section.Keys() {
		switch key.Name() {
		case "address":
			t.Address = d.address(section, key)
		case "zone":
			t.Zone = key.Value()
		case "slots":
			t.Slots = d.integer(section, key)
		case "max_connections":
			t.MaxConnections = d.integer(section, key)
		default:
			d.problem(section.Name(), key.Name(), key.Value(), "unknown key")
		}
	}
	s.Targets = append(s.Targets, t)
}

func (d *documentReader) readRoute(section *ini.Section, service, method, path string) {
	s, ok := d.services[service]
	if !ok {
		d.problem(section.Name(), "", service, "route of an undefined service")
		return
	}
	r := Route{Method: method, PathPrefix: path}
	for _, key := range section.Keys() {
		switch key.Name() {
		case "idempotent":
			r.Idempotency = NonIdempotent
			if d.boolean(section, key) {
				r.Idempotency = Idempotent
			}
		case "long":
			r.Long = d.boolean(section, key)
		case "deadline":
			r.Deadline = d.duration(section, key)
		default:
			d.problem(section.Name(), key.Name(), key.Value(), "unknown key")
		}
	}
	s.Routes = append(s.Routes, r)
}

func (d *documentReader) duration(section *ini.Section, key *ini.Key) time.Duration {
	v, err := time.ParseDuration(key.Value())
	if err != nil {
		d.problem(section.Name(), key.Name(), key.Value(), "not a duration such as 250ms")
	}
	return v
}

func (d *documentReader) integer(section *ini.Section, key *ini.Key) int {
	v, err := strconv.Atoi(key.Value())
	if err != nil {
		d.problem(section.Name(), key.Name(), key.Value(), "not a whole number")
	}
	return v
}

func (d *documentReader) boolean(section *ini.Section, key *ini.Key) bool {
	v, err := strconv.ParseBool(key.Value())
	if err != nil {
		d.problem(section.Name(), key.Name(), key.Value(), "not true or false")
	}
	return v
}

func (d *documentReader) address(section *ini.Section, key *ini.Key) netip.AddrPort {
	v, err := netip.ParseAddrPort(key.Value())
	if err != nil {
		d.problem(section.Name(), key.Name(), key.Value(), "not an address such as 127.0.0.1:9000")
	}
	return v
}

func (d *documentReader) problem(section, key, value, text string) {
	d.problems = append(d.problems, fmt.Errorf("section %q, key %q, value %q: %s", section, key, value, text))
}

// FormatService writes a service in the text format that ParseDocument reads.
func FormatService(s *Service) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service %s]\n", s.Name)
	fmt.Fprintf(&b, "policy = %s\n", s.Policy)
	fmt.Fprintf(&b, "deadline = %s\n", s.Deadline)
	fmt.Fprintf(&b, "max_wait = %s\n", s.MaxWait)
	fmt.Fprintf(&b, "max_queue = %d\n", s.MaxQueue)
	fmt.Fprintf(&b, "entry_per_zone = %d\n", s.EntryPerZone)
	fmt.Fprintf(&b, "retry_percent = %d\n", s.RetryPercent)
	fmt.Fprintf(&b, "probe_interval = %s\n", s.ProbeInterval)
	fmt.Fprintf(&b, "long_percent = %d\n", s.LongPercent)
	fmt.Fprintf(&b, "eject_percent = %d\n", s.EjectPercent)
	for _, t := range s.Targets {
		fmt.Fprintf(&b, "\n[target %s %s]\n", s.Name, t.Name)
		fmt.Fprintf(&b, "address = %s\n", t.Address)
		fmt.Fprintf(&b, "zone = %s\n", t.Zone)
		fmt.Fprintf(&b, "slots = %d\n", t.Slots)
		fmt.Fprintf(&b, "max_connections = %d\n", t.MaxConnections)
	}
	for _, r := range s.Routes {
		formatRoute(&b, s.Name, r)
	}
	return []byte(b.String())
}

func formatRoute(b *strings.Builder, service string, r Route) {
	fmt.Fprintf(b, "\n[route %s %s %s]\n", service, r.Method, r.PathPrefix)
	if r.Idempotency != Unmarked {
		fmt.Fprintf(b, "idempotent = %t\n", r.Idempotency == Idempotent)
	}
	if r.Long {
		fmt.Fprintf(b, "long = true\n")
	}
	if r.Deadline != 0 {
		fmt.Fprintf(b, "deadline = %s\n", r.Deadline)
	}
}
