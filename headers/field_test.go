package headers

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a line that is cut where another recipient would not cut it: at a bare line
// feed, or behind a bare carriage return.
func TestCutLine(t *testing.T) {
	tests := []struct {
		raw, line, rest string
		err             error
	}{
		{"A: b\r\nC: d\r\n", "A: b", "C: d\r\n", nil},
		{"\r\nbody", "", "body", nil},
		{"A: b\rc\r\n", "A: b\rc", "", nil},
		{"A: b\nC: d\r\n", "", "A: b\nC: d\r\n", ErrLine},
		{"\nA: b\r\n", "", "\nA: b\r\n", ErrLine},
		{"A: b", "", "A: b", ErrIncomplete},
		{"A: b\r", "", "A: b\r", ErrIncomplete},
		{"", "", "", ErrIncomplete},
	}
	for _, tt := range tests {
		t.Run(tt.raw, func(t *testing.T) {
			line, rest, err := CutLine([]byte(tt.raw))
			assert.ErrorIs(t, err, tt.err)
			assert.Equal(t, string(line), tt.line)
			assert.Equal(t, string(rest), tt.rest)
		})
	}
}

// Guards against a line that continues another one, or whose name is no token, and that
// counts as a field of its own: recipients differ in what they read there.
func TestParseField(t *testing.T) {
	tests := []struct {
		line, name, value string
		err               error
	}{
		{"A: b", "A", "b", nil},
		{"A:b", "A", "b", nil},
		{"A: \t b c \t", "A", "b c", nil},
		{"A:", "A", "", nil},
		{"A: b: c", "A", "b: c", nil},
		{"!#$%&'*+-.^_`|~09az: b", "!#$%&'*+-.^_`|~09az", "b", nil},
		{" A: b", "", "", ErrLine},
		{"\tA: b", "", "", ErrLine},
		{" ", "", "", ErrLine},
		{"A : b", "", "", ErrName},
		{"A\t: b", "", "", ErrName},
		{"A B: c", "", "", ErrName},
		{": b", "", "", ErrName},
		{"A", "", "", ErrName},
		{"", "", "", ErrName},
		{"A\xe9: b", "", "", ErrName},
		{"A(b): c", "", "", ErrName},
		{"A\r: b", "", "", ErrName},
		{"\x00: b", "", "", ErrName},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			field, err := ParseField([]byte(tt.line))
			assert.ErrorIs(t, err, tt.err)
			assert.Equal(t, string(field.Name), tt.name)
			assert.Equal(t, string(field.Value()), tt.value)
		})
	}
}

// Guards against control bytes in a value, and against bytes above 0x7f that are rejected.
func TestIsText(t *testing.T) {
	for c := range 256 {
		allowed := c == '\t' || c >= ' ' && c != 0x7f
		assert.Equal(t, IsText([]byte{'a', byte(c), 'b'}), allowed, "byte %#x", c)
	}
}
