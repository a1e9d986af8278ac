// Package idempotency holds idempotency keys and the deduplication table of the
// requests that an instance dispatched with a key.
package idempotency

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrMalformed means that a text is not a key.
var ErrMalformed = errors.New("idempotency key is malformed")

const (
	separator = "~"
	keyParts  = 4
	// maxKeyLength bounds the memory that a key takes, in bytes.
	maxKeyLength = 256
)

// Key identifies a non-idempotent request over its repeats. It names the
// instance that alone may dispatch the request.
type Key struct {
	// Instance and Incarnation name the owner.
	Instance    string
	Incarnation int64
	// Issued is when the caller made the key, in whole milliseconds.
	Issued time.Time
	Random string
}

// Parse parses a key of the form instance~incarnation~issue time in Unix
// ms~random. The error wraps ErrMalformed.
func Parse(text string) (Key, error) {
	if len(text) > maxKeyLength {
		return Key{}, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrMalformed, len(text), maxKeyLength)
	}
	parts := strings.Split(text, separator)
	if len(parts) != keyParts {
		return Key{}, fmt.Errorf("%w: %q has %d parts, not %d", ErrMalformed, text, len(parts), keyParts)
	}
	incarnation, err := parseNumber(parts[1])
	if err != nil {
		return Key{}, fmt.Errorf("%w: incarnation %q", ErrMalformed, parts[1])
	}
	issued, err := parseNumber(parts[2])
	if err != nil {
		return Key{}, fmt.Errorf("%w: issue time %q", ErrMalformed, parts[2])
	}
	if !isToken(parts[0]) || !isToken(parts[3]) {
		return Key{}, fmt.Errorf("%w: %q has an empty or unprintable part", ErrMalformed, text)
	}
	return Key{Instance: parts[0], Incarnation: incarnation, Issued: time.UnixMilli(issued), Random: parts[3]}, nil
}

// parseNumber accepts only the form that FormatInt writes, so that one key has
// one spelling.
func parseNumber(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if n < 0 || strconv.FormatInt(n, 10) != text {
		return 0, strconv.ErrSyntax
	}
	return n, nil
}

func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}

// String returns the text form of the key.
func (k Key) String() string {
	return strings.Join([]string{
		k.Instance, strconv.FormatInt(k.Incarnation, 10), strconv.FormatInt(k.Issued.UnixMilli(), 10), k.Random,
	}, separator)
}

// Fingerprint distinguishes requests that come with the same key.
func Fingerprint(service, method, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{service, method, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0}) // no part contains a zero byte
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
