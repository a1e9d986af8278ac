package daemon

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
	"rhubarbrelay/responses"
)

// fetchTimeout limits the request for another instance's configuration.
const fetchTimeout = 500 * time.Millisecond

// fetchConfig fetches a configuration newer than version from another instance and
// returns it with the ID of that instance. raw is nil if no instance is known to
// have one or it cannot be fetched.
func (d *Daemon) fetchConfig(version int64) (raw []byte, source string) {
	peer, ok := d.members.PeerWithNewerConfig(version)
	if !ok {
		return nil, ""
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + peer.AdminAddress.String() + admin.ConfigPath)
	raw, err := d.callPeer(req, resp, fetchTimeout)
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		d.logger.WithField("peer", peer.ID).WithField("status", resp.StatusCode()).WithField("error", err).
			Warn("newer configuration cannot be fetched from another instance")
		return nil, ""
	}
	return bytes.Clone(raw), peer.ID
}

// newPeerClient returns a client of the administration API of other instances, which send a
// length with all responses.
func newPeerClient() *fasthttp.Client {
	return &fasthttp.Client{
		Transport:                responses.NewTransport(responses.WithNeedsLength()),
		MaxResponseBodySize:      maxPeerResponse,
		NoDefaultUserAgentHeader: true,
	}
}

// callPeer sends a request to another instance and returns the body of the response,
// which is valid until the response is released. It accepts a compressed body, as the
// links between instances may be slow and configurations large.
func (d *Daemon) callPeer(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) ([]byte, error) {
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if err := d.peerClient.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	return resp.BodyUncompressedWithLimit(maxPeerResponse)
}
