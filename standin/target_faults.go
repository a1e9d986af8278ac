package standin

import (
	"bytes"
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// TargetFaults are the faults of a target that are in effect until they are
// changed.
type TargetFaults struct {
	// Shed makes the target reject every request without running it. Hang makes it
	// run no request and close the connection without a response at the deadline of
	// the request. DropResponses makes it run requests and close the connection
	// without a response. ServerError makes it run requests and respond with status
	// 500. ReportUnhealthy makes it fail health probes although it runs requests.
	Shed, Hang, DropResponses, ServerError, ReportUnhealthy bool
	// ReportHealthy makes a draining target pass health probes.
	ReportHealthy bool
	// ExtraResponse makes the target send a second response after each one.
	ExtraResponse bool
	// Endless makes it respond to requests and probes with a body that ends only when
	// the connection is closed.
	Endless bool
	// EndlessHeader makes it respond to requests with lines of control characters until the
	// connection is closed.
	EndlessHeader bool
	// Limit is the text of the header in which the target names the requests per second
	// that it takes, empty for none.
	Limit string
	// Leaving makes the target state in every response that it leaves. RetryAfter is the
	// text of the Retry-After header of its responses with status 503, empty for none.
	Leaving    bool
	RetryAfter string
	// SlowFactor multiplies the processing time.
	SlowFactor int
}

// setStatements sets the headers in which the target states its limit and that it
// leaves.
func (f *TargetFaults) setStatements(h *fasthttp.ResponseHeader) {
	if f.Limit != "" {
		h.Set(headerLimit, f.Limit)
	}
	if f.Leaving {
		h.Set(headerLeaving, "1")
	}
}

// handleFaults sets the faults that are listed in the query, such as
// ?shed&slow=4.
func (t *Target) handleFaults(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	t.SetFaults(TargetFaults{
		Shed: args.Has("shed"), Hang: args.Has("mute"), DropResponses: args.Has("cut"), ServerError: args.Has("fail"),
		ReportUnhealthy: args.Has("lie_ill"), ReportHealthy: args.Has("lie_well"), ExtraResponse: args.Has("second"), Endless: args.Has("endless"), EndlessHeader: args.Has("endless_header"), SlowFactor: args.GetUintOrZero("slow"),
		Limit: string(args.Peek("limit")), Leaving: args.Has("leaving"), RetryAfter: string(args.Peek("retry_after")),
	})
}

// respondEndlessly responds without end if a fault says so. It returns false otherwise.
func (f *TargetFaults) respondEndlessly(ctx *fasthttp.RequestCtx, path string) bool {
	switch {
	case strings.HasPrefix(path, controlPrefix):
		return false
	case f.Endless:
		respondWithEndlessBody(ctx)
	case f.EndlessHeader && path != healthPath:
		respondWithEndlessHeader(ctx)
	default:
		return false
	}
	return true
}

// respondWithEndlessBody sends a sealed success whose body goes on until the connection is
// closed.
func respondWithEndlessBody(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	start := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: endless\r\n\r\n", HeaderRequestID, id, headerSeal)
	sendEndlessly(ctx, []byte(start), make([]byte, 32<<10))
}

// endlessLineSize is the length in bytes of the lines that respondWithEndlessHeader sends.
const endlessLineSize = 7000

func respondWithEndlessHeader(ctx *fasthttp.RequestCtx) {
	line := bytes.Repeat([]byte{1}, endlessLineSize)
	sendEndlessly(ctx, []byte("HTTP/1.1 "), append(line, '\r', '\n'))
}

// sendEndlessly takes over the connection and repeats the part behind the start until the
// connection is closed.
func sendEndlessly(ctx *fasthttp.RequestCtx, start, part []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, err := c.Write(start)
		for err == nil {
			_, err = c.Write(part)
		}
	})
}
