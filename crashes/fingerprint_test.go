package crashes

import (
	"bytes"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are taken for copies of each other although they differ,
// and against copies that are not recognized.
func TestFingerprint(t *testing.T) {
	long := bytes.Repeat([]byte("b"), maxHashedBody+1)
	request := [4][]byte{[]byte("GET"), []byte("h"), []byte("/p?q=1"), []byte("body")}
	others := []struct {
		name    string
		request [4][]byte
	}{
		{"method", [4][]byte{[]byte("PUT"), []byte("h"), []byte("/p?q=1"), []byte("body")}},
		{"host", [4][]byte{[]byte("GET"), []byte("g"), []byte("/p?q=1"), []byte("body")}},
		{"query", [4][]byte{[]byte("GET"), []byte("h"), []byte("/p?q=2"), []byte("body")}},
		{"body", [4][]byte{[]byte("GET"), []byte("h"), []byte("/p?q=1"), []byte("bodY")}},
		{"boundary between parts", [4][]byte{[]byte("GET"), []byte("h/"), []byte("p?q=1"), []byte("body")}},
		{"length of a long body", [4][]byte{[]byte("GET"), []byte("h"), []byte("/p?q=1"), long}},
	}
	fingerprint := func(r [4][]byte) Fingerprint { return NewFingerprint(r[0], r[1], r[2], r[3]) }
	seen := map[Fingerprint]bool{fingerprint(request): true}
	for _, tt := range others {
		f := fingerprint(tt.request)
		assert.Assert(t, !seen[f], tt.name)
		seen[f] = true
	}
	assert.Assert(t, seen[NewFingerprint([]byte("GET"), []byte("h"), []byte("/p?q=1"), []byte("body"))])
	assert.Assert(t, !seen[fingerprint([4][]byte{[]byte("GET"), []byte("h"), []byte("/p?q=1"), append(long, 'b')})])
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, maxHashedBody} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				NewFingerprint([]byte("POST"), []byte("spoolkeep.example"), []byte("/orders/1?page=2"), body)
			}
		})
	}
}
