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

// AddressSelector chooses the addresses that a caller in a zone should connect to.
type AddressSelector interface {
	Select(zone string) []netip.AddrPort
}

// EntryServer answers callers that ask where to connect, and the platform's checks
// whether the instance is ready.
type EntryServer struct {
	planner AddressSelector
	ttl     atomic.Int64 // nanoseconds
	ready   func() bool
	logger  log.Interface
	http    *fasthttp.Server
}

// NewEntryServer returns a desk whose answers may be kept for ttl.
func NewEntryServer(planner AddressSelector, ttl time.Duration, ready func() bool, logger log.Interface) *EntryServer {
	d := &EntryServer{planner: planner, ready: ready, logger: logger}
	d.SetTTL(ttl)
	d.http = &fasthttp.Server{
		Handler: d.handle, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: discardLogger{},
		ReadTimeout: DefaultReadTimeout, WriteTimeout: DefaultWriteTimeout, IdleTimeout: DefaultIdleTimeout,
	}
	return d
}

// SetTTL changes how long callers may keep an answer.
func (d *EntryServer) SetTTL(ttl time.Duration) { d.ttl.Store(int64(ttl)) }

// Serve accepts connections until the listener closes.
func (d *EntryServer) Serve(l net.Listener) error { return d.http.Serve(l) }

// Shutdown stops listening and waits for questions in progress until the context
// ends. Connections that stay open do not count.
func (d *EntryServer) Shutdown(ctx context.Context) { _ = d.http.ShutdownWithContext(ctx) }

func (d *EntryServer) handle(ctx *fasthttp.RequestCtx) {
	if platform.IsReadinessCheck(&ctx.Request) {
		if !d.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return
	}
	question, ok := platform.ParseEntryQuery(&ctx.Request)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := platform.WriteEntryResponse(&ctx.Response, d.planner.Select(question.Zone), time.Duration(d.ttl.Load())); err != nil {
		d.logger.WithError(err).Error("entry answer cannot be encoded")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
