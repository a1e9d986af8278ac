package config

import "crypto/sha256"

// KeyDigest identifies an API key without containing it: the first 16 bytes of its
// SHA-256 hash.
type KeyDigest [16]byte

// DigestKey returns the digest of an API key.
func DigestKey(key []byte) KeyDigest {
	sum := sha256.Sum256(key)
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Tenant is a group of callers that share API keys and a quota.
type Tenant struct {
	Name string
	// Keys are the digests of the API keys. Requests with one of these keys belong to
	// the tenant.
	Keys []KeyDigest
	// Priority ranks the requests of the tenant before the priority of their routes; 0 is
	// the highest priority.
	Priority int
	// RatePerSecond is the number of requests per second that all instances together
	// accept from the tenant, and Burst the number that they accept in addition after a
	// pause. A RatePerSecond of 0 means that there is no limit.
	RatePerSecond float64
	Burst         float64
}

// TenantOf returns the tenant that holds the key with the digest, or nil if there is
// none.
func (d *Document) TenantOf(digest KeyDigest) *Tenant { return d.tenants[digest] }

// RequiresKeys reports whether requests need an API key, other than those of public
// routes. Without any tenant, no key is valid.
func (d *Document) RequiresKeys() bool { return d.KeysRequired || len(d.Tenants) > 0 }

// IsLimited reports whether the tenant has a quota.
func (t *Tenant) IsLimited() bool { return t.RatePerSecond > 0 }

// IsColdLimited reports whether the service limits the requests to cold targets.
func (s *Service) IsColdLimited() bool { return s.ColdPerSecond > 0 }
