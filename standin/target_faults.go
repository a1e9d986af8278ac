package standin

import (
	"fmt"
	"net"

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
		ReportUnhealthy: args.Has("lie_ill"), ReportHealthy: args.Has("lie_well"), ExtraResponse: args.Has("second"), Endless: args.Has("endless"), SlowFactor: args.GetUintOrZero("slow"),
		Limit: string(args.Peek("limit")), Leaving: args.Has("leaving"), RetryAfter: string(args.Peek("retry_after")),
	})
}

// respondEndlessly sends a sealed success whose body goes on until the connection is
// closed.
func respondEndlessly(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: endless\r\n\r\n", HeaderRequestID, id, headerSeal)
		for block := make([]byte, 32<<10); err == nil; {
			_, err = c.Write(block)
		}
	})
}
