package config

import (
	"errors"
	"fmt"
)

// ErrInvalid reports a configuration that cannot be published. The error that
// wraps it names section, key and value of every problem.
var ErrInvalid = errors.New("invalid configuration")

// Problem is one reason why a document cannot be published. Key and Value are
// empty when the whole section is at fault.
type Problem struct {
	Section string
	Key     string
	Value   string
	Reason  string
}

// String names the place, the wrong value and the reason.
func (p Problem) String() string {
	if p.Section == "" {
		return p.Reason
	}
	if p.Key == "" {
		return fmt.Sprintf("section %q: %s", p.Section, p.Reason)
	}
	return fmt.Sprintf("section %q, key %q, value %q: %s", p.Section, p.Key, p.Value, p.Reason)
}

// InvalidError lists every problem of a document in the order of its sections.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	text := ErrInvalid.Error()
	for _, p := range e.Problems {
		text += "\n  " + p.String()
	}
	return text
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }
