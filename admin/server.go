// Package admin implements the administration API of an instance: status,
// metrics, timeline events and active configuration.
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
	JoinPath     = "/join"
)

const (
	idleTimeout  = 30 * time.Second
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	bearerPrefix = "Bearer "
)

// Instance provides the state that the API serves.
type Instance interface {
	Status() Status
	// RawConfig returns the active configuration as it was published, with digests in
	// place of API keys.
	RawConfig() []byte
	// CompressedConfig returns the active configuration compressed with gzip.
	CompressedConfig() []byte
	// Join returns the encoded state for an instance that starts and sends the
	// request. An error means that it must join through another instance.
	Join(request []byte) ([]byte, error)
}

// EventSource provides the events that the instance recorded.
type EventSource interface {
	Events(filter timeline.Filter) []timeline.Event
}

// Server serves the administration API.
type Server struct {
	instance Instance
	events   EventSource
	token    string
	logger   log.Interface
	http     *fasthttp.Server
}

// NewServer returns a server that requires the bearer token unless it is empty.
// ConfigPath and JoinPath never require one, because other instances use them.
func NewServer(instance Instance, events EventSource, token string, logger log.Interface) *Server {
	s := &Server{instance: instance, events: events, token: token, logger: logger}
	s.http = &fasthttp.Server{
		Handler: fasthttp.CompressHandlerLevel(s.handle, fasthttp.CompressBestSpeed), NoDefaultServerHeader: true, Logger: discardLogger{},
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	return s
}

// discardLogger drops fasthttp's log lines about malformed requests.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops listening and waits for requests in progress until the context
// ends. It does not wait for idle connections.
func (s *Server) Shutdown(ctx context.Context) { _ = s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == JoinPath && ctx.IsPost() {
		s.writeJoinResponse(ctx)
		return
	}
	if !ctx.IsGet() {
		ctx.Error("method is not GET", fasthttp.StatusMethodNotAllowed)
		return
	}
	if path == ConfigPath {
		s.writeConfig(ctx)
		return
	}
	if !s.authorized(ctx) {
		ctx.Error("bearer token is missing or wrong", fasthttp.StatusUnauthorized)
		return
	}
	switch path {
	case StatusPath:
		s.writeJSON(ctx, newStatusMessage(s.instance.Status()))
	case TimelinePath:
		s.writeTimeline(ctx)
	case MetricsPath:
		expvarhandler.ExpvarHandler(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	header := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return s.token == "" || subtle.ConstantTimeCompare(header, []byte(bearerPrefix+s.token)) == 1
}

func (s *Server) writeConfig(ctx *fasthttp.RequestCtx) {
	rawConfig := s.instance.RawConfig()
	if rawConfig == nil {
		ctx.Error("no configuration is known", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	if ctx.Request.Header.HasAcceptEncoding("gzip") {
		ctx.Response.Header.SetContentEncoding("gzip")
		rawConfig = s.instance.CompressedConfig()
	}
	ctx.Response.SetBodyRaw(rawConfig)
}

func (s *Server) writeJoinResponse(ctx *fasthttp.RequestCtx) {
	state, err := s.instance.Join(ctx.PostBody())
	if err != nil {
		s.logger.WithError(err).WithField("from", ctx.RemoteAddr().String()).Debug("join request refused")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetContentType("application/x-protobuf")
	ctx.SetBody(state)
}

func (s *Server) writeTimeline(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	filter := timeline.Filter{
		Request: string(args.Peek("request")), Service: string(args.Peek("service")), Target: string(args.Peek("target")),
	}
	if text := string(args.Peek("after")); text != "" {
		after, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			ctx.Error(`query parameter "after" is not a timestamp`, fasthttp.StatusBadRequest)
			return
		}
		filter.After = timeline.Timestamp(after)
	}
	s.writeJSON(ctx, newEventMessages(s.events.Events(filter)))
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		s.logger.WithError(err).Error("response of the administration API cannot be encoded")
		ctx.Error("internal error", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
