package relay

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

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
}

// NewEntryServer returns a server whose entry responses callers may cache for
// ttl.
func NewEntryServer(selector AddressSelector, ttl time.Duration, ready func() bool, logger log.Interface) *EntryServer {
	s := &EntryServer{selector: selector, ready: ready, logger: logger}
	s.SetTTL(ttl)
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{},
		ReadTimeout: DefaultReadTimeout, WriteTimeout: DefaultWriteTimeout, IdleTimeout: DefaultIdleTimeout,
	}
	return s
}

// SetTTL changes how long callers may cache an entry response.
func (s *EntryServer) SetTTL(ttl time.Duration) { s.ttl.Store(int64(ttl)) }

// Serve accepts connections until the listener is closed.
func (s *EntryServer) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown closes the listeners and idle connections and waits for queries in
// progress until the context is done. It also waits for connections on which no
// query was sent.
func (s *EntryServer) Shutdown(ctx context.Context) { _ = s.http.ShutdownWithContext(ctx) }

func (s *EntryServer) handle(ctx *fasthttp.RequestCtx) {
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
