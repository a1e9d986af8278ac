// Package relay is the HTTP server for callers. It forwards requests to targets,
// retries and hedges them where that is safe, and never states in a response that
// a request has not run if it may have.
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

	"rhubarbrelay/bodies"
	"rhubarbrelay/callers"
	"rhubarbrelay/config"
	"rhubarbrelay/crashes"
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
)

// Limits of the server for callers.
const (
	// DefaultMaxRequestBody limits the size of a request body in bytes, unless the
	// configuration sets a lower limit.
	DefaultMaxRequestBody = 64 << 20
	// DefaultIdleTimeout is longer than the idle timeout of callers, so that idle
	// connections are closed by the caller and not by the instance.
	DefaultIdleTimeout = time.Minute
	// DefaultReadTimeout limits the time for receiving a request, so that slow
	// callers do not hold memory.
	DefaultReadTimeout = 10 * time.Second
	// DefaultWriteTimeout limits the time for sending a response, for the same
	// reason, unless its caller reads it and has stated that it waits longer.
	DefaultWriteTimeout = 10 * time.Second
	// maxSendTime limits the time for sending a response whose caller states that it waits
	// longer. It suffices for 16 MiB at 1.2 Mbit/s.
	maxSendTime = 2 * time.Minute
	// maxHeaderFields is the size in bytes of the header fields for which there is room
	// in any case.
	maxHeaderFields = 16 << 10
	// maxRequestLine is the size in bytes of the request line for which there is room
	// beside the header fields. RFC 9112 recommends at least 8000.
	maxRequestLine = 8 << 10
	// maxRequestHeader limits the size in bytes of a request line and the header fields.
	// Every open connection holds a buffer of this size.
	maxRequestHeader = maxRequestLine + maxHeaderFields
	// DefaultMaxConnections limits the number of connections from callers.
	DefaultMaxConnections = 2000
	// refusalEventsPerSecond limits the refusals recorded per second, so that an
	// overload does not evict all other events from the timeline.
	refusalEventsPerSecond = 10
	// forwardLogsPerSecond limits the log lines per second for forwarded responses.
	forwardLogsPerSecond = 50
)

// ConfigSource provides the active configuration, nil if there is none yet.
type ConfigSource interface {
	Current() *config.Document
	// ActivatedAt returns when the active configuration was activated.
	ActivatedAt() time.Time
}

// Dispatchers provides the dispatcher of a service, nil for an unknown service.
type Dispatchers interface {
	Dispatcher(service string) *routing.Dispatcher
}

// Recorder records events for the timeline.
type Recorder interface {
	Record(event timeline.Event)
}

// Freshness checks the age of the instance's state. Await waits, for a limited
// time, until the state (configuration and targets) is recent enough to serve a
// request. It returns false if the request must be refused because the state was
// not read again after a suspension of the machine.
type Freshness interface {
	Await(ctx context.Context) bool
}

// Server is the HTTP server for callers.
type Server struct {
	config        ConfigSource
	dispatchers   Dispatchers
	freshness     Freshness
	startGate     StartGate // nil for none
	recorder      Recorder
	logger        log.Interface
	trafficSplits trafficSplits
	timeouts      timeoutHistograms
	crashes       CrashLedger
	refusalEvents *rate.Limiter
	forwardLogs   *rate.Limiter
	// unauthorizedLogs limits the log lines for requests without a valid API key.
	unauthorizedLogs *rate.Limiter
	counters         counters
	// drainEnd is when the requests in progress must have ended, nil unless the server
	// drains.
	drainEnd   atomic.Pointer[time.Time]
	inProgress atomic.Int64
	// runningAhead is the number of requests that run before an earlier one of their
	// connection is answered.
	runningAhead atomic.Int64
	conns        *callers.Set
	sends        *sendGate
	calls        sync.Pool // of *call
	http         *fasthttp.Server
	// maxConnections limits the number of connections from callers, maxPeerConnections that
	// of connections from other instances.
	maxConnections, maxPeerConnections int
	writeTimeout                       time.Duration
	peers                              PeerSelector // nil for none
	quotas                             Quotas       // nil for none
	quotaLogs                          *rate.Limiter
	peerPools                          *peerPools
	// requestMemory and responseMemory limit the large bodies of all requests and all
	// responses; nil means no limit. They are separate, so that requests that wait for
	// their responses do not hold the memory that those need.
	requestMemory, responseMemory *bodies.Memory
}

// Option configures a Server.
type Option func(*Server)

// WithRecorder sets the recorder of retries, refusals and unknown outcomes.
func WithRecorder(recorder Recorder) Option { return func(s *Server) { s.recorder = recorder } }

// WithLogger sets the logger for requests and panics.
func WithLogger(logger log.Interface) Option { return func(s *Server) { s.logger = logger } }

// WithFreshness delays requests while the instance's state is too old.
func WithFreshness(freshness Freshness) Option {
	return func(s *Server) { s.freshness = freshness }
}

// WithMaxConnections limits the number of connections from callers, and that of connections
// from other instances.
func WithMaxConnections(n int) Option { return WithConnectionLimits(n, n) }

// WithConnectionLimits limits the number of connections from callers and from other
// instances.
func WithConnectionLimits(callers, peers int) Option {
	return func(s *Server) { s.maxConnections, s.maxPeerConnections = callers, peers }
}

// WithMemory limits the bytes that the large bodies of all requests and those of all
// responses hold. A request that does not fit is refused.
func WithMemory(requests, responses *bodies.Memory) Option {
	return func(s *Server) { s.requestMemory, s.responseMemory = requests, responses }
}

// WithPeers sets the other instances to which requests are passed on whose targets this one
// cannot reach. By default there are none.
func WithPeers(peers PeerSelector) Option { return func(s *Server) { s.peers = peers } }

// WithMaxRequestBody limits the size of a request body in bytes.
func WithMaxRequestBody(size int) Option { return func(s *Server) { s.http.MaxRequestBodySize = size } }

// WithReadTimeout limits the time for receiving a request.
func WithReadTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.http.ReadTimeout = timeout }
}

// WithWriteTimeout limits the time for sending a response in which its caller reads nothing,
// and the time in all, unless the caller has stated that it waits longer.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.writeTimeout = timeout }
}

// NewServer returns a server for callers.
func NewServer(config ConfigSource, dispatchers Dispatchers, opts ...Option) *Server {
	s := &Server{
		config: config, dispatchers: dispatchers, maxConnections: DefaultMaxConnections, maxPeerConnections: DefaultMaxConnections,
		logger:           log.Log,
		refusalEvents:    rate.NewLimiter(refusalEventsPerSecond, refusalEventsPerSecond),
		forwardLogs:      rate.NewLimiter(forwardLogsPerSecond, forwardLogsPerSecond),
		quotaLogs:        rate.NewLimiter(quotaLogsPerSecond, quotaLogsPerSecond),
		unauthorizedLogs: rate.NewLimiter(unauthorizedLogsPerSecond, unauthorizedLogsPerSecond),
		calls:            sync.Pool{New: func() any { return &call{} }},
		counters:         newCounters(),
		crashes:          crashes.NewLedger(),
		peerPools:        newPeerPools(),
		conns:            callers.NewSet(),
		writeTimeout:     DefaultWriteTimeout,
		sends:            newSendGate(),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ExpectHandler:         s.handleExpect,
		ErrorHandler:          s.handleError,
		HeaderReceived:        s.configureBodyRead,
		MaxRequestBodySize:    DefaultMaxRequestBody,
		ReadBufferSize:        maxRequestHeader,
		ReadTimeout:           DefaultReadTimeout,
		IdleTimeout:           DefaultIdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		SecureErrorLogMessage: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		StreamRequestBody:     true,
		// A parsed form would be encoded again when the request is forwarded.
		DisablePreParseMultipartForm: true,
	}
	for _, opt := range opts {
		opt(s)
	}
	// The two listeners, for callers and for other instances, enforce the limit. A
	// fasthttp worker becomes free only shortly after its connection is closed, so there
	// must be more workers than connections.
	s.http.Concurrency = 2 * (s.maxConnections + s.maxPeerConnections)
	return s
}

// discardLogger discards fasthttp's log, most lines of which report malformed
// input. Server itself logs every request that fasthttp could not read (see
// handleError), and the timeline records a sample of them. EntryServer does not log
// them, so that a caller cannot flood the log through it.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.serve(l, s.maxConnections)
}

// ServePeers accepts connections on which other instances pass requests on, until the
// listener is closed.
func (s *Server) ServePeers(l net.Listener) error {
	return s.serve(l, s.maxPeerConnections, callers.FromPeers())
}

// InProgress returns the number of requests being handled.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }
