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

// MaxFileBytes is the maximum size of a configuration file.
const MaxFileBytes = 4 << 20

// noChildDelimiter keeps the ini library from treating a dot in a section name
// as inheritance between sections.
const noChildDelimiter = "\x00"

// Parse parses a configuration file. The version of the document is 1, as files
// contain none. Errors wrap ErrInvalid. The error lists every section, key and
// value that is unknown, repeated or malformed. Only if there is none, the document
// is validated, and the error lists what Validate finds, by route or service
// instead of section and key.
func Parse(text []byte) (*Document, error) {
	d, _, err := ParseWithKeys(text)
	return d, err
}

// ParseWithKeys parses a configuration file like Parse. It also returns the API keys that
// the file contains, with which the document can be published.
func ParseWithKeys(text []byte) (*Document, Keys, error) {
	if len(text) > MaxFileBytes {
		return nil, nil, fmt.Errorf("%w: file of %d bytes is larger than %d bytes", ErrInvalid, len(text), MaxFileBytes)
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true,
		ChildSectionDelimiter: noChildDelimiter, KeyValueDelimiters: "=", IgnoreInlineComment: true, IgnoreContinuation: true,
	}, text)
	if err != nil {
		return nil, nil, lineProblem(text, err)
	}
	d, keys := &Document{Version: 1, Services: map[string]*Service{}}, Keys{}
	var problems []error
	for _, section := range file.Sections() {
		r := &sectionReader{section: section, keysRead: map[string]bool{}}
		r.readInto(d, keys)
		problems = append(problems, r.checkKeys()...)
	}
	if len(problems) > 0 {
		return nil, nil, fmt.Errorf("%w: %w", ErrInvalid, errors.Join(problems...))
	}
	if err := d.Validate(); err != nil {
		return nil, nil, err
	}
	d.Index()
	return d, keys, nil
}

// sectionReader reads the keys of one section and collects the problems.
type sectionReader struct {
	section  *ini.Section
	keysRead map[string]bool
	problems []error
}

func (r *sectionReader) addProblem(key, value, text string) {
	if !r.showsValues() {
		value = ""
	}
	r.problems = append(r.problems, fmt.Errorf("section %q, key %q, value %q: %s", r.section.Name(), key, value, text))
}

func (r *sectionReader) readInto(d *Document, keys Keys) {
	words := strings.Fields(r.section.Name())
	switch {
	case r.section.Name() == ini.DefaultSection:
	case len(words) == 1 && words[0] == "limits":
		d.Limits = Limits{
			MaxHeaderBytes: r.integer("max_header_bytes", 0), MaxBodyBytes: r.integer("max_body_bytes", 0),
			HeaderTimeout: r.duration("header_timeout"), IdleTimeout: r.duration("idle_timeout"),
		}
	case len(words) == 2 && words[0] == "service":
		if d.Services[words[1]] != nil {
			r.addProblem("", "", "service defined twice")
		}
		d.Services[words[1]] = &Service{
			Name: words[1], HealthPath: r.text("health_path", ""), MaxConnections: r.integer("max_connections", 0),
		}
		r.readCold(d.Services[words[1]])
	case len(words) == 3 && words[0] == "route":
		d.Routes = append(d.Routes, &Route{
			Name: r.text("name", words[1]+words[2]), Host: words[1], PathPrefix: words[2], Idempotent: r.boolean("idempotent"),
			Objective: r.duration("objective"), Timeout: r.duration("timeout"), MaxTries: r.integer("attempts", 1),
			Priority: r.integer("priority", 0), Public: r.boolean("public"), Split: r.weightedServices("services"),
		})
	case len(words) == 1 && words[0] == tenantsSection:
		r.readTenants(d)
	case len(words) >= 2 && words[0] == tenantSection:
		r.readTenant(d, strings.TrimSpace(strings.TrimPrefix(r.section.Name(), tenantSection)), keys)
	default:
		r.addProblem("", "", "unknown section; the sections are [limits], [tenants], [tenant NAME], [service NAME] and [route HOST PREFIX]")
	}
}

// checkKeys adds a problem for every key that was not read or occurs more than
// once, and returns all problems.
func (r *sectionReader) checkKeys() []error {
	for _, key := range r.section.Keys() {
		if !r.keysRead[key.Name()] {
			r.addProblem(key.Name(), key.Value(), "unknown key")
		}
		if len(key.ValueWithShadows()) > 1 {
			r.addProblem(key.Name(), key.Value(), "key given more than once")
		}
	}
	return r.problems
}

func (r *sectionReader) text(name, fallback string) string {
	r.keysRead[name] = true
	return cmp.Or(r.section.Key(name).String(), fallback)
}

func (r *sectionReader) integer(name string, fallback int) int {
	text := r.text(name, strconv.Itoa(fallback))
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		r.addProblem(name, text, "not a whole number of at least 0")
	}
	return n
}

func (r *sectionReader) duration(name string) time.Duration {
	text := r.text(name, "0s")
	d, err := time.ParseDuration(text)
	if err != nil || d%time.Millisecond != 0 {
		r.addProblem(name, text, "not a duration in whole milliseconds with its unit, such as 250ms")
	}
	return d
}

func (r *sectionReader) boolean(name string) bool {
	text := r.text(name, "false")
	if text != "true" && text != "false" {
		r.addProblem(name, text, "neither true nor false")
	}
	return text == "true"
}

// weightedServices parses a list such as "spoolkeep:90, dispatchdesk:10".
func (r *sectionReader) weightedServices(name string) []WeightedService {
	text := r.text(name, "")
	var split []WeightedService
	for item := range strings.SplitSeq(text, ",") {
		service, weight, hasWeight := strings.Cut(strings.TrimSpace(item), ":")
		ws := WeightedService{Service: service, Weight: 1}
		if hasWeight {
			n, err := strconv.Atoi(weight)
			if err != nil {
				r.addProblem(name, text, "weight is not a whole number")
			}
			ws.Weight = n
		}
		split = append(split, ws)
	}
	return split
}

// Format formats the configuration as a file that Parse accepts. It has digests in place of
// API keys.
func Format(d *Document) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[limits]\nmax_header_bytes = %d\nmax_body_bytes = %d\nheader_timeout = %s\nidle_timeout = %s\n",
		d.Limits.MaxHeaderBytes, d.Limits.MaxBodyBytes, d.Limits.HeaderTimeout, d.Limits.IdleTimeout)
	formatTenants(&b, d)
	for _, name := range d.ServiceNames() {
		s := d.Services[name]
		fmt.Fprintf(&b, "\n[service %s]\nhealth_path = %s\nmax_connections = %d\n", s.Name, s.HealthPath, s.MaxConnections)
		b.WriteString(formatCold(s))
	}
	routes := slices.SortedFunc(slices.Values(d.Routes), func(a, b *Route) int { return cmp.Compare(a.Key(), b.Key()) })
	for _, r := range routes {
		fmt.Fprintf(&b, "\n[route %s %s]\nname = %s\nidempotent = %t\nobjective = %s\ntimeout = %s\nattempts = %d\npriority = %d\n",
			r.Host, r.PathPrefix, r.Name, r.Idempotent, r.Objective, r.Timeout, r.MaxTries, r.Priority)
		if r.Public {
			b.WriteString("public = true\n")
		}
		fmt.Fprintf(&b, "services = %s\n", formatSplit(r.Split))
	}
	return b.Bytes()
}

func formatSplit(split []WeightedService) string {
	if len(split) == 1 {
		return split[0].Service
	}
	var items []string
	for _, ws := range split {
		items = append(items, fmt.Sprintf("%s:%d", ws.Service, ws.Weight))
	}
	return strings.Join(items, ", ")
}
