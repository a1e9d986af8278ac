package relay

import (
	"context"
	"strconv"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rhubarbrelay/bodies"
	"rhubarbrelay/config"
)

// freshnessFunc is a Freshness.
type freshnessFunc func() bool

// Await implements Freshness.
func (f freshnessFunc) Await(context.Context) bool { return f() }

// documentWithLimits returns the configuration of the harness with other limits.
func documentWithLimits(limits config.Limits) *config.Document {
	d := harnessDocument()
	d.Limits = limits
	return d
}

// chunkedRequest returns a request whose body has chunks of a size in bytes.
func chunkedRequest(body string, size int) string {
	var b strings.Builder
	b.WriteString("POST /once/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: id-1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		writeChunk(&b, body[:min(size, len(body))])
	}
	writeChunk(&b, "")
	return b.String()
}

// sendMost sends a request that the relay may refuse before it has arrived completely.
func (c *caller) sendMost(raw string) { _, _ = c.conn.Write([]byte(raw)) }

// Guards against a request that the configuration allows and that is refused for good,
// as the caller's error, because it does not fit into this instance, and against one
// beyond the configured limit that is not refused for good.
func TestBodyBeyondALimit(t *testing.T) {
	const kib = 1 << 10
	cases := []struct {
		name       string
		configured int // limit of the configuration in bytes
		memory     int // memory for the bodies of requests in bytes, each in two copies
		instance   int // limit of the instance for a body in bytes
		raw        string
		status     int
		cause      string
	}{
		{"length, memory", 4096 * kib, 1024 * kib, 0, rawRequest("POST", "/once/", strings.Repeat("x", 600*kib)), 503, "instance_limit"},
		{"chunks, memory", 4096 * kib, 1024 * kib, 0, chunkedRequest(strings.Repeat("x", 600*kib), 8*kib), 503, "instance_limit"},
		{"length, instance", 4096 * kib, 1024 * kib, kib, rawRequest("POST", "/once/", strings.Repeat("x", kib+1)), 503, "instance_limit"},
		{"chunks, instance", 4096 * kib, 1024 * kib, kib, chunkedRequest(strings.Repeat("x", kib+1), 100), 503, "instance_limit"},
		{"expectation, instance", 4096 * kib, 1024 * kib, kib, "POST /once/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 1025\r\n\r\n", 503, "instance_limit"},
		{"instance, none configured", 0, 1024 * kib, kib, rawRequest("POST", "/once/", strings.Repeat("x", kib+1)), 503, "instance_limit"},
		{"single bytes", 128 * kib, 1024 * kib, 0, chunkedRequest(strings.Repeat("x", 8*kib), 1), 503, "instance_limit"},
		{"length, configured", kib, 1024 * kib, 0, rawRequest("POST", "/once/", strings.Repeat("x", kib+1)), 413, "too_large"},
		{"chunks, configured", kib, 1024 * kib, 0, chunkedRequest(strings.Repeat("x", kib+1), 100), 413, "too_large"},
		{"expectation, configured", kib, 1024 * kib, 0, "POST /once/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 1025\r\n\r\n", 413, "too_large"},
		{"length, both", 2 * kib, 1024 * kib, kib, rawRequest("POST", "/once/", strings.Repeat("x", 2*kib+1)), 413, "too_large"},
		{"length, at the limit", kib, 1024 * kib, kib, rawRequest("POST", "/once/", strings.Repeat("x", kib)), 200, ""},
		{"chunks, at the limit", kib, 1024 * kib, kib, chunkedRequest(strings.Repeat("x", kib), 100), 200, ""},
		{"length, most of the memory", 4096 * kib, 1024 * kib, 0, rawRequest("POST", "/once/", strings.Repeat("x", 500*kib)), 200, ""},
		{"chunks, most of the memory", 4096 * kib, 900 * kib, 0, chunkedRequest(strings.Repeat("x", 440*kib), 8*kib), 200, ""},
		{"single bytes, few", 128 * kib, 1024 * kib, 0, chunkedRequest(strings.Repeat("x", 2*kib), 1), 200, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newScriptedTarget(t, "t-1", "a", echoLarge)
			opts := []Option{WithMemory(bodies.NewMemory(c.memory), bodies.NewMemory(8<<20))}
			if c.instance > 0 {
				opts = append(opts, WithMaxRequestBody(c.instance))
			}
			h := newHarness(t, targetInfos(target), opts...)
			h.document.Store(documentWithLimits(config.Limits{MaxBodyBytes: c.configured}))
			conn := h.connect(t)
			conn.sendMost(c.raw)
			got := conn.mustReceive()
			assert.Equal(t, got.status, c.status, got.body[:min(len(got.body), 100)])
			if c.status == 200 {
				return
			}
			assert.Equal(t, got.headers["Connection"], "close")
			assert.Equal(t, got.headers["Retry-After"] != "", c.status == 503)
			assert.Equal(t, h.relay.Stats().Refused[c.cause], uint64(1))
			assert.Equal(t, len(target.receivedIDs()), 0)
		})
	}
}

// Guards against a body that an instance without a configuration, or with one from
// before it was paused, refuses for good.
func TestBodyLimitOfAnOldConfiguration(t *testing.T) {
	body := strings.Repeat("x", 2000)
	old := documentWithLimits(config.Limits{MaxBodyBytes: 1000})
	for _, raw := range []string{
		rawRequest("POST", "/once/", body), chunkedRequest(body, 100),
		"POST /once/ HTTP/1.1\r\n" + host + "Rhubarbrelay-Attempt-Id: 1\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n",
	} {
		var h *harness
		h = newHarness(t, nil, WithFreshness(freshnessFunc(func() bool {
			h.document.Store(harnessDocument())
			return true
		})))
		h.document.Store(old)
		conn := h.connect(t)
		conn.sendMost(raw)
		assert.Equal(t, conn.mustReceive().status, 503)

		h = newHarness(t, nil, WithFreshness(freshnessFunc(func() bool { return false })))
		h.document.Store(old)
		conn = h.connect(t)
		conn.sendMost(raw)
		assert.Equal(t, conn.mustReceive().status, 503)

		h = newHarness(t, nil, WithMaxRequestBody(1000))
		h.document.Store(nil)
		conn = h.connect(t)
		conn.sendMost(raw)
		assert.Equal(t, conn.mustReceive().status, 503)
	}
}

func writeChunk(b *strings.Builder, chunk string) {
	b.WriteString(strconv.FormatInt(int64(len(chunk)), 16) + "\r\n" + chunk + "\r\n")
}

// headerRequest returns a request whose request line and whose fields, with the empty
// line, have the given sizes in bytes.
func headerRequest(line, fields int) string {
	start := "GET /once/?"
	end := " HTTP/1.1\r\n"
	own := host + "Rhubarbrelay-Attempt-Id: id-1\r\nA: "
	return start + strings.Repeat("q", line-len(start)-len(end)) + end + own + strings.Repeat("v", fields-len(own)-len("\r\n\r\n")) + "\r\n\r\n"
}

// Guards against a header within the configured limit that is refused as too large
// because of its request line or of a limit of the instance, and against one beyond the
// configured limit that is not refused for good.
func TestHeaderBeyondALimit(t *testing.T) {
	const today = 16 << 10
	cases := []struct {
		name         string
		configured   int // bytes
		line, fields int // bytes
		status       int
	}{
		{"short line", today, 100, today, 200},
		{"line of 2000 bytes", today, 2000, today, 200},
		{"longest line", today, 8 << 10, today, 200},
		{"fields beyond the limit", today, 100, 3 * today, 431},
		{"line beyond the limit", today, 3 * today, 100, 431},
		{"low limit", 1 << 10, 100, 3 * today, 431},
		{"high limit", 4 * today, 100, 3 * today, 503},
		{"high limit, short header", 4 * today, 2000, today, 200},
		{"no limit", 0, 100, 3 * today, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", func(r *fasthttp.Request) (string, bool) { return sealed(r, 200, ""), false })))
			h.document.Store(documentWithLimits(config.Limits{MaxHeaderBytes: c.configured}))
			conn := h.connect(t)
			conn.sendMost(headerRequest(c.line, c.fields))
			got := conn.mustReceive()
			assert.Equal(t, got.status, c.status, got.body)
			assert.Equal(t, got.headers["Retry-After"] != "", c.status == 503)
			assert.Equal(t, got.headers["Connection"] == "close", c.status != 200)
		})
	}
}

// Guards against a large header that an instance without a configuration, or with one
// from before it was paused, refuses for good.
func TestHeaderLimitOfAnOldConfiguration(t *testing.T) {
	raw := headerRequest(100, 32<<10)
	h := newHarness(t, nil)
	h.document.Store(nil)
	conn := h.connect(t)
	conn.sendMost(raw)
	assert.Equal(t, conn.mustReceive().status, 503)

	h = newHarness(t, nil, WithFreshness(freshnessFunc(func() bool { return false })))
	conn = h.connect(t)
	conn.sendMost(raw)
	assert.Equal(t, conn.mustReceive().status, 503)
}

// Guards against a configuration that the instance cannot meet and that nobody notices.
func TestUnmetLimitsAreLogged(t *testing.T) {
	recorded := &logRecorder{}
	h := newHarness(t, nil, withRecordedLog(recorded), WithMemory(bodies.NewMemory(8<<20), nil))
	h.relay.LogUnmetLimits(documentWithLimits(config.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20}))
	assert.Equal(t, h.call(t, "GET", "/other/", "").status, 404)
	assert.Equal(t, recorded.count(), 1)
	h.relay.LogUnmetLimits(documentWithLimits(config.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 4<<20 + 1}))
	got := recorded.last(t, "configuration allows requests beyond a limit of the instance")
	assert.Equal(t, got["max_body"], 4<<20)
	assert.Equal(t, got["configured_max_body"], 4<<20+1)
	assert.Equal(t, got["max_header"], 16<<10)
	assert.Equal(t, got["configured_max_header"], 64<<10)
}
