package relay

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

const (
	keyOfA      = "mgjqnirth5mgjy5rcpih"
	keyOfB      = "hacruddedev3nax7u27g"
	keyOfC      = "schl\xc3\xbcssel\xff"
	unknownKey  = "zzzzzzzzzzzzzzzzzzzz"
	withKeyA    = "Authorization: Token " + keyOfA
	withKeyB    = "Authorization: Token " + keyOfB
	withUnknown = "Authorization: Token " + unknownKey
)

// longKey is a key that almost fills the header of a request.
var longKey = strings.Repeat("k", maxHeaderFields)

// tenantDocument returns the configuration of the harness with tenants and a public
// route.
func tenantDocument() *config.Document {
	d := harnessDocument()
	public := *d.Routes[0]
	public.Name, public.PathPrefix, public.Public = "/public/", "/public/", true
	d.Routes = append(d.Routes, &public)
	for _, t := range []struct{ name, key string }{{"a", keyOfA}, {"b", keyOfB}, {"c", keyOfC}, {"d", longKey}} {
		d.Tenants = append(d.Tenants, &config.Tenant{Name: t.name, Priority: 3, Keys: []config.KeyDigest{config.DigestKey([]byte(t.key))}})
	}
	d.Index()
	return d
}

// withoutTenantA returns the document without the tenant a.
func withoutTenantA(d *config.Document) *config.Document {
	changed := *d
	changed.Version++
	changed.Tenants = nil
	for _, t := range d.Tenants {
		if t.Name != "a" {
			changed.Tenants = append(changed.Tenants, t)
		}
	}
	changed.Index()
	return &changed
}

// tenantHeaders returns the lines of a request with the credentials and tenants in it, by
// any spelling of the names, and checks that none of the keys is in the header.
func tenantHeaders(t testing.TB, req *fasthttp.Request) []string {
	t.Helper()
	raw := string(req.Header.RawHeaders())
	for _, key := range []string{keyOfA, keyOfB, keyOfC, unknownKey, longKey} {
		assert.Check(t, !strings.Contains(raw, key), "a target gets a key")
	}
	var lines []string
	for line := range strings.SplitSeq(raw, "\r\n") {
		name, _, _ := strings.Cut(strings.ToLower(line), ":")
		switch strings.ReplaceAll(name, "_", "-") {
		case "authorization", "rhubarbrelay-tenant", keyDigestName:
			lines = append(lines, line)
		}
	}
	return lines
}

// tenantTarget starts a target that responds with the headers that tell a tenant.
func tenantTarget(t testing.TB, id string) *scriptedTarget {
	return newScriptedTarget(t, id, "a", func(req *fasthttp.Request) (string, bool) {
		return sealed(req, 200, strings.Join(tenantHeaders(t, req), "|")), false
	})
}

func newTenantHarness(t testing.TB, opts ...Option) *harness {
	t.Helper()
	h := newHarness(t, targetInfos(tenantTarget(t, "t-1")), opts...)
	h.document.Store(tenantDocument())
	return h
}

// Guards against a request without a valid key that runs, a valid one that is refused, a
// target that gets a key, and a target that gets another tenant than that of the key.
func TestAPIKeys(t *testing.T) {
	const tenantA = "Rhubarbrelay-Tenant: a"
	digest := config.DigestKey([]byte(keyOfB))
	forgedDigest := keyDigestHeader + ": " + hex.EncodeToString(digest[:])
	forged := []string{"Rhubarbrelay-Tenant: b", "rhubarbrelay-TENANT: b", "Rhubarbrelay_Tenant: b", "Rhubarbrelay-Tenant:"}
	tests := []struct {
		name   string
		path   string
		lines  []string
		status int
		want   string
	}{
		{"key", "/once/", []string{withKeyA}, 200, tenantA},
		{"key of another tenant", "/once/", []string{withKeyB}, 200, "Rhubarbrelay-Tenant: b"},
		{"scheme and name in another case", "/once/", []string{"AUTHORIZATION: tOKEN " + keyOfA}, 200, tenantA},
		{"spaces", "/once/", []string{"authorization: \t Token    " + keyOfA + " \t "}, 200, tenantA},
		{"no space after the colon", "/once/", []string{"Authorization:Token " + keyOfA}, 200, tenantA},
		{"key with bytes beyond ASCII", "/once/", []string{"Authorization: Token " + keyOfC}, 200, "Rhubarbrelay-Tenant: c"},
		{"long key", "/once/", []string{"Authorization: Token " + longKey}, 200, "Rhubarbrelay-Tenant: d"},
		{"no key", "/once/", nil, 401, ""},
		{"unknown key", "/once/", []string{withUnknown}, 401, ""},
		{"key in another case", "/once/", []string{"Authorization: Token " + strings.ToUpper(keyOfA)}, 401, ""},
		{"beginning of a key", "/once/", []string{"Authorization: Token " + keyOfA[:19]}, 401, ""},
		{"longer key", "/once/", []string{"Authorization: Token " + keyOfA + "x"}, 401, ""},
		{"unknown long key", "/once/", []string{"Authorization: Token " + longKey + "k"}, 401, ""},
		{"unknown key beyond ASCII", "/once/", []string{"Authorization: Token \xff\xfe\xc3"}, 401, ""},
		{"no-break space", "/once/", []string{"Authorization: Token\xc2\xa0" + keyOfA}, 401, ""},
		{"key and a no-break space", "/once/", []string{"Authorization: Token " + keyOfA + "\xc2\xa0"}, 401, ""},
		{"tab between scheme and key", "/once/", []string{"Authorization: Token\t" + keyOfA}, 401, ""},
		{"two keys in a header", "/once/", []string{withKeyA + " " + keyOfA}, 401, ""},
		{"list", "/once/", []string{withKeyA + ", Token " + keyOfA}, 401, ""},
		{"parameter", "/once/", []string{"Authorization: Token key=" + keyOfA}, 401, ""},
		{"no scheme", "/once/", []string{"Authorization: " + keyOfA}, 401, ""},
		{"no key after the scheme", "/once/", []string{"Authorization: Token "}, 401, ""},
		{"empty", "/once/", []string{"Authorization:"}, 401, ""},
		{"other scheme", "/once/", []string{"Authorization: Bearer " + keyOfA}, 401, ""},
		{"basic", "/once/", []string{"Authorization: Basic " + keyOfA}, 401, ""},
		{"same key twice", "/once/", []string{withKeyA, withKeyA}, 401, ""},
		{"two keys", "/once/", []string{withKeyA, "aUTHORIZATION: Token " + keyOfB}, 401, ""},
		{"key and empty header", "/once/", []string{withKeyA, "Authorization:"}, 401, ""},
		{"key in another header", "/once/", []string{"Proxy-Authorization: Token " + keyOfA}, 401, ""},
		{"digest of a key", "/once/", []string{forgedDigest}, 401, ""},
		{"key and digest of another one", "/once/", []string{withKeyA, forgedDigest, forgedDigest}, 200, tenantA},
		{"forged tenant", "/once/", append(forged, withKeyA), 200, tenantA},
		{"forged tenant without key", "/once/", forged, 401, ""},
		{"hop-by-hop key", "/once/", []string{withKeyA, "Connection: authorization, rhubarbrelay-tenant", "Rhubarbrelay-Tenant: b"}, 200, tenantA},
		{"public", "/public/", nil, 200, ""},
		{"public, with a key", "/public/", []string{withKeyA}, 200, ""},
		{"public, with an unknown key", "/public/", []string{withUnknown, withUnknown}, 200, ""},
		{"public, forged tenant", "/public/", append(forged, forgedDigest), 200, ""},
		{"no route", "/other/", nil, 404, "no route matches\n"},
	}
	h := newTenantHarness(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, body := range []string{"", "body"} {
				got := h.call(t, "POST", tt.path, body, tt.lines...)
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], "id-1")
				if tt.status != 401 {
					assert.Equal(t, got.body, tt.want)
					continue
				}
				assert.Equal(t, got.headers["Www-Authenticate"], "Token")
			}
		})
	}
	assert.Equal(t, h.table.Dispatcher("spoolkeep").Stats().Failures, uint64(0))
}

// Guards against a tenant that a caller names in a trailer.
func TestTenantInTrailer(t *testing.T) {
	const trailers = "0\r\nRhubarbrelay-Tenant: b\r\nrhubarbrelay_tenant: b\r\n" + keyDigestHeader + ": 00\r\n\r\n"
	h := newTenantHarness(t)
	for _, announced := range []string{"", "Trailer: Rhubarbrelay-Tenant, Relay-Key-Digest, rhubarbrelay_tenant\r\n"} {
		for _, tt := range []struct{ path, key, want string }{{"/once/", withKeyA + "\r\n", "Rhubarbrelay-Tenant: a"}, {"/public/", "", ""}} {
			got := h.raw(t, "POST "+tt.path+" HTTP/1.1\r\n"+host+"Rhubarbrelay-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n"+announced+tt.key+
				"\r\n4\r\nbody\r\n"+trailers)
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, tt.want, "announced by %q, path %s", announced, tt.path)
		}
	}
}

// Guards against a key in a trailer that admits a request.
func TestKeyInTrailer(t *testing.T) {
	h := newTenantHarness(t)
	for _, announced := range []string{"", "Trailer: Authorization\r\n"} {
		got := h.raw(t, "POST /once/ HTTP/1.1\r\n"+host+"Rhubarbrelay-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n"+announced+
			"\r\n4\r\nbody\r\n0\r\n"+withKeyA+"\r\n\r\n")
		assert.Assert(t, got.status == 401 || got.status == 400, "status %d", got.status)
	}
}

// Guards against a request without a valid key whose sender is asked for the body or
// waits for a response until it has sent some of it.
func TestRefusalBeforeBody(t *testing.T) {
	tests := []struct{ name, lines string }{
		{"length", "Content-Length: 4\r\n"},
		{"chunked", "Transfer-Encoding: chunked\r\n"},
		{"length, expectation", "Content-Length: 4\r\nExpect: 100-continue\r\n"},
		{"chunked, expectation", "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"},
		{"unknown key", "Content-Length: 4\r\n" + withUnknown + "\r\n"},
		{"digest of no key", "Content-Length: 4\r\n" + keyDigestHeader + ": 00\r\n"},
		{"body of many segments", "Content-Length: 4000000\r\n"},
	}
	h := newTenantHarness(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := h.connect(t)
			c.send("POST /once/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: id-1\r\n" + tt.lines + "\r\n")
			got := c.mustReceive()
			assert.Equal(t, got.status, 401)
			assert.Equal(t, got.headers["Connection"], "close")
			assert.Equal(t, got.headers["Rhubarbrelay-Attempt-Id"], "id-1")
			_, err := c.receive()
			assert.ErrorContains(t, err, "EOF")
		})
	}
}

// Guards against a response that is lost as its caller is still sending the body, which
// is not read.
func TestRefusalWhileBodyIsSent(t *testing.T) {
	const size = 1 << 20
	h := newTenantHarness(t)
	for _, tt := range []struct {
		lines  string
		status int
	}{{"Rhubarbrelay-Attempt-Id: id-1\r\n", 401}, {"", 400}} {
		c := h.connect(t)
		c.send("POST /once/ HTTP/1.1\r\n" + host + tt.lines + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size))
		assert.Equal(t, c.mustReceive().status, tt.status)
	}
}

// Guards against a body that is not asked for although the key is valid.
func TestExpectationWithKey(t *testing.T) {
	h := newTenantHarness(t)
	c := h.connect(t)
	c.send("POST /once/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: id-1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n" + withKeyA + "\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	assert.NilError(t, err)
	c.send("body")
	assert.Equal(t, c.mustReceive().body, "Rhubarbrelay-Tenant: a")
}

// Guards against a request that gets the tenant of another one on its connection.
func TestTenantsOnOneConnection(t *testing.T) {
	requests := []struct {
		request string
		status  int
		want    string
	}{
		{rawRequest("GET", "/safe/", "", withKeyA), 200, "Rhubarbrelay-Tenant: a"},
		{rawRequest("GET", "/safe/", ""), 401, ""},
		{rawRequest("POST", "/once/", "body", withKeyB), 200, "Rhubarbrelay-Tenant: b"},
		{rawRequest("GET", "/public/", ""), 200, ""},
		{rawRequest("GET", "/safe/", "", withUnknown), 401, ""},
		{rawRequest("POST", "/once/", "body", withKeyA, "Rhubarbrelay-Tenant: b"), 200, "Rhubarbrelay-Tenant: a"},
		{rawRequest("HEAD", "/safe/", "", withUnknown), 401, ""},
		{rawRequest("GET", "/safe/", "", withKeyB), 200, "Rhubarbrelay-Tenant: b"},
	}
	h := newTenantHarness(t)
	for _, pipelined := range []bool{false, true} {
		t.Run(fmt.Sprintf("pipelined %t", pipelined), func(t *testing.T) {
			c := h.connect(t)
			for _, r := range requests {
				if pipelined {
					c.send(r.request)
				}
			}
			for i, r := range requests {
				if !pipelined {
					c.send(r.request)
				}
				got, err := c.receiveResponse(strings.HasPrefix(r.request, "HEAD"))
				assert.NilError(t, err)
				assert.Equal(t, got.status, r.status, "request %d", i)
				if r.status == 200 {
					assert.Equal(t, got.body, r.want, "request %d", i)
				}
			}
		})
	}
}

// Guards against a revoked key that stays in use on an open connection, and against one
// that is added and refused there.
func TestRevocationOnKeptConnection(t *testing.T) {
	h := newTenantHarness(t)
	c := h.connect(t)
	all := tenantDocument()
	for range 3 {
		for _, step := range []struct {
			document *config.Document
			want     int
		}{{all, 200}, {withoutTenantA(all), 401}, {nil, 503}} {
			h.document.Store(step.document)
			c.send(rawRequest("GET", "/safe/", "", withKeyA))
			assert.Equal(t, c.mustReceive().status, step.want)
		}
	}
}

// Guards against a request that is sent to a target after its key was revoked, as it has
// waited for the target.
func TestRevocationWhileQueued(t *testing.T) {
	tests := []struct {
		name  string
		newer *config.Document
	}{
		{"tenant removed", withoutTenantA(tenantDocument())},
		{"last tenant removed", withoutAnyTenant(tenantDocument())},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkRevocationWhileQueued(t, tt.newer) })
	}
}

func checkRevocationWhileQueued(t *testing.T, newer *config.Document) {
	t.Helper()
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		arrived <- struct{}{}
		<-release
		return echo(req)
	})
	target.info.Slots = 1
	h := newHarness(t, targetInfos(target))
	h.document.Store(tenantDocument())
	running, waiting := h.connect(t), h.connect(t)
	running.send(rawRequest("POST", "/once/", "first", withKeyB))
	<-arrived
	waiting.send(rawRequest("POST", "/once/", "second", withKeyA))
	waitFor(t, "the request waits", func() bool { return h.table.Dispatcher("spoolkeep").Stats().Waiting == 1 })
	h.document.Store(newer)
	close(release)
	assert.Equal(t, running.mustReceive().status, 200)
	assert.Equal(t, waiting.mustReceive().status, 401)
	assert.Equal(t, len(target.receivedIDs()), 1)
}

// withoutAnyTenant returns the document after its last tenant was removed.
func withoutAnyTenant(d *config.Document) *config.Document {
	changed := *d
	changed.Version++
	changed.Tenants, changed.KeysRequired = nil, true
	changed.Index()
	return &changed
}

// Guards against the removal of the last tenant admitting every key, and against a target
// that is shown a key after it.
func TestRemovalOfLastTenant(t *testing.T) {
	tests := []struct {
		name, method, path, line string
		status                   int
		want                     string
	}{
		{"removed key", "POST", "/once/", withKeyA, 401, "request has no valid API key\n"},
		{"removed key, idempotent", "GET", "/safe/", withKeyA, 401, "request has no valid API key\n"},
		{"unknown key", "POST", "/once/", withUnknown, 401, "request has no valid API key\n"},
		{"no key", "POST", "/once/", "X: y", 401, "request has no valid API key\n"},
		{"public route", "POST", "/public/", withKeyA, 200, ""},
		{"public route, forged tenant", "POST", "/public/", "Rhubarbrelay-Tenant: a", 200, ""},
	}
	h := newTenantHarness(t)
	kept := h.connect(t)
	kept.send(rawRequest("POST", "/once/", "body", withKeyA))
	assert.Equal(t, kept.mustReceive().status, 200)
	h.document.Store(withoutAnyTenant(tenantDocument()))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			kept := h.connect(t)
			for range 2 {
				kept.send(rawRequest(tt.method, tt.path, "", tt.line))
				got := kept.mustReceive()
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, got.body, tt.want)
			}
			got := h.call(t, "POST", tt.path, "body", tt.line)
			assert.Equal(t, got.status, tt.status)
		})
	}
	kept.send(rawRequest("POST", "/once/", "body", withKeyA))
	assert.Equal(t, kept.mustReceive().status, 401)
	h.document.Store(tenantDocument())
	assert.Equal(t, h.call(t, "POST", "/once/", "body", withKeyA).body, "Rhubarbrelay-Tenant: a")
}

// Guards against another instance that runs a request although it has removed the last
// tenant already.
func TestPassingOnAfterRemovalOfLastTenant(t *testing.T) {
	other := newTenantHarness(t)
	other.document.Store(withoutAnyTenant(tenantDocument()))
	h := newCutHarness(t, &peerList{[]netip.AddrPort{other.servePeers(t)}})
	for _, document := range []*config.Document{tenantDocument(), harnessDocument()} {
		h.document.Store(document)
		assert.Equal(t, h.call(t, "POST", "/once/", "body", withKeyA).status, 503)
	}
	assert.Equal(t, other.relay.counters.takenOver.Load(), uint64(2))
}

// Guards against a second try that carries the key or no tenant.
func TestTenantOfFurtherTries(t *testing.T) {
	tests := []struct {
		name  string
		first targetScript // of a hedged request, nil
	}{
		{"retry", respondAlways(func(r *fasthttp.Request) string { return notRunResponse(r, 503) }, false)},
		{"retry after a broken exchange", respondAlways(func(*fasthttp.Request) string { return "" }, true)},
		{"hedge", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			first := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
				assert.Check(t, strings.Join(tenantHeaders(t, req), "|") == "Rhubarbrelay-Tenant: a")
				if tt.first == nil {
					<-release
					return "", true
				}
				return tt.first(req)
			})
			h := newHarness(t, targetInfos(first))
			h.document.Store(tenantDocument())
			c := h.connect(t)
			second := tenantTarget(t, "t-2")
			if tt.first != nil {
				second.info.Zone = "b"
				h.targets = targetInfos(first, second)
				h.table.RefreshTargets("spoolkeep")
			}
			c.send(rawRequest("GET", "/safe/", "", withKeyA, "Rhubarbrelay-Tenant: b"))
			waitFor(t, "the first target has the request", func() bool { return len(first.receivedIDs()) == 1 })
			if tt.first == nil {
				h.targets = targetInfos(first, second)
				h.table.RefreshTargets("spoolkeep")
			}
			got := c.mustReceive()
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, "Rhubarbrelay-Tenant: a")
		})
	}
}

// Guards against status 401 from an instance that has no configuration yet, with which a
// caller would take its key for revoked.
func TestKeyWithoutConfiguration(t *testing.T) {
	h := newTenantHarness(t)
	h.document.Store(nil)
	for _, body := range []string{"", "body"} {
		assert.Equal(t, h.call(t, "POST", "/once/", body, withUnknown).status, 503)
	}
}

// documentOnRefresh is a Freshness that activates a document.
type documentOnRefresh struct {
	h        *harness
	document *config.Document
}

// Await implements Freshness.
func (f *documentOnRefresh) Await(context.Context) bool {
	if f.document != nil {
		f.h.document.Store(f.document)
	}
	return true
}

// Guards against a request that runs without its body, or is refused with 401, as its key
// became valid after the check of its header.
func TestKeyAddedWhileRequestArrives(t *testing.T) {
	for _, body := range []string{"", "body"} {
		refresh := &documentOnRefresh{}
		h := newTenantHarness(t, WithFreshness(refresh))
		h.document.Store(withoutTenantA(tenantDocument()))
		refresh.h, refresh.document = h, tenantDocument()
		got := h.call(t, "POST", "/once/", body, withKeyA)
		if body == "" {
			assert.Equal(t, got.status, 200)
			continue
		}
		assert.Equal(t, got.status, 503)
		assert.Equal(t, got.headers["Retry-After"], "0.20")
		assert.Equal(t, got.headers["Connection"], "close")
		assert.Equal(t, h.call(t, "POST", "/once/", body, withKeyA).status, 200)
	}
}

// Guards against headers of callers that are lost while there are no tenants.
func TestHeadersWithoutTenants(t *testing.T) {
	var got []string
	target := newScriptedTarget(t, "t-1", "a", func(req *fasthttp.Request) (string, bool) {
		for line := range strings.SplitSeq(string(req.Header.RawHeaders()), "\r\n") {
			if strings.Contains(line, "Tenant") || strings.Contains(line, "Authorization") || strings.Contains(line, "Digest") {
				got = append(got, line)
			}
		}
		return echo(req)
	})
	h := newHarness(t, targetInfos(target))
	lines := []string{"Authorization: Bearer x", "Authorization: Token y", "Rhubarbrelay-Tenant: z"}
	assert.Equal(t, h.call(t, "POST", "/once/", "body", lines...).status, 200)
	assert.DeepEqual(t, got, lines)
	got = nil
	assert.Equal(t, h.call(t, "POST", "/once/", "body", keyDigestHeader+": 00").status, 200)
	assert.Equal(t, len(got), 0)
}

// Guards against a key in the log, and against a log that callers without a valid key
// fill.
func TestUnauthorizedRequestsAreLoggedRarely(t *testing.T) {
	const count = 50
	var lines logRecorder
	h := newTenantHarness(t, withRecordedLog(&lines))
	c := h.connect(t)
	for range count {
		c.send(rawRequest("GET", "/safe/", "", withUnknown))
		assert.Equal(t, c.mustReceive().status, 401)
	}
	assert.Assert(t, lines.count() < count/2, "%d lines", lines.count())
	assert.Equal(t, lines.last(t, "request failed")["status"], 401)
	assert.Equal(t, h.relay.Stats().Refused["unauthorized"], uint64(count))
	h.call(t, "GET", "/safe/", "", withKeyA)
	assert.Equal(t, lines.last(t, "request answered")["tenant"], "a")
	h.raw(t, "GET /safe/ HTTP/1.1\r\n"+host+withKeyA+"\r\n folded\r\n\r\n")
	h.raw(t, "GET /safe/ HTTP/1.1\r\n"+host+"Author ization: Token "+keyOfA+"\r\n\r\n")
	h.raw(t, "GET /safe/ HTTP/1.1\r\n"+host+"Authorization\x00: Token "+keyOfA+"\r\n\r\n")
	for _, entry := range lines.entries {
		text := fmt.Sprintf("%s %v", entry.Message, entry.Fields)
		assert.Assert(t, !strings.Contains(text, keyOfA) && !strings.Contains(text, unknownKey), text)
	}
}

// Guards against a request that is admitted since one version of the configuration has a
// public route and another one has its key.
func TestConcurrentVersionsAndKeys(t *testing.T) {
	const rounds = 200
	private, public := tenantDocument(), tenantDocument()
	public.Routes[1].Public = true // /once/
	public.Tenants[0].Name = "other"
	h := newTenantHarness(t)
	stop := make(chan struct{})
	var changing sync.WaitGroup
	changing.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				h.document.Store(public)
				h.document.Store(private)
			}
		}
	})
	c := h.connect(t)
	seen := map[string]int{}
	for range rounds {
		c.send(rawRequest("GET", "/once/", "", withKeyA))
		got := c.mustReceive()
		assert.Equal(t, got.status, 200)
		seen[got.body]++
		c.send(rawRequest("GET", "/once/", ""))
		if got := c.mustReceive(); got.status == 200 {
			assert.Equal(t, got.body, "")
		}
	}
	close(stop)
	changing.Wait()
	assert.Equal(t, seen["Rhubarbrelay-Tenant: a"]+seen[""], rounds)
}

// Guards against the priority of a route that takes precedence over that of a tenant.
func TestPriorityOfTenant(t *testing.T) {
	c := call{route: &config.Route{Priority: 1}}
	assert.Equal(t, c.priority(), 1)
	c.tenant = &config.Tenant{Priority: 0}
	assert.Equal(t, c.priority(), 0)
}

// Guards against another instance that gets a key, runs a request whose key it does not
// know, or tells its target another tenant.
func TestTenantOfPassedOnRequest(t *testing.T) {
	document := tenantDocument()
	without := withoutTenantA(document)
	renamed := tenantDocument()
	renamed.Tenants[0].Name = "renamed"
	renamed.Index()
	tests := []struct {
		name          string
		first, second *config.Document
		path, line    string
		status        int
		want          string
	}{
		{"key", document, document, "/once/", withKeyA, 200, "Rhubarbrelay-Tenant: a"},
		{"public route", document, document, "/public/", withKeyA, 200, ""},
		{"forged tenant", document, document, "/public/", "Rhubarbrelay-Tenant: a", 200, ""},
		{"key is unknown there", document, without, "/once/", withKeyA, 503, "another instance did not run the request\n"},
		{"key is unknown here", without, document, "/once/", withKeyA, 401, "request has no valid API key\n"},
		{"other version there", document, renamed, "/once/", withKeyA, 200, "Rhubarbrelay-Tenant: renamed"},
		{"no tenants here yet", harnessDocument(), document, "/once/", withKeyA, 200, "Rhubarbrelay-Tenant: a"},
		{"no tenants here yet, unknown key", harnessDocument(), document, "/once/", withUnknown, 503, "another instance did not run the request\n"},
		{"no tenants there yet", document, harnessDocument(), "/once/", withKeyA, 200, "Rhubarbrelay-Tenant: a"},
		{"no configuration there", document, nil, "/once/", withKeyA, 503, "another instance did not run the request\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := newTenantHarness(t)
			other.document.Store(tt.second)
			h := newCutHarness(t, &peerList{[]netip.AddrPort{other.servePeers(t)}})
			h.document.Store(tt.first)
			for _, body := range []string{"", "body"} {
				got := h.call(t, "POST", tt.path, body, tt.line)
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, got.body, tt.want)
			}
		})
	}
}

// Guards against a key in a request to another instance, and against a digest in one to a
// target.
func TestKeyIsNotPassedOn(t *testing.T) {
	digest := config.DigestKey([]byte(keyOfA))
	peer := tenantTarget(t, "peer")
	h := newCutHarness(t, &peerList{[]netip.AddrPort{peer.info.Address}})
	h.document.Store(tenantDocument())
	assert.Equal(t, h.call(t, "POST", "/once/", "body", withKeyA, keyDigestHeader+": 00").body,
		"Rhubarbrelay-Tenant: a|"+keyDigestHeader+": "+hex.EncodeToString(digest[:]))
}

// Guards against a malformed digest, or one of several, that admits a request.
func TestDigestsOfOtherInstances(t *testing.T) {
	digest, digestOfB := config.DigestKey([]byte(keyOfA)), config.DigestKey([]byte(keyOfB))
	valid := keyDigestHeader + ": " + hex.EncodeToString(digest[:])
	tests := []struct {
		name   string
		lines  []string
		status int
	}{
		{"valid", []string{valid}, 200},
		{"upper case", []string{keyDigestHeader + ": " + strings.ToUpper(hex.EncodeToString(digest[:]))}, 200},
		{"short", []string{valid[:len(valid)-2]}, 401},
		{"odd", []string{valid[:len(valid)-1]}, 401},
		{"long", []string{valid + "00"}, 401},
		{"not hexadecimal", []string{valid[:len(valid)-1] + "x"}, 401},
		{"empty, beside a key", []string{keyDigestHeader + ":", withKeyA}, 401},
		{"twice", []string{valid, valid}, 401},
		{"two", []string{valid, keyDigestHeader + ": " + hex.EncodeToString(digestOfB[:])}, 401},
		{"none", nil, 401},
	}
	h := newTenantHarness(t)
	h.address = h.servePeers(t).String()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, h.call(t, "POST", "/once/", "body", tt.lines...).status, tt.status)
		})
	}
}

// Guards against any spelling of header lines that admits a request with another key than
// the one in its only Authorization header, or that shows a target a key or a tenant of
// the caller's choice.
func FuzzCredentials(f *testing.F) {
	for _, lines := range []string{
		withKeyA + "\r\n", "aUTHORIZATION:  token   " + keyOfA + "\t\r\n", withKeyA + "\r\nAuthorization: \r\n",
		"Connection: Authorization, rhubarbrelay-tenant\r\nRhubarbrelay-Tenant: b\r\nrhubarbrelay_tenant: c\r\n" + withKeyA + "\r\n",
		"Trailer: Rhubarbrelay-Tenant\r\nTransfer-Encoding: chunked\r\n" + withKeyA + "\r\n", keyDigestHeader + ": 00\r\n" + withKeyB + "\r\n",
		"Authorization: Token\x00" + keyOfA + "\r\n", "Cookie: a\r\nCookie: b\r\nA: 1\r\nRhubarbrelay-Tenant: x\r\na: 2\r\n",
	} {
		f.Add(lines)
	}
	document := tenantDocument()
	f.Fuzz(func(t *testing.T, lines string) {
		var h fasthttp.RequestHeader
		reader := bufio.NewReaderSize(strings.NewReader("POST /once/ HTTP/1.1\r\nHost: s\r\n"+lines+"\r\n"), maxRequestHeader)
		if h.Read(reader) != nil {
			return
		}
		c := call{document: document, route: document.Match("spoolkeep.example", "/once/")}
		if c.header.inspect(h.RawHeaders()) != nil {
			return
		}
		var keys []string // by a simpler reading of the same header
		for line := range strings.SplitSeq(string(h.RawHeaders()), "\r\n") {
			if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "authorization") {
				keys = append(keys, strings.Trim(value, " \t"))
			}
		}
		var ok bool
		if c.tenant, c.keyDigest, ok = c.header.credentials.tenantOf(document, c.route, false); ok {
			assert.Equal(t, len(keys), 1)
			assert.Assert(t, strings.EqualFold(keys[0][:len("token ")], "token "))
			assert.Equal(t, document.TenantOf(config.DigestKey([]byte(strings.TrimLeft(keys[0][len("token "):], " ")))), c.tenant)
		}
		var req fasthttp.Request
		h.CopyTo(&req.Header)
		prepareRequest(&req, &c)
		want := ""
		if ok {
			want = "Rhubarbrelay-Tenant: " + c.tenant.Name
		}
		var got []string
		for line := range strings.SplitSeq(req.Header.String(), "\r\n") {
			name, _, _ := strings.Cut(strings.ToLower(line), ":")
			if platform.IsAuthorization(name) || platform.IsTenantHeader(name) || name == keyDigestName {
				got = append(got, line)
			}
		}
		assert.Equal(t, strings.Join(got, "|"), want)
	})
}
