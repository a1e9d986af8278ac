package relay

import (
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

// logRecorder is a log handler that keeps the entries.
type logRecorder struct {
	mu      sync.Mutex
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (r *logRecorder) HandleLog(entry *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry)
	return nil
}

// count returns the number of entries.
func (r *logRecorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// last returns the fields of the last entry with the message.
func (r *logRecorder) last(t testing.TB, message string) log.Fields {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.entries) - 1; i >= 0; i-- {
		if r.entries[i].Message == message {
			return r.entries[i].Fields
		}
	}
	t.Fatalf("no entry %q", message)
	return nil
}

func withRecordedLog(r *logRecorder) Option {
	return WithLogger(&log.Logger{Handler: r, Level: log.InfoLevel})
}

// Guards against a refused request whose log line and counter do not show why.
func TestRefusedInputIsExplained(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name   string
		raw    string
		cause  string
		fields log.Fields
		absent []string
	}{
		{
			"malformed header", "SSH-2.0-client\r\n\r\n", "malformed",
			log.Fields{"ended_in": "header", "connection_request": uint64(2), "config_version": int64(1)},
			[]string{"connection_error", "path"},
		},
		{
			"malformed chunk", "POST /safe/ HTTP/1.1\r\n" + host + chunked + "zz\r\n", "malformed",
			log.Fields{"ended_in": "body", "read_error": "empty hex number", "declared": -1, "read": 0, "limit": 4 << 20},
			[]string{"connection_error"},
		},
		{
			"broken off in the header", "POST /safe/ HTTP/1.1\r\n" + host, "incomplete",
			log.Fields{"ended_in": "header", "connection_error": "EOF"},
			nil,
		},
		{
			"broken off before the body", "POST /safe/ HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\n", "incomplete",
			log.Fields{"ended_in": "body", "connection_error": "EOF"},
			nil,
		},
		{
			"broken off in the body", "POST /safe/ HTTP/1.1\r\n" + host + "Content-Length: 9\r\n\r\nbody", "incomplete",
			log.Fields{"ended_in": "body", "connection_error": "EOF", "declared": 9, "read": 4},
			nil,
		},
		{
			"broken off in a chunk size", "POST /safe/ HTTP/1.1\r\n" + host + chunked + "4\r", "incomplete",
			log.Fields{"ended_in": "body", "connection_error": "EOF", "declared": -1, "read": 0},
			nil,
		},
		{
			"body beyond the limit", "POST /safe/ HTTP/1.1\r\n" + host + "Content-Length: 4194305\r\n\r\nx", "too_large",
			log.Fields{"limit": 4 << 20, "declared": 4<<20 + 1, "read": 0},
			nil,
		},
		{
			"no route", rawRequest("GET", "/"+strings.Repeat("p", 2*maxLoggedPath), ""), "no_route",
			log.Fields{"host": "spoolkeep.example", "path": "/" + strings.Repeat("p", maxLoggedPath-1) + "...", "connection_request": uint64(2), "config_version": int64(1)},
			[]string{"read_error"},
		},
		{"unknown expectation", rawRequest("POST", "/safe/", "", "Expect: miracles"), "unsupported", nil, nil},
	}
	recorded := &logRecorder{}
	h := newHarness(t, targetInfos(newScriptedTarget(t, "t-1", "a", echo)), withRecordedLog(recorded))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := h.relay.Stats().Refused[c.cause]
			conn := h.connect(t)
			conn.send(rawRequest("GET", "/safe/", "first"))
			assert.Equal(t, conn.mustReceive().body, "first")
			conn.send(c.raw)
			conn.closeWrite()
			conn.mustReceive()
			assert.Equal(t, h.relay.Stats().Refused[c.cause], before+1)
			got := recorded.last(t, "request failed")
			assert.Assert(t, got["config_age"] != nil && got["elapsed"] != nil)
			for name, want := range c.fields {
				assert.Equal(t, got[name], want, name)
			}
			for _, name := range c.absent {
				assert.Assert(t, got[name] == nil, "%s is %v", name, got[name])
			}
		})
	}
}

// Guards against a log line as long as the header of the request that caused it.
func TestLogLinesOfRefusedInputAreShort(t *testing.T) {
	recorded := &logRecorder{}
	h := newHarness(t, nil, withRecordedLog(recorded))
	long := strings.Repeat("p", 8<<10)
	for _, raw := range []string{
		"GET /" + long + "\x01 HTTP/1.1\r\n" + host + "\r\n",
		"GET / HTTP/1.1\r\nHost: " + long + "\r\nRhubarbrelay-Attempt-Id: 1\r\n\r\n",
		"GET / HTTP/1.1\r\n" + host + long + "\r\n\r\n",
	} {
		h.raw(t, raw)
		size := 0
		for name, value := range recorded.last(t, "request failed") {
			if text, ok := value.(string); ok {
				size += len(name) + len(text)
			}
		}
		assert.Assert(t, size < 1<<10, "%d bytes", size)
	}
}
