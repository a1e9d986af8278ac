package main

import (
	"fmt"
	"strings"
)

// settings holds the fields of the platform's settings file, nested by their dots: maps,
// lists of texts and texts.
type settings map[string]any

// lookup returns the value of a dotted name, nil if there is none.
func (s settings) lookup(name string) any {
	var v any = map[string]any(s)
	for _, part := range strings.Split(name, ".") {
		switch at := v.(type) {
		case map[string]any:
			v = at[part]
		case []string:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(at) {
				return nil
			}
			v = at[i]
		default:
			return nil
		}
	}
	return v
}

func (s settings) text(name string) string {
	switch v := s.lookup(name).(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(v, ",")
	default:
		return fmt.Sprint(v)
	}
}

// render fills in a template of settings: values, and sections that are rendered once if
// their value is present and not false.
func (s settings) render(template string) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("placeholder %.20q does not end", rest)
		}
		template = after
		if name[0] != '#' && name[0] != '^' {
			out.WriteString(s.text(name))
			continue
		}
		inner, after, found := strings.Cut(after, "{{/"+name[1:]+"}}")
		if !found {
			return "", fmt.Errorf("section %q does not end", name)
		}
		template = after
		v := s.lookup(name[1:])
		present := v != nil && v != false && v != ""
		if present == (name[0] == '#') {
			text, err := s.render(inner)
			if err != nil {
				return "", err
			}
			out.WriteString(text)
		}
	}
}
