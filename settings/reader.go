package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Units of sizes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// noChildDelimiter keeps the ini library from treating a dot in a section name
// as inheritance between sections.
const noChildDelimiter = "\x00"

// redacted replaces the value of a secret in errors.
const redacted = "(hidden)"

// setting identifies one key of the file.
type setting struct {
	section, key string
}

// reader reads typed values from a settings file and collects the problems.
type reader struct {
	path      string
	file      *ini.File
	values    map[setting][]string
	known     map[setting]bool
	listeners map[netip.AddrPort]setting
	problems  []error
}

func newReader(path string, text []byte) (*reader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		ChildSectionDelimiter:      noChildDelimiter,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		return nil, err
	}
	r := &reader{
		path:      path,
		file:      file,
		values:    map[setting][]string{},
		known:     map[setting]bool{},
		listeners: map[netip.AddrPort]setting{},
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			k := setting{section.Name(), key.Name()}
			r.values[k] = append(r.values[k], valuesOf(key)...)
		}
	}
	return r, nil
}

// valuesOf returns all values of a key in one section. The ini library returns
// no value for an empty one.
func valuesOf(key *ini.Key) []string {
	if values := key.ValueWithShadows(); len(values) > 0 {
		return values
	}
	return []string{""}
}

// optional returns the value of a key and whether the file has one. It reports an
// empty or repeated value as a problem.
func (r *reader) optional(section, key string) (string, bool) {
	k := setting{section, key}
	r.known[k] = true
	values := r.values[k]
	if len(values) == 0 {
		return "", false
	}
	for _, repeated := range values[1:] {
		r.addProblem(k, repeated, "key given more than once")
	}
	if values[0] == "" {
		r.addProblem(k, "", "value is empty; remove the key to use its default")
		return "", false
	}
	return values[0], true
}

// required returns the value of a key that has no default.
func (r *reader) required(section, key string) (string, bool) {
	text, ok := r.optional(section, key)
	if !ok && len(r.values[setting{section, key}]) == 0 {
		r.addProblem(setting{section, key}, "", "required key is missing")
	}
	return text, ok
}

// namePattern matches the IDs of instances and the names of zones and regions.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (r *reader) name(section, key string) string {
	text, ok := r.required(section, key)
	if ok && !namePattern.MatchString(text) {
		r.addProblem(setting{section, key}, text, "not a name of 1 to 63 letters, digits, dots, underscores and hyphens that begins with a letter or a digit")
	}
	return text
}

func (r *reader) choice(section, key, fallback string, choices ...string) string {
	text, ok := r.optional(section, key)
	if !ok {
		return fallback
	}
	if !slices.Contains(choices, text) {
		r.addProblem(setting{section, key}, text, "not one of "+strings.Join(choices, ", "))
	}
	return text
}

// flag reads a key that is true or false. The default is false.
func (r *reader) flag(section, key string) bool {
	return r.choice(section, key, "false", "true", "false") == "true"
}

func (r *reader) token(section, key string) string {
	text, ok := r.optional(section, key)
	if ok && (len(text) < minTokenLength || strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })) {
		r.addProblem(setting{section, key}, redacted,
			fmt.Sprintf("not a token of at least %d printable ASCII characters without spaces", minTokenLength))
	}
	return text
}

func (r *reader) duration(section, key string, fallback, lowest, highest time.Duration) time.Duration {
	text, ok := r.optional(section, key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		r.addProblem(setting{section, key}, text, "not a duration with its unit, such as 250ms")
	case d < lowest || d > highest:
		r.addProblem(setting{section, key}, text, fmt.Sprintf("outside of %s to %s", lowest, highest))
	}
	return d
}

func (r *reader) integer(section, key string, fallback, lowest, highest int) int {
	text, ok := r.optional(section, key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(text)
	switch {
	case err != nil:
		r.addProblem(setting{section, key}, text, "not a whole number")
	case n < lowest || n > highest:
		r.addProblem(setting{section, key}, text, fmt.Sprintf("outside of %d to %d", lowest, highest))
	}
	return n
}

func (r *reader) size(section, key string, fallback, lowest, highest int) int {
	text, ok := r.optional(section, key)
	if !ok {
		return fallback
	}
	n, err := parseSize(text)
	switch {
	case err != nil:
		r.addProblem(setting{section, key}, text, err.Error())
	case n < lowest || n > highest:
		r.addProblem(setting{section, key}, text, fmt.Sprintf("outside of %s to %s", formatSize(lowest), formatSize(highest)))
	}
	return n
}

func (r *reader) address(section, key string) netip.AddrPort {
	text, ok := r.required(section, key)
	if !ok {
		return netip.AddrPort{}
	}
	a, _ := r.parseAddress(setting{section, key}, text)
	return a
}

// listener reads the address of a TCP listener, which no other listener may
// use.
func (r *reader) listener(section, key string) netip.AddrPort {
	a := r.address(section, key)
	if a.IsValid() {
		r.addListener(setting{section, key}, a.String(), a)
	}
	return a
}

// budget reads a non-negative number of the section budgets that may have a fraction.
func (r *reader) budget(key string, fallback, highest float64) float64 {
	return r.number(setting{"budgets", key}, fallback, 0, highest)
}

// number reads a number that may have a fraction.
func (r *reader) number(k setting, fallback, lowest, highest float64) float64 {
	text, ok := r.optional(k.section, k.key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= lowest && n <= highest) {
		r.addProblem(k, text, fmt.Sprintf("not a number from %g to %g", lowest, highest))
		return fallback
	}
	return n
}

func (r *reader) addresses(section, key string) []netip.AddrPort {
	text, ok := r.optional(section, key)
	if !ok {
		return nil
	}
	var all []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		if a, ok := r.parseAddress(setting{section, key}, strings.TrimSpace(part)); ok {
			all = append(all, a)
		}
	}
	return all
}

func (r *reader) parseAddress(k setting, text string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addProblem(k, text, "not an IP address with a port, such as 127.0.0.1:8080")
		return netip.AddrPort{}, false
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	switch {
	case a.Addr().IsUnspecified():
		r.addProblem(k, text, "unspecified address; other processes need one that they can connect to")
	case a.Addr().IsMulticast():
		r.addProblem(k, text, "multicast address")
	case a.Port() == 0:
		r.addProblem(k, text, "port is 0")
	default:
		return a, true
	}
	return netip.AddrPort{}, false
}

// addListener records a listener and reports one whose address is already used.
func (r *reader) addListener(k setting, text string, a netip.AddrPort) {
	if other, ok := r.listeners[a]; ok {
		r.addProblem(k, text, fmt.Sprintf("address already used by section %q, key %q", other.section, other.key))
		return
	}
	r.listeners[a] = k
}

// checkUnknown reports the sections and keys that are not settings.
func (r *reader) checkUnknown() {
	sections := map[string]bool{}
	for k := range r.known {
		sections[k.section] = true
	}
	reported := map[setting]bool{}
	for _, section := range r.file.Sections() {
		name := section.Name()
		if !sections[name] && name != ini.DefaultSection {
			r.addProblem(setting{section: name}, "", "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			k := setting{name, key.Name()}
			if r.known[k] || reported[k] {
				continue
			}
			reported[k] = true
			r.addProblem(k, key.Value(), "unknown key")
		}
	}
}

func (r *reader) addProblem(k setting, value, text string) {
	r.problems = append(r.problems, fmt.Errorf("%s: section %q, key %q, value %q: %s", r.path, k.section, k.key, value, text))
}

var errSize = errors.New("not a size with its unit, such as 512KiB or 8MiB")

func parseSize(text string) (int, error) {
	units := []struct {
		suffix string
		bytes  int
	}{{"KiB", kibibyte}, {"MiB", mebibyte}, {"GiB", gibibyte}}
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 31)
		if err != nil {
			return 0, errSize
		}
		return int(n) * u.bytes, nil
	}
	return 0, errSize
}

func formatSize(bytes int) string {
	switch {
	case bytes%gibibyte == 0:
		return fmt.Sprintf("%dGiB", bytes/gibibyte)
	case bytes%mebibyte == 0:
		return fmt.Sprintf("%dMiB", bytes/mebibyte)
	default:
		return fmt.Sprintf("%dKiB", bytes/kibibyte)
	}
}
