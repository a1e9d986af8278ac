package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// MaxDocumentBytes bounds a document. One service of design scale has 3 KB.
const MaxDocumentBytes = 1 << 20

// noChildDelimiter keeps the ini library from treating a dot in a section name
// as inheritance between sections.
const noChildDelimiter = "\x00"

// ParseDocument reads the services of a published document, in the order of
// the document. A key that is left out has its default. The returned error is
// an *InvalidError with every problem found.
func ParseDocument(text []byte) ([]*Service, error) {
	d := &documentReader{services: map[string]*Service{}}
	if len(text) > MaxDocumentBytes {
		d.add("", "", "", fmt.Sprintf("document of %d bytes is larger than %d bytes", len(text), MaxDocumentBytes))
		return nil, d.err()
	}
	d.checkLines(text)
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowBooleanKeys:           true, // lines without "=" were reported by checkLines
		ChildSectionDelimiter:      noChildDelimiter,
		KeyValueDelimiters:         "=",
		IgnoreInlineComment:        true,
		IgnoreContinuation:         true,
		PreserveSurroundedQuote:    true,
	}, text)
	if err != nil {
		d.add("", "", "", err.Error())
		return nil, d.err()
	}
	d.readDocument(file)
	if err := d.err(); err != nil {
		return nil, err
	}
	return d.ordered, nil
}

// documentReader collects services and problems while it reads sections.
type documentReader struct {
	validator
	services map[string]*Service
	ordered  []*Service
}

// checkLines reports the lines that are neither section, key nor comment, and
// text that the ini library would silently rewrite.
func (d *documentReader) checkLines(text []byte) {
	for i, line := range bytes.Split(text, []byte("\n")) {
		line = bytes.TrimSpace(line)
		_, value, found := bytes.Cut(line, []byte("="))
		value = bytes.TrimSpace(value)
		switch {
		case len(line) == 0, line[0] == '#', line[0] == ';':
		case line[0] == '[' && line[len(line)-1] != ']':
			d.add("", "", "", fmt.Sprintf("line %d: section %q does not end with \"]\"", i+1, line))
		case line[0] == '[':
		case !found:
			d.add("", "", "", fmt.Sprintf("line %d: %q has no \"=\"", i+1, line))
		case bytes.ContainsAny(line, "\"`"):
			d.add("", "", "", fmt.Sprintf("line %d: %q has a quotation mark, values are written without", i+1, line))
		case len(value) == 0:
			d.add("", "", "", fmt.Sprintf("line %d: %q has no value", i+1, line))
		}
	}
}

// readDocument reads the services before their targets and routes, so that
// sections may come in any order, and validates the result.
func (d *documentReader) readDocument(file *ini.File) {
	for _, section := range file.Sections() {
		words := strings.Fields(section.Name())
		if len(words) == 2 && words[0] == "service" {
			d.readService(section, words[1])
		}
	}
	for _, section := range file.Sections() {
		d.readPart(section)
	}
	addresses := map[netip.AddrPort]string{}
	for _, s := range d.ordered {
		d.service(s)
		d.sharedAddresses(s, addresses)
	}
}

// sharedAddresses reports targets of different services on one address: each
// service would count all slots of that target as its own.
func (d *documentReader) sharedAddresses(s *Service, used map[netip.AddrPort]string) {
	for _, t := range s.Targets {
		plain := netip.AddrPortFrom(t.Address.Addr().Unmap(), t.Address.Port())
		owner, ok := used[plain]
		if ok && owner != s.Name {
			d.add(targetSection(s, t), keyAddress, t.Address.String(), fmt.Sprintf("already the address of a target of service %s", owner))
		}
		if !ok && t.Address.IsValid() {
			used[plain] = s.Name
		}
	}
}

func (d *documentReader) readPart(section *ini.Section) {
	name := section.Name()
	words := strings.Fields(name)
	switch {
	case name == ini.DefaultSection:
		for _, key := range section.Keys() {
			d.add(name, key.Name(), key.Value(), "key outside of a section")
		}
	case len(words) == 2 && words[0] == "service":
		// readService has read it.
	case len(words) == 3 && words[0] == "target":
		d.readTarget(section, words[1], words[2])
	case len(words) == 4 && words[0] == "route":
		d.readRoute(section, words[1], words[2], words[3])
	default:
		d.add(name, "", "", "unknown section; known are [service NAME], [target SERVICE NAME] and [route SERVICE METHOD PATH]")
	}
}

func (d *documentReader) readService(section *ini.Section, name string) {
	if _, ok := d.services[name]; ok {
		d.add(section.Name(), "", "", "service defined twice")
		return
	}
	s := NewService(name)
	for _, key := range d.keys(section) {
		switch key.Name() {
		case keyPolicy:
			s.Policy = Policy(key.Value())
		case keyDeadline:
			d.duration(section, key, &s.Deadline)
		case keyMaxWait:
			d.duration(section, key, &s.MaxWait)
		case keyMaxQueue:
			d.integer(section, key, &s.MaxQueue)
		case keyEntryPerZone:
			d.integer(section, key, &s.EntryPerZone)
		case keySinglePrimary:
			d.boolean(section, key, &s.SinglePrimary)
		case keyRetryPercent:
			d.integer(section, key, &s.RetryPercent)
		case keyProbeInterval:
			d.duration(section, key, &s.ProbeInterval)
		case keyLongPercent:
			d.integer(section, key, &s.LongPercent)
		case keyEjectPercent:
			d.integer(section, key, &s.EjectPercent)
		default:
			d.unknownKey(section, key)
		}
	}
	d.services[name] = s
	d.ordered = append(d.ordered, s)
}

func (d *documentReader) readTarget(section *ini.Section, service, name string) {
	t := Target{Name: name, Slots: DefaultSlots, MaxConnections: DefaultMaxConnections}
	for _, key := range d.keys(section) {
		switch key.Name() {
		case keyAddress:
			d.address(section, key, &t.Address)
		case keyZone:
			t.Zone = key.Value()
		case keySlots:
			d.integer(section, key, &t.Slots)
		case keyMaxConnections:
			d.integer(section, key, &t.MaxConnections)
		default:
			d.unknownKey(section, key)
		}
	}
	s, ok := d.services[service]
	if !ok {
		d.add(section.Name(), "", "", fmt.Sprintf("target of the undefined service %q", service))
		return
	}
	s.Targets = append(s.Targets, t)
}

func (d *documentReader) readRoute(section *ini.Section, service, method, path string) {
	r := Route{Method: method, PathPrefix: path}
	for _, key := range d.keys(section) {
		switch key.Name() {
		case keyIdempotent:
			idempotent := false
			d.boolean(section, key, &idempotent)
			r.Idempotency = NonIdempotent
			if idempotent {
				r.Idempotency = Idempotent
			}
		case keyLong:
			d.boolean(section, key, &r.Long)
		case keyDeadline:
			if d.duration(section, key, &r.Deadline) && r.Deadline == 0 {
				d.add(section.Name(), key.Name(), key.Value(), "must be greater than 0")
			}
		default:
			d.unknownKey(section, key)
		}
	}
	s, ok := d.services[service]
	if !ok {
		d.add(section.Name(), "", "", fmt.Sprintf("route of the undefined service %q", service))
		return
	}
	s.Routes = append(s.Routes, r)
}

// keys returns the keys of a section and reports those that are set twice.
func (d *documentReader) keys(section *ini.Section) []*ini.Key {
	for _, key := range section.Keys() {
		if values := key.ValueWithShadows(); len(values) > 1 {
			d.add(section.Name(), key.Name(), strings.Join(values, ", "), "key set more than once")
		}
	}
	return section.Keys()
}

func (d *documentReader) unknownKey(section *ini.Section, key *ini.Key) {
	d.add(section.Name(), key.Name(), key.Value(), "unknown key")
}

// The readers of values leave the destination as it is when the text has the
// wrong form, so that validation does not report it a second time.

func (d *documentReader) duration(section *ini.Section, key *ini.Key, to *time.Duration) bool {
	v, err := time.ParseDuration(key.Value())
	if err != nil {
		d.add(section.Name(), key.Name(), key.Value(), "not a duration such as 250ms")
		return false
	}
	*to = v
	return true
}

func (d *documentReader) integer(section *ini.Section, key *ini.Key, to *int) {
	v, err := strconv.Atoi(key.Value())
	if err != nil {
		d.add(section.Name(), key.Name(), key.Value(), "not a whole number")
		return
	}
	*to = v
}

func (d *documentReader) boolean(section *ini.Section, key *ini.Key, to *bool) {
	v, err := strconv.ParseBool(key.Value())
	if err != nil {
		d.add(section.Name(), key.Name(), key.Value(), "not true or false")
		return
	}
	*to = v
}

func (d *documentReader) address(section *ini.Section, key *ini.Key, to *netip.AddrPort) {
	v, err := netip.ParseAddrPort(key.Value())
	if err != nil {
		d.add(section.Name(), key.Name(), key.Value(), "not an address such as 127.0.0.1:9000")
		return
	}
	*to = v
}
