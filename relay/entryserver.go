package relay

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/callers"
	"rhubarbrelay/platform"
)

// AddressSelector selects the instance addresses that callers in a zone connect to.
type AddressSelector interface {
	Select(zone string) []netip.AddrPort
}

// EntryServer responds to entry queries, with which callers look up the addresses
// of instances, and to the readiness checks of the platform.
type EntryServer struct {
	selector AddressSelector
	ttl      atomic.Int64 // nanoseconds
	ready    func() bool
	logger   log.Interface
	http     *fasthttp.Server
	conns    *callers.Set
}

// maxEntryBody limits the body of an entry query in bytes. It is not used.
const maxEntryBody = 4 << 10

// NewEntryServer returns a server whose entry responses callers may cache for
// ttl.
func NewEntryServer(selector AddressSelector, ttl time.Duration, ready func() bool, logger log.Interface) *EntryServer {
	s := &EntryServer{selector: selector, ready: ready, logger: logger, conns: callers.NewSet()}
	s.SetTTL(ttl)
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: handleEntryError, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{},
		ReadTimeout: DefaultReadTimeout, IdleTimeout: DefaultIdleTimeout, MaxRequestBodySize: maxEntryBody,
	}
	return s
}

// SetTTL changes how long callers may cache an entry response.
func (s *EntryServer) SetTTL(ttl time.Duration) { s.ttl.Store(int64(ttl)) }

// Serve accepts up to limit connections at a time until the listener is closed.
func (s *EntryServer) Serve(l net.Listener, limit int) error {
	limited := callers.NewListener(s.conns, l, limit, callers.WithRefuse(refuseEntryConnection),
		callers.WithWriteTimeout(DefaultWriteTimeout), callers.WithLogger(s.logger))
	defer limited.WaitForRefusals()
	return s.http.Serve(limited)
}

// refuseEntryConnection responds to a connection in excess of the limit.
func refuseEntryConnection(conn *callers.Conn, readRequest bool) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	writeFailure(resp, unavailableFailure(refusedConnections, "instance has too many connections", notReadyRetryAfter).withConnectionClose())
	if _, err := resp.WriteTo(conn); err == nil && readRequest {
		conn.LingerOnClose()
	}
}

// Connections describes the number of open connections in each state.
func (s *EntryServer) Connections() string { return s.conns.Counts().String() }

// Shutdown accepts no further connections, closes those without a query and waits, until
// the context is done, for the others. At refuseAt it closes those on which a query was
// received in part.
func (s *EntryServer) Shutdown(ctx context.Context, refuseAt time.Time) error {
	return s.conns.Shutdown(ctx, refuseAt)
}

func (s *EntryServer) handle(ctx *fasthttp.RequestCtx) {
	if conn, ok := ctx.Conn().(*callers.Conn); ok {
		conn.Received()
	}
	if s.conns.ShutsDown() {
		ctx.SetConnectionClose()
	}
	if platform.IsReadinessCheck(&ctx.Request) {
		if !s.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return
	}
	query, ok := platform.ParseEntryQuery(&ctx.Request)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := platform.WriteEntryResponse(&ctx.Response, s.selector.Select(query.Zone), time.Duration(s.ttl.Load())); err != nil {
		s.logger.WithError(err).Error("entry response cannot be encoded")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// handleEntryError responds to a query that could not be read.
func handleEntryError(ctx *fasthttp.RequestCtx, _ error) {
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
	if conn, ok := ctx.Conn().(*callers.Conn); ok && conn.Interrupted() {
		writeFailure(&ctx.Response, drainingFailure("instance shuts down before the query has arrived"))
	}
}
