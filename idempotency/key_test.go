package idempotency

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against keys with several spellings, which would let one request run
// once per spelling, and against keys without bound.
func TestParse(t *testing.T) {
	cases := []struct {
		text string
		ok   bool
	}{
		{"kt-a-1~1700000000000~1700000000500~r4nd0m", true},
		{"a~0~0~x", true},
		{"", false},
		{"a~1~2", false},
		{"a~1~2~x~y", false},
		{"~1~2~x", false},
		{"a~1~2~", false},
		{"a~01~2~x", false},
		{"a~+1~2~x", false},
		{"a~1~-2~x", false},
		{"a~1~2.0~x", false},
		{"a~1~99999999999999999999~x", false},
		{"a b~1~2~x", false},
		{"a~1~2~\x7f", false},
		{"a~1~2~" + strings.Repeat("x", maxKeyLength), false},
	}
	for _, c := range cases {
		key, err := Parse(c.text)
		if !c.ok {
			assert.ErrorIs(t, err, ErrMalformed, "%q", c.text)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, key.String(), c.text)
	}
	key, err := Parse("kt-a-1~1700000000000~1700000000500~r4nd0m")
	assert.NilError(t, err)
	assert.Equal(t, key, Key{"kt-a-1", 1700000000000, time.UnixMilli(1700000000500), "r4nd0m"})
}

// Guards against two requests that differ only in where one part ends.
func TestFingerprint(t *testing.T) {
	seen := map[uint64]bool{}
	for _, parts := range [][4]string{
		{"s", "POST", "/a", "b"},
		{"s", "POST", "/", "ab"},
		{"s", "POST", "/ab", ""},
		{"s", "PUT", "/a", "b"},
		{"sP", "OST", "/a", "b"},
	} {
		seen[Fingerprint(parts[0], parts[1], parts[2], []byte(parts[3]))] = true
	}
	assert.Equal(t, len(seen), 5)
}
