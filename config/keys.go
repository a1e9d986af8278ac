package config

import (
	"encoding/hex"
	"errors"
)

// Keys are API keys by their digests. Only operators' commands have them, as they publish
// documents with keys; instances have digests.
type Keys map[KeyDigest]string

// Add adds a key and returns its digest.
func (k Keys) Add(key string) KeyDigest {
	digest := DigestKey([]byte(key))
	k[digest] = key
	return digest
}

// String returns the digest in hexadecimal, as operators see it.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

var errDigest = errors.New("not a digest of 32 hexadecimal digits")

// ParseKeyDigest parses a digest in hexadecimal.
func ParseKeyDigest(text string) (KeyDigest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(KeyDigest{}) {
		return KeyDigest{}, errDigest
	}
	return KeyDigest(raw), nil
}
