package responses

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport makes a client of fasthttp read responses with Read. It implements
// fasthttp.RoundTripper. Of the client's settings it uses MaxResponseBodySize, in bytes, and
// those of connections; only the timeout of a request limits its time. The body is returned by
// resp.Body only, not by the client's functions without a response, such as Get.
type Transport struct {
	needsLength bool
}

// TransportOption configures a Transport.
type TransportOption func(*Transport)

// WithNeedsLength rejects responses whose body ends with the connection. It is for servers
// that always send a length: without one, a cut body cannot be told from a whole one.
func WithNeedsLength() TransportOption { return func(t *Transport) { t.needsLength = true } }

// NewTransport returns a transport.
func NewTransport(opts ...TransportOption) *Transport {
	t := &Transport{}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RoundTrip implements fasthttp.RoundTripper. After an error of the connection the client
// may send the request again, if it retries requests at all.
func (t *Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	deadline := time.Time{} // none
	if timeout := req.GetTimeOut(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	conn, err := hc.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := false, conn.Conn().SetDeadline(deadline)
	if err == nil {
		reusable, err = t.exchange(hc, conn.Conn(), req, resp)
	}
	if err != nil || !reusable {
		hc.CloseConn(conn)
		return !errors.Is(err, ErrMalformed), err
	}
	hc.ReleaseConn(conn)
	return false, nil
}

// exchange sends a request and reads its response. It reports whether the connection can
// carry another request.
func (t *Transport) exchange(hc *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) (reusable bool, err error) {
	if err := writeRequest(hc, conn, req); err != nil {
		return false, err
	}
	r := hc.AcquireReader(conn)
	defer hc.ReleaseReader(r)
	resp.SkipBody = resp.SkipBody || req.Header.IsHead()
	endsWithConn, err := Read(r, resp, Limit{Size: hc.MaxResponseBodySize})
	if err != nil {
		return false, err
	}
	if endsWithConn && t.needsLength {
		return false, malformed(errNoLength)
	}
	return !endsWithConn && !req.ConnectionClose() && !resp.ConnectionClose() && r.Buffered() == 0, nil
}

func writeRequest(hc *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request) error {
	w := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
