// Package relay serves callers: it answers entry lookups and passes requests
// on to targets.
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"rhubarbrelay/config"
	"rhubarbrelay/entry"
	"rhubarbrelay/idempotency"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
	"rhubarbrelay/upstream"
)

// Limits of the callers' listener.
const (
	DefaultMaxRequestBody = 4 << 20 // bytes
	DefaultIdleTimeout    = time.Minute
	// DefaultReadTimeout bounds the time that a caller may take to send a
	// request, so that slow senders do not hold memory.
	DefaultReadTimeout = 10 * time.Second
	// DefaultWriteTimeout bounds the time that a caller may take to receive an
	// answer, for the same reason.
	DefaultWriteTimeout = 10 * time.Second
	// maxRequestHeader bounds the header of a request, in bytes.
	maxRequestHeader = 8 << 10
	// DefaultMaxConnections bounds the connections of callers.
	DefaultMaxConnections = 16 << 10
	// refusalEvents bounds the recorded refusals per second: an overload must
	// not push all other events out of the timeline.
	refusalEvents = 10
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

// Recorder keeps events for the timeline.
type Recorder interface {
	Record(event timeline.Event)
}

// Freshness tells whether the instance's view is fresh. An instance that was
// paused must revalidate its view before it sends to a target.
type Freshness interface {
	Fresh() bool
}

// Forwarder passes a request to the instance that owns its idempotency key and
// returns the answer, both as HTTP/1.1 messages. Any error means that the
// request may have run there.
type Forwarder interface {
	Forward(ctx context.Context, instance string, incarnation int64, request []byte) ([]byte, error)
}

// Server serves callers.
type Server struct {
	fleet       Fleet
	dispatchers Dispatchers
	pools       *upstream.Pools
	planner     Planner
	targets     Targets
	recorder    Recorder
	freshness   Freshness
	forwarder   Forwarder
	memory      *idempotency.Memory
	allowRetry  func(*routing.Dispatcher) bool
	refusals    *rate.Limiter
	logger      log.Interface
	counters    counters
	closing     atomic.Bool
	calls       sync.Pool // of *call
	http        *fasthttp.Server
	// maxConnections bounds the connections of callers.
	maxConnections int
}

// Option changes a Server under construction.
type Option func(*Server)

// WithRecorder records retries, refusals, unknown outcomes and forwards.
func WithRecorder(recorder Recorder) Option {
	return func(s *Server) { s.recorder = recorder }
}

// WithLogger sets the logger of panics.
func WithLogger(logger log.Interface) Option {
	return func(s *Server) { s.logger = logger }
}

// WithFreshness holds requests back while the instance's view is not fresh.
func WithFreshness(freshness Freshness) Option {
	return func(s *Server) { s.freshness = freshness }
}

// WithMemory sets the deduplication table of this instance. Without it, every
// request with an idempotency key belongs to another instance.
func WithMemory(memory *idempotency.Memory) Option {
	return func(s *Server) { s.memory = memory }
}

// WithForwarder sets the way to the instances that own other keys. Without it,
// requests with such keys get the outcome unknown.
func WithForwarder(forwarder Forwarder) Option {
	return func(s *Server) { s.forwarder = forwarder }
}

// WithMaxRequestBody bounds the body of a request, in bytes.
func WithMaxRequestBody(size int) Option {
	return func(s *Server) { s.http.MaxRequestBodySize = size }
}

// WithMaxConnections bounds the connections of callers.
func WithMaxConnections(n int) Option {
	return func(s *Server) { s.maxConnections = n }
}

// WithReadTimeout bounds the time that a caller may take to send a request.
func WithReadTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.http.ReadTimeout = timeout }
}

// NewServer returns a server of the callers' listener.
func NewServer(
	fleet Fleet, dispatchers Dispatchers, pools *upstream.Pools, planner Planner, targets Targets, opts ...Option,
) *Server {
	s := &Server{
		fleet: fleet, dispatchers: dispatchers, pools: pools, planner: planner, targets: targets,
		allowRetry: (*routing.Dispatcher).AllowRetry, maxConnections: DefaultMaxConnections,
		logger:   log.Log,
		refusals: rate.NewLimiter(refusalEvents, refusalEvents),
		calls:    sync.Pool{New: func() any { return &call{} }},
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ExpectHandler:         s.handleExpect,
		ErrorHandler:          s.handleError,
		HeaderReceived:        s.handleHeader,
		MaxRequestBodySize:    DefaultMaxRequestBody,
		ReadBufferSize:        maxRequestHeader,
		ReadTimeout:           DefaultReadTimeout,
		WriteTimeout:          DefaultWriteTimeout,
		IdleTimeout:           DefaultIdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		SecureErrorLogMessage: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		StreamRequestBody:     true,
		// A parsed form would be encoded anew on its way to the target.
		DisablePreParseMultipartForm: true,
	}
	for _, opt := range opts {
		opt(s)
	}
	// The listener keeps to the limit. A worker of fasthttp becomes free shortly
	// after its connection was closed, so that there must be more workers than
	// connections.
	s.http.Concurrency = 2 * s.maxConnections
	return s
}

// discardLogger drops fasthttp's log: every line is about a caller's bad input,
// which a caller could use to fill the log. The timeline has samples of it.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts callers until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	limited := &limitedListener{Listener: l, limit: int64(s.maxConnections), refuse: s.refuseConnection}
	defer limited.pending.Wait()
	return s.http.Serve(limited)
}

// SetClosing sets whether every answer asks the caller to close its connection.
func (s *Server) SetClosing(closing bool) { s.closing.Store(closing) }

// Shutdown stops listening and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }
