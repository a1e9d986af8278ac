package config

import (
	"bytes"
	"strings"
)

// SectionLine returns the number of the line of a configuration file on which a section
// begins, or 0 if it has none of this name. Runs of spaces in names count as one.
func SectionLine(text []byte, section string) int {
	want := strings.Fields(section)
	for i, line := range bytes.Split(text, []byte("\n")) {
		name, ok := strings.CutPrefix(strings.TrimSpace(string(line)), "[")
		if !ok {
			continue
		}
		name, _, ok = strings.Cut(name, "]")
		if ok && strings.Join(strings.Fields(name), " ") == strings.Join(want, " ") {
			return i + 1
		}
	}
	return 0
}
