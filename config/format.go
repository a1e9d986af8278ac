package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// MaxFileBytes bounds a file with a configuration.
const MaxFileBytes = 4 << 20

// noChildDelimiter keeps the ini library from treating a dot in a section name
// as inheritance between sections.
const noChildDelimiter = "\x00"

// Parse reads a configuration that operators wrote, without its version. The
// error wraps ErrInvalid and names every problem with its section and key.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxFileBytes {
		return nil, fmt.Errorf("%w: file of %d bytes is larger than %d bytes", ErrInvalid, len(text), MaxFileBytes)
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		ChildSectionDelimiter: noChildDelimiter, KeyValueDelimiters: "=", IgnoreInlineComment: true, IgnoreContinuation: true,
	}, text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	d := &Document{Version: 1, Services: map[string]*Service{}}
	var problems []error
	for _, section := range file.Sections() {
		f := &fields{section: section, used: map[string]bool{}}
		f.read(d)
		problems = append(problems, f.finish()...)
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	d.Index()
	return d, nil
}

// fields reads the keys of one section and collects what is wrong with them.
type fields struct {
	section  *ini.Section
	used     map[string]bool
	problems []error
}

func (f *fields) problem(key, value, text string) {
	f.problems = append(f.problems, fmt.Errorf("section %q, key %q, value %q: %s", f.section.Name(), key, value, text))
}

func (f *fields) read(d *Document) {
	words := strings.Fields(f.section.Name())
	switch {
	case f.section.Name() == ini.DefaultSection:
	case len(words) == 1 && words[0] == "limits":
		d.Limits = Limits{
			MaxHeaderBytes: f.number("max_header_bytes", 0), MaxBodyBytes: f.number("max_body_bytes", 0),
			HeaderTimeout: f.duration("header_timeout"), IdleTimeout: f.duration("idle_timeout"),
		}
	case len(words) == 2 && words[0] == "service":
		if d.Services[words[1]] != nil {
			f.problem("", "", "service defined twice")
		}
		d.Services[words[1]] = &Service{
			Name: words[1], HealthPath: f.text("health_path", ""), MaxConnections: f.number("max_connections", 0),
		}
	case len(words) == 3 && words[0] == "route":
		d.Routes = append(d.Routes, &Route{
			Name: f.text("name", words[1]+words[2]), Host: words[1], PathPrefix: words[2], Idempotent: f.flag("idempotent"),
			Objective: f.duration("objective"), Timeout: f.duration("timeout"), Attempts: f.number("attempts", 1),
			Priority: f.number("priority", 0), Split: f.split("services"),
		})
	default:
		f.problem("", "", "unknown section; known are [limits], [service NAME] and [route HOST PREFIX]")
	}
}

// finish reports the keys that were not read or occur twice.
func (f *fields) finish() []error {
	for _, key := range f.section.Keys() {
		if !f.used[key.Name()] {
			f.problem(key.Name(), key.Value(), "unknown key")
		}
		if len(key.ValueWithShadows()) > 1 {
			f.problem(key.Name(), key.Value(), "key given more than once")
		}
	}
	return f.problems
}

func (f *fields) text(name, fallback string) string {
	f.used[name] = true
	return cmp.Or(f.section.Key(name).String(), fallback)
}

func (f *fields) number(name string, fallback int) int {
	text := f.text(name, strconv.Itoa(fallback))
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		f.problem(name, text, "not a whole number of at least 0")
	}
	return n
}

func (f *fields) duration(name string) time.Duration {
	text := f.text(name, "0s")
	d, err := time.ParseDuration(text)
	if err != nil || d%time.Millisecond != 0 {
		f.problem(name, text, "not a duration in whole milliseconds with its unit, such as 250ms")
	}
	return d
}

func (f *fields) flag(name string) bool {
	text := f.text(name, "false")
	if text != "true" && text != "false" {
		f.problem(name, text, "neither true nor false")
	}
	return text == "true"
}

// split reads a list such as "spoolkeep:90, dispatchdesk:10".
func (f *fields) split(name string) []WeightedService {
	text := f.text(name, "")
	var parts []WeightedService
	for item := range strings.SplitSeq(text, ",") {
		service, weight, weighted := strings.Cut(strings.TrimSpace(item), ":")
		p := WeightedService{Service: service, Weight: 1}
		if weighted {
			n, err := strconv.Atoi(weight)
			if err != nil {
				f.problem(name, text, "weight is not a whole number")
			}
			p.Weight = n
		}
		parts = append(parts, p)
	}
	return parts
}

// Format writes the configuration so that Parse reads it.
func Format(d *Document) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[limits]\nmax_header_bytes = %d\nmax_body_bytes = %d\nheader_timeout = %s\nidle_timeout = %s\n",
		d.Limits.MaxHeaderBytes, d.Limits.MaxBodyBytes, d.Limits.HeaderTimeout, d.Limits.IdleTimeout)
	for _, name := range d.ServiceNames() {
		s := d.Services[name]
		fmt.Fprintf(&b, "\n[service %s]\nhealth_path = %s\nmax_connections = %d\n", s.Name, s.HealthPath, s.MaxConnections)
	}
	routes := slices.SortedFunc(slices.Values(d.Routes), func(a, b *Route) int { return cmp.Compare(a.Key(), b.Key()) })
	for _, r := range routes {
		fmt.Fprintf(&b, "\n[route %s %s]\nname = %s\nidempotent = %t\nobjective = %s\ntimeout = %s\nattempts = %d\npriority = %d\nservices = %s\n",
			r.Host, r.PathPrefix, r.Name, r.Idempotent, r.Objective, r.Timeout, r.Attempts, r.Priority, formatSplit(r.Split))
	}
	return b.Bytes()
}

func formatSplit(parts []WeightedService) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	var items []string
	for _, p := range parts {
		items = append(items, fmt.Sprintf("%s:%d", p.Service, p.Weight))
	}
	return strings.Join(items, ", ")
}
