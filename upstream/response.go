package upstream

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/platform"
	"rhubarbrelay/responses"
)

// readResponse reads the response to the request. It skips responses to other
// requests.
func (c *Conn) readResponse(req *fasthttp.Request, resp *fasthttp.Response, limit responses.Limit) error {
	id := platform.RequestID(&req.Header)
	fresh := !c.used
	c.used = true
	for range maxResponseReads {
		if err := c.readOneResponse(req, resp, limit); err != nil {
			c.noReuse = true
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		if platform.RepeatsControlHeader(&resp.Header) {
			c.noReuse = true
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, errRepeatedControl)
		}
		matches, hasID := platform.MatchRequestID(&resp.Header, id)
		if matches || !hasID {
			return c.checkResponse(resp, matches, fresh || len(id) == 0)
		}
		if len(id) == 0 { // a probe; Probe rejects the response
			return nil
		}
		// An extra response to an earlier request; the one to this request may follow.
		c.noReuse = true
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, errOtherRequest)
}

// checkResponse rejects a response that is not certainly the target's response
// to this request: one with a content encoding, and, without the ID of the request, a
// sealed success or a refusal. Other errors and responses to probes may lack the ID, and
// a refusal if mayRefuse is set.
func (c *Conn) checkResponse(resp *fasthttp.Response, matches, mayRefuse bool) error {
	var cause error
	switch {
	case len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0:
		cause = errContentEncoding
	case !matches && mayBelongToOther(resp, mayRefuse):
		cause = errOtherRequest
	default:
		return nil
	}
	c.noReuse = true
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

// mayBelongToOther reports whether a response without an ID may be that to another request.
func mayBelongToOther(resp *fasthttp.Response, mayRefuse bool) bool {
	success := resp.StatusCode() < fasthttp.StatusMultipleChoices
	info := platform.ReadResponseInfo(&resp.Header)
	return success && info.Sealed || info.NotRun && !mayRefuse
}

func (c *Conn) readOneResponse(req *fasthttp.Request, resp *fasthttp.Response, limit responses.Limit) error {
	resp.Reset()
	resp.SkipBody = req.Header.IsHead()
	endsWithConn, err := responses.Read(c.reader, resp, limit)
	c.endsWithConn = endsWithConn
	if endsWithConn {
		c.noReuse = true
	}
	return err
}
