// Package admin is the administration API of an instance and its client.
package admin

import (
	"context"
	"errors"
	"net"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"
)

// Publisher publishes configuration changes.
type Publisher interface {
	Publish(ctx context.Context, change configlog.Change) (configlog.Result, error)
}

// Fleet gives the configuration in force.
type Fleet interface {
	Fleet() *config.Fleet
}

// Server serves the administration API.
type Server struct {
	publisher Publisher
	fleet     Fleet
	http      *fasthttp.Server
}

// NewServer returns a server of the administration API.
func NewServer(publisher Publisher, fleet Fleet) *Server {
	s := &Server{publisher: publisher, fleet: fleet}
	s.http = &fasthttp.Server{Handler: s.handle, Name: "rhubarbrelay admin"}
	return s
}

// Serve answers operators until the listener closes.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops listening and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/changes":
		s.handleChange(ctx)
	case "/v1/status":
		s.handleStatus(ctx)
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleChange(ctx *fasthttp.RequestCtx) {
	change, err := decodeChange(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	result, err := s.publisher.Publish(ctx, change)
	switch {
	case errors.Is(err, configlog.ErrConflict):
		ctx.Error(err.Error(), fasthttp.StatusConflict)
	case errors.Is(err, platform.ErrUnavailable):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusGatewayTimeout)
	default:
		writeJSON(ctx, resultMessage{Version: int64(result.Version)})
	}
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	fleet := s.fleet.Fleet()
	m := statusMessage{Version: int64(fleet.Version), Scopes: map[string]int64{}}
	for scope, version := range fleet.ScopeVersions {
		m.Scopes[scope] = int64(version)
	}
	writeJSON(ctx, m)
}
