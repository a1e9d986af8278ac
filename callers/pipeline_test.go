package callers

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func acceptAll([]byte) bool { return true }

const head = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"

// Guards against bytes of a body, or of the middle of a request, being taken for a
// request of the caller.
func TestNextHead(t *testing.T) {
	tests := []struct {
		name     string
		received []string
		headSize int
		hasBody  bool
		want     []string
	}{
		{"one request", []string{head}, len(head), false, nil},
		{"two requests", []string{head + head}, len(head), false, []string{head}},
		{"three requests", []string{head + head + head}, len(head), false, []string{head, head}},
		{"head in parts", []string{head[:9], head[9:]}, len(head), false, nil},
		{"second head incomplete", []string{head + head[:9]}, len(head), false, nil},
		{"unsafe method behind", []string{head + strings.Replace(head, "GET", "POST", 1) + head}, len(head), false, nil},
		{"body that looks like a request", []string{head + head}, len(head), true, nil},
		{"first head in parts, second one with the rest", []string{head[:9], head[9:] + head}, len(head), false, nil},
		{"bytes before the head", []string{"\r\n" + head + head}, len(head), false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p Pipeline
			for _, part := range tt.received {
				p.Receive([]byte(part))
			}
			p.BeginRequest(tt.headSize, tt.hasBody)
			var got []string
			for h := p.NextHead(acceptAll); h != nil; h = p.NextHead(acceptAll) {
				got = append(got, string(h))
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Guards against an end of a request being assumed after one whose end is not known:
// a later match of the sizes may be a coincidence.
func TestUnknownEndStaysUnknown(t *testing.T) {
	var p Pipeline
	p.Receive([]byte("POST /a HTTP/1.1\r\n"))
	assert.Assert(t, !p.BeginRequest(40, true))
	p.Receive([]byte(head + head))
	assert.Assert(t, !p.BeginRequest(len(head), false))
	assert.Assert(t, p.NextHead(acceptAll) == nil)
	assert.Equal(t, p.Room(), 0)
}

// Guards against a body that looks like a request being listed, and against requests that
// overtake one that was not accepted.
func TestNextHeadAfterRejectedHead(t *testing.T) {
	var p Pipeline
	p.Receive([]byte(head + "GET /b HTTP/1.1\r\nContent-Length: 9\r\n\r\n" + head))
	assert.Assert(t, p.BeginRequest(len(head), false))
	for range 2 {
		assert.Assert(t, p.NextHead(func(h []byte) bool { return !strings.Contains(string(h), "Length") }) == nil)
	}
}

// Guards against bytes that are lost, repeated or reordered on their way to the server,
// whatever parts they arrive in, and against heads that are listed twice or not at all.
func TestPipelineKeepsTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		count := rapid.IntRange(1, 6).Draw(t, "requests")
		heads := make([]string, 0, count)
		for i := range count {
			h := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
			heads = append(heads, h)
			stream.WriteString(h)
		}
		var p Pipeline
		rest := stream.String()
		var listed []string
		for i, want := range heads {
			got := ""
			for got != want {
				buf := make([]byte, rapid.IntRange(1, 100).Draw(t, "buffer"))
				n := p.Take(buf)
				if n == 0 {
					n = copy(buf, rest)
					rest = rest[n:]
					n = p.Receive(buf[:n])
				}
				got += string(buf[:n])
				if !strings.HasPrefix(want, got) {
					p.BeginRequest(0, false) // the server has more than one head: nothing is listed from here on
					return
				}
			}
			if i >= len(listed) {
				listed = append(listed, want)
			}
			assert.Assert(t, p.BeginRequest(len(want), false))
			n := min(p.Room(), len(rest), rapid.IntRange(0, 80).Draw(t, "early"))
			p.Keep([]byte(rest[:n]))
			rest = rest[n:]
			for h := p.NextHead(acceptAll); h != nil; h = p.NextHead(acceptAll) {
				listed = append(listed, string(h))
			}
			assert.DeepEqual(t, listed, heads[:len(listed)])
		}
	})
}
