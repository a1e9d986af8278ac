// Package crashes finds the requests that end the targets which run them: it counts,
// for each request, the targets that ended while it was in flight there.
package crashes

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// FingerprintSize is the size of a fingerprint in bytes.
	FingerprintSize = 16
	// maxHashedBody limits the bytes of a body that a fingerprint covers, so that it
	// takes little time. It covers the length of the whole body.
	maxHashedBody = 64 << 10
)

// Fingerprint identifies all copies of a request, whoever sends them. It is
// cryptographic, so that nobody can give another request the fingerprint of one.
type Fingerprint [FingerprintSize]byte

// NewFingerprint returns the fingerprint of a request: of its method, host, URI and
// body. Two copies differ in their IDs and often in other headers.
func NewFingerprint(method, host, uri, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{method, host, uri, body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // cannot fail
		_, _ = h.Write(part[:min(len(part), maxHashedBody)])
	}
	return Fingerprint(h.Sum(nil)[:FingerprintSize])
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
