// Package admin serves the operators of one instance: its state, its metrics,
// its events and the configuration in force.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"rhubarbrelay/timeline"
)

// Paths of the administration API.
const (
	StatusPath   = "/status"
	MetricsPath  = "/metrics"
	TimelinePath = "/timeline"
	ConfigPath   = "/config"
)

const (
	idleTimeout  = 30 * time.Second
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	bearer       = "Bearer "
)

// Instance is the instance that the API shows.
type Instance interface {
	Status() Status
	// RawConfig returns the configuration in force as it was published.
	RawConfig() []byte
}

// EventSource are the recorded events of the instance.
type EventSource interface {
	Events(filter timeline.Filter) []timeline.Event
}

// Server serves operators.
type Server struct {
	instance Instance
	events   EventSource
	token    string
	logger   log.Interface
	http     *fasthttp.Server
}

// NewServer returns a server. An empty token means that none is needed; the
// configuration is shown without one, since other instances read it.
func NewServer(instance Instance, events EventSource, token string, logger log.Interface) *Server {
	s := &Server{instance: instance, events: events, token: token, logger: logger}
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, Logger: discard{},
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	return s
}

// discard drops fasthttp's lines about malformed requests.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops listening and waits for questions in progress until the context
// ends. Connections that stay open do not count.
func (s *Server) Shutdown(ctx context.Context) { _ = s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		ctx.Error("method is not GET", fasthttp.StatusMethodNotAllowed)
		return
	}
	path := string(ctx.Path())
	if path == ConfigPath {
		s.writeDocument(ctx)
		return
	}
	if !s.authorized(ctx) {
		ctx.Error("bearer token is missing or wrong", fasthttp.StatusUnauthorized)
		return
	}
	switch path {
	case StatusPath:
		s.writeJSON(ctx, statusToWire(s.instance.Status()))
	case TimelinePath:
		s.writeTimeline(ctx)
	case MetricsPath:
		expvarhandler.ExpvarHandler(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	given := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return s.token == "" || subtle.ConstantTimeCompare(given, []byte(bearer+s.token)) == 1
}

func (s *Server) writeDocument(ctx *fasthttp.RequestCtx) {
	document := s.instance.RawConfig()
	if document == nil {
		ctx.Error("no configuration is known", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(document)
}

func (s *Server) writeTimeline(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	filter := timeline.Filter{
		Request: string(args.Peek("request")), Service: string(args.Peek("service")), Target: string(args.Peek("target")),
	}
	if text := string(args.Peek("after")); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			ctx.Error("after is not a stamp", fasthttp.StatusBadRequest)
			return
		}
		filter.After = timeline.Timestamp(after)
	}
	s.writeJSON(ctx, eventsToWire(s.events.Events(filter)))
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		s.logger.WithError(err).Error("administration answer cannot be encoded")
		ctx.Error("internal error", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
