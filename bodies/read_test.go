package bodies

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// endless is a body that never ends.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

// Guards against bodies of unknown size that are refused because the buffers of others
// hold much more memory than their content.
func TestBodiesOfUnknownSizeShareTheMemory(t *testing.T) {
	const bodies, size = 4, 2 << 20
	memory := NewMemory(bodies * size * 13 / 10)
	for range bodies {
		body, err := ReadAll(nil, strings.NewReader(strings.Repeat("x", size)), -1, 16<<20, NewReservation(memory, 1))
		assert.NilError(t, err)
		assert.Equal(t, len(body), size)
	}
}

// Guards against a body that is truncated or altered, and against one beyond a limit
// that is accepted.
func TestReadAll(t *testing.T) {
	errBroken := errors.New("broken")
	tests := []struct {
		name   string
		body   io.Reader
		size   int
		limit  int
		memory int
		want   int
		err    error
	}{
		{"empty", strings.NewReader(""), 0, 10, 0, 0, nil},
		{"unknown size", strings.NewReader(strings.Repeat("x", 9999)), -1, 10_000, 0, 9999, nil},
		{"known size", strings.NewReader(strings.Repeat("x", 9999)), 9999, 10_000, 0, 9999, nil},
		{"known size, large", strings.NewReader(strings.Repeat("x", 3*SmallBody)), 3 * SmallBody, 4 * SmallBody, 8 * SmallBody, 3 * SmallBody, nil},
		{"at the limit", strings.NewReader("0123456789"), -1, 10, 0, 10, nil},
		{"beyond the limit", strings.NewReader("0123456789a"), -1, 10, 0, 11, ErrTooLarge},
		{"announced beyond the limit", strings.NewReader(""), 11, 10, 0, 0, ErrTooLarge},
		{"broken", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errBroken)), -1, 10, 0, 3, errBroken},
		{"endless", &endless{}, -1, 1 << 20, 8 << 20, -1, ErrTooLarge},
		{"larger than the memory", &endless{}, -1, 1 << 20, 100 << 10, -1, ErrExceedsMemory},
		{"unknown size, most of the memory", strings.NewReader(strings.Repeat("x", 230<<10)), -1, 1 << 20, 240 << 10, 230 << 10, nil},
		{"unknown size, no memory", strings.NewReader(strings.Repeat("x", SmallBody+8)), -1, 1 << 20, 0, -1, ErrExceedsMemory},
		{"small, no memory", strings.NewReader(strings.Repeat("x", SmallBody)), SmallBody, 1 << 20, 0, SmallBody, nil},
		{"endless single bytes", iotest.OneByteReader(&endless{}), -1, 16 << 20, 64 << 20, -1, ErrTooFragmented},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := NewMemory(tt.memory)
			reservation := NewReservation(memory, 1)
			got, err := ReadAll(nil, tt.body, tt.size, tt.limit, reservation)
			assert.ErrorIs(t, err, tt.err)
			if tt.want >= 0 {
				assert.Equal(t, len(got), tt.want)
				assert.Equal(t, bytes.Count(got, []byte("x"))+bytes.Count(got, []byte("0")) > 0, tt.want > 0 && !errors.Is(err, errBroken))
			}
			assert.Assert(t, memory.Used() <= int64(tt.memory))
			reservation.Release()
			reservation.Release()
			assert.Equal(t, memory.Used(), int64(0))
		})
	}
}

// Guards against a body that is refused for good although the memory is only in use
// now.
func TestMemoryInUse(t *testing.T) {
	memory := NewMemory(1 << 20)
	other := NewReservation(memory, 2)
	assert.NilError(t, other.Add(400<<10))
	body := strings.Repeat("x", 300<<10)
	_, err := ReadAll(nil, strings.NewReader(body), len(body), 1<<20, NewReservation(memory, 1))
	assert.ErrorIs(t, err, ErrNoMemory)
	other.Release()
	got, err := ReadAll(nil, strings.NewReader(body), len(body), 1<<20, NewReservation(memory, 1))
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(body))
}

// Guards against the time of a whole core for a body of single bytes: it ends after
// few of them.
func TestSingleBytesAreLimited(t *testing.T) {
	source := &endless{}
	_, err := ReadAll(nil, iotest.OneByteReader(source), -1, 16<<20, NewReservation(NewMemory(64<<20), 1))
	assert.ErrorIs(t, err, ErrTooFragmented)
	assert.Assert(t, source.read <= 1<<20, "%d reads", source.read)
}
