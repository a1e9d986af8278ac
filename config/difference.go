package config

import (
	"fmt"
	"slices"
	"strings"
)

// DifferenceKind says how a part of a service differs.
type DifferenceKind string

// The kinds of difference.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one added or removed section, or one key whose value differs.
// Key, Old and New are empty for sections; Old or New is empty for a route's
// key that only one side sets.
type Difference struct {
	Kind    DifferenceKind
	Section string
	Key     string
	Old     string
	New     string
}

// String writes the difference for operators.
func (d Difference) String() string {
	if d.Key == "" {
		return fmt.Sprintf("%s [%s]", d.Kind, d.Section)
	}
	return fmt.Sprintf("%s [%s] %s: %q -> %q", d.Kind, d.Section, d.Key, d.Old, d.New)
}

// Diff returns the differences of two versions of a service: first those of
// the service's own keys, then of targets by name, then of routes by method
// and path. The order in which a service lists its targets and routes is no
// difference. A nil service stands for an absent one. The drain of targets is
// not part of a document and is left out.
func Diff(before, after *Service) []Difference {
	oldSections, newSections := sectionsOf(before), sectionsOf(after)
	names := make([]string, 0, len(oldSections)+len(newSections))
	for name := range oldSections {
		names = append(names, name)
	}
	for name := range newSections {
		if _, ok := oldSections[name]; !ok {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, compareSections)
	var differences []Difference
	for _, name := range names {
		oldFields, inOld := oldSections[name]
		newFields, inNew := newSections[name]
		switch {
		case !inOld:
			differences = append(differences, Difference{Kind: Added, Section: name})
		case !inNew:
			differences = append(differences, Difference{Kind: Removed, Section: name})
		default:
			differences = append(differences, diffFields(name, oldFields, newFields)...)
		}
	}
	return differences
}

// compareSections sorts the service before its targets and these before its
// routes.
func compareSections(a, b string) int {
	if rank := sectionRank(a) - sectionRank(b); rank != 0 {
		return rank
	}
	return strings.Compare(a, b)
}

func sectionRank(name string) int {
	switch {
	case strings.HasPrefix(name, "service "):
		return 0
	case strings.HasPrefix(name, "target "):
		return 1
	default:
		return 2
	}
}

func sectionsOf(s *Service) map[string][]field {
	sections := map[string][]field{}
	if s == nil {
		return sections
	}
	sections[serviceSection(s)] = serviceFields(s)
	for _, t := range s.Targets {
		sections[targetSection(s, t)] = targetFields(t)
	}
	for _, r := range s.Routes {
		sections[routeSection(s, r)] = routeFields(r)
	}
	return sections
}

// diffFields compares two sections key by key, in the order of the canonical
// text.
func diffFields(section string, before, after []field) []Difference {
	var differences []Difference
	for _, f := range mergeKeys(before, after) {
		oldValue, newValue := valueOf(before, f), valueOf(after, f)
		if oldValue != newValue {
			differences = append(differences, Difference{Kind: Changed, Section: section, Key: f, Old: oldValue, New: newValue})
		}
	}
	return differences
}

func mergeKeys(before, after []field) []string {
	keys := make([]string, 0, len(before))
	for _, f := range before {
		keys = append(keys, f.key)
	}
	for _, f := range after {
		if !slices.Contains(keys, f.key) {
			keys = append(keys, f.key)
		}
	}
	return keys
}

func valueOf(fields []field, key string) string {
	for _, f := range fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}
