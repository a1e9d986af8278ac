package relay

import (
	"errors"
	"io"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/bodies"
	"rhubarbrelay/config"
)

// configureBodyRead makes fasthttp pass the body on as a stream after it has
// read one byte. By default fasthttp waits for the first 8 KB of a body, even
// if the declared length is too large. A body whose declared length is too large
// is hidden from fasthttp by a length of 0. admit reads the declared length from
// the raw header and rejects the request. The body of a request without a valid API
// key is hidden as well, so that the request is refused before a byte is received.
func (s *Server) configureBodyRead(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	length := h.ContentLength()
	hasBody := length > 0 || length == chunkedLength
	if length > s.http.MaxRequestBodySize || hasBody && s.lacksKey(h) {
		h.SetContentLength(0)
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: 1}
}

// chunkedLength is the length by which fasthttp denotes a chunked body.
const chunkedLength = -1

// readBody reads the complete body of a request. The buffer grows with the
// bytes received: fasthttp's own reader allocates the declared length at once,
// so callers could exhaust the memory by declaring large bodies and sending
// nothing.
func (s *Server) readBody(req *fasthttp.Request, c *call) *failure {
	stream := req.BodyStream()
	if stream == nil {
		return nil
	}
	length, limit := req.Header.ContentLength(), s.maxRequestBody()
	body, err := bodies.ReadAll(c.body[:0], stream, length, limit, c.reservation)
	c.body = body
	// fasthttp returns io.EOF both at the end of the body and when the connection
	// is closed early.
	if err == nil && length >= 0 && len(c.body) != length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		c.input.endIn(stageBody, err)
		c.input.limit, c.input.declared, c.input.read = limit, length, len(body)
		return s.bodyFailure(err, c).withConnectionClose()
	}
	req.SetBodyRaw(c.body)
	return nil
}

// bodyFailure returns the failure of a request whose body could not be read.
func (s *Server) bodyFailure(err error, c *call) *failure {
	switch {
	case isHeaderTooLarge(err): // the trailer
		return s.headerTooLargeFailure()
	case errors.Is(err, bodies.ErrTooLarge):
		return s.bodyTooLargeFailure(max(c.input.declared, c.input.read))
	case errors.Is(err, bodies.ErrExceedsMemory), errors.Is(err, bodies.ErrNoMemory):
		c.input.limit = s.requestMemory.Limit() / requestCopies
	}
	return readFailure(err, c.input.conn)
}

// bodyTooLargeFailure returns the failure of a request whose body, of which size bytes
// are known, exceeds maxRequestBody. Only the limit of a recent configuration is final:
// beyond a limit of this instance, another one may take the request.
func (s *Server) bodyTooLargeFailure(size int) *failure {
	document, f := s.recentDocument()
	if f != nil {
		return f
	}
	if limit := document.Limits.MaxBodyBytes; limit > 0 && size > limit {
		return notRunFailure(refusedTooLarge, fasthttp.StatusRequestEntityTooLarge, "request body is too large")
	}
	return instanceLimitFailure("request body exceeds a limit of the instance")
}

// isHeaderTooLarge reports whether a header or a trailer exceeds maxRequestHeader.
func isHeaderTooLarge(err error) bool {
	var smallBuffer *fasthttp.ErrSmallBuffer
	return errors.As(err, &smallBuffer)
}

// headerTooLargeFailure returns the failure of a request whose header exceeds
// maxRequestHeader. It is final only if that is more than a recent configuration allows,
// with the request line.
func (s *Server) headerTooLargeFailure() *failure {
	document, f := s.recentDocument()
	if f != nil {
		return f
	}
	if limit := document.Limits.MaxHeaderBytes; limit > 0 && limit <= maxHeaderFields {
		return notRunFailure(refusedTooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, "request header is too large")
	}
	return instanceLimitFailure("request header exceeds a limit of the instance")
}

// LogUnmetLimits logs which limits of a configuration are above those of this instance.
func (s *Server) LogUnmetLimits(document *config.Document) {
	maxBody := s.http.MaxRequestBodySize
	if s.requestMemory != nil {
		maxBody = min(maxBody, s.requestMemory.Limit()/requestCopies)
	}
	if document.Limits.MaxBodyBytes <= maxBody && document.Limits.MaxHeaderBytes <= maxHeaderFields {
		return
	}
	s.logger.WithFields(log.Fields{
		"version": document.Version, "max_body": maxBody, "configured_max_body": document.Limits.MaxBodyBytes,
		"max_header": maxHeaderFields, "configured_max_header": document.Limits.MaxHeaderBytes,
	}).Warn("configuration allows requests beyond a limit of the instance")
}

// instanceLimitFailure returns the failure of a request that is within the limits of
// the configuration but not within those of this instance.
func instanceLimitFailure(reason string) *failure {
	return unavailableFailure(refusedInstanceLimit, reason, notReadyRetryAfter)
}

// maxRequestBody returns the limit for the size of a request body in bytes: that of
// the active configuration if it is lower than that of the server.
func (s *Server) maxRequestBody() int {
	limit := s.http.MaxRequestBodySize
	if document := s.config.Current(); document != nil && document.Limits.MaxBodyBytes > 0 {
		limit = min(limit, document.Limits.MaxBodyBytes)
	}
	return limit
}
