package relay

import (
	"encoding/hex"
	"errors"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	// keyDigestHeader names, in a request to another instance, the digest of the API key
	// in hexadecimal. Other instances get no keys.
	keyDigestHeader = "Relay-Key-Digest"
	// keyDigestName is keyDigestHeader in lower case.
	keyDigestName = "relay-key-digest"
	// unauthorizedLogsPerSecond limits the log lines and events per second for requests
	// without a valid key: a caller with a revoked key may send many.
	unauthorizedLogsPerSecond = 1
)

// errKeyRevoked means that the key of a request was removed from the configuration while
// the request waited for a target.
var errKeyRevoked = errors.New("API key was revoked")

// credentials are the headers of a request that tell its tenant.
type credentials struct {
	authorization  []byte // the value
	authorizations int    // the number of Authorization headers
	digest         []byte // the value of keyDigestHeader
	digests        int
	// names are those of the headers that a target must not get if there are tenants.
	names    [][]byte
	namesBuf [2][]byte
}

// inspect collects a header whose name is given in lower case as well.
func (cr *credentials) inspect(lower string, name, value []byte) {
	switch {
	case platform.IsAuthorization(lower):
		cr.authorization = value
		cr.authorizations++
	case platform.IsTenantHeader(lower):
	case lower == keyDigestName:
		cr.digest = value
		cr.digests++
		return
	default:
		return
	}
	if cr.names == nil {
		cr.names = cr.namesBuf[:0]
	}
	cr.names = append(cr.names, name)
}

// keyDigest returns the digest of the API key. ok is false if there is none or if there
// are several, of which a target or a proxy might use another one. Another instance sends
// the digest itself; one with a configuration without tenants sends the caller's headers.
func (cr *credentials) keyDigest(fromPeer bool) (digest config.KeyDigest, ok bool) {
	if fromPeer && cr.digests > 0 {
		n, err := hex.Decode(digest[:], cr.digest[:min(len(cr.digest), hex.EncodedLen(len(digest)))])
		return digest, err == nil && n == len(digest) && len(cr.digest) == hex.EncodedLen(n) && cr.digests == 1
	}
	key, ok := platform.APIKey(cr.authorization)
	if !ok || cr.authorizations != 1 {
		return config.KeyDigest{}, false
	}
	return config.DigestKey(key), true
}

// tenantOf returns the tenant of a request and the digest of its key. Both are zero if the
// request needs no key. ok is false if the request must be refused. The route must be that
// of the same document: another one may have made it public.
func (cr *credentials) tenantOf(document *config.Document, route *config.Route, fromPeer bool) (tenant *config.Tenant, digest config.KeyDigest, ok bool) {
	if !document.RequiresKeys() || route.Public {
		return nil, config.KeyDigest{}, true
	}
	if digest, ok = cr.keyDigest(fromPeer); !ok {
		return nil, config.KeyDigest{}, false
	}
	tenant = document.TenantOf(digest)
	return tenant, digest, tenant != nil
}

// lacksKey reports whether a request with a body will be refused since it needs another
// API key. It is called before the first byte of the body is received, and does not know
// whether another instance sends the request: it accepts a valid digest in any case.
func (s *Server) lacksKey(h *fasthttp.RequestHeader) bool {
	document := s.config.Current()
	if document == nil || !document.RequiresKeys() {
		return false
	}
	route := document.Match(string(h.Host()), requestPath(h.RequestURI()))
	if route == nil {
		return false
	}
	c := s.calls.Get().(*call) //nolint:errcheck,forcetypeassert // The pool holds nothing else.
	defer func() { c.reset(); s.calls.Put(c) }()
	if c.header.inspect(h.RawHeaders()) != nil {
		return false // admit refuses the request
	}
	_, _, ok := c.header.credentials.tenantOf(document, route, false)
	if !ok {
		_, _, ok = c.header.credentials.tenantOf(document, route, true)
	}
	return !ok
}

// setTenant determines the tenant of a request whose document and route are set.
func (c *call) setTenant(req *fasthttp.Request) *failure {
	var ok bool
	c.tenant, c.keyDigest, ok = c.header.credentials.tenantOf(c.document, c.route, c.fromPeer)
	switch {
	case !ok:
		return unauthorizedFailure()
	case c.header.isBodyHidden(req):
		return unavailableFailure(refusedStale, "configuration has changed while the request arrived", notReadyRetryAfter)
	}
	return nil
}

// priority returns the priority of a request: that of its tenant before that of its route.
func (c *call) priority() int {
	if c.tenant != nil {
		return c.tenant.Priority
	}
	return c.route.Priority
}

// isRevoked reports whether the key of a request has been removed from the configuration
// since the request was admitted.
func (s *Server) isRevoked(c *call) bool {
	if c.tenant == nil {
		return false
	}
	document := s.config.Current()
	return document != c.document && document.RequiresKeys() && document.TenantOf(c.keyDigest) == nil
}

// replaceCredentials removes the headers of callers that a target must not get, and sets
// the tenant. Without tenants in the configuration, it removes only what other instances
// send.
func (c *call) replaceCredentials(h *fasthttp.RequestHeader) {
	h.Del(keyDigestHeader) // in a trailer
	if !c.document.RequiresKeys() {
		return
	}
	name := ""
	if c.tenant != nil {
		name = c.tenant.Name
	}
	platform.SetTenant(h, name)
}

// setKeyDigest states the digest of the API key to another instance.
func setKeyDigest(h *fasthttp.RequestHeader, c *call) {
	if c.tenant != nil {
		h.Set(keyDigestHeader, hex.EncodeToString(c.keyDigest[:]))
	}
}

func unauthorizedFailure() *failure {
	return notRunFailure(refusedUnauthorized, fasthttp.StatusUnauthorized, "request has no valid API key")
}
