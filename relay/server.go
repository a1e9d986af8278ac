// Package relay serves callers: it answers entry lookups and passes requests
// on to targets.
package relay

import (
	"context"
	"net"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/entry"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"

	"github.com/valyala/fasthttp"
)

// Limits of the callers' listener.
const (
	DefaultMaxRequestBody = 4 << 20 // bytes
	DefaultIdleTimeout    = time.Minute
	// DefaultReadTimeout bounds the time that a caller may take to send a
	// request, so that slow senders do not hold memory.
	DefaultReadTimeout = 10 * time.Second
)

// Fleet gives the configuration in force.
type Fleet interface {
	Fleet() *config.Fleet
}

// Dispatchers gives the dispatcher of a service, nil when there is none.
type Dispatchers interface {
	Dispatcher(service string) *routing.Dispatcher
}

// Planner makes entry answers.
type Planner interface {
	Plan(service *config.Service, zone string) entry.Answer
}

// Targets takes note of what targets say of themselves.
type Targets interface {
	AnnounceTarget(target config.Target, draining bool)
}

// Server serves callers.
type Server struct {
	fleet       Fleet
	dispatchers Dispatchers
	pools       *upstream.Pools
	planner     Planner
	targets     Targets
	http        *fasthttp.Server
}

// NewServer returns a server of the callers' listener.
func NewServer(fleet Fleet, dispatchers Dispatchers, pools *upstream.Pools, planner Planner, targets Targets) *Server {
	s := &Server{fleet: fleet, dispatchers: dispatchers, pools: pools, planner: planner, targets: targets}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "rhubarbrelay",
		MaxRequestBodySize:    DefaultMaxRequestBody,
		ReadTimeout:           DefaultReadTimeout,
		IdleTimeout:           DefaultIdleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve accepts callers until the listener closes.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops listening and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
