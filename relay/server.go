// Package relay serves callers: it passes their requests on to targets and
// answers every one of them truthfully.
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
	"rhubarbrelay/routing"
	"rhubarbrelay/timeline"
)

// Limits of the callers' listener.
const (
	// DefaultMaxRequestBody bounds the body of a request, in bytes, where the
	// configuration states no lower limit.
	DefaultMaxRequestBody = 64 << 20
	// DefaultIdleTimeout is longer than callers keep idle connections, so that
	// they and not the instance close them.
	DefaultIdleTimeout = time.Minute
	// DefaultReadTimeout bounds the time that a caller may take to send a
	// request, so that slow senders do not hold memory.
	DefaultReadTimeout = 10 * time.Second
	// DefaultWriteTimeout bounds the time that a caller may take to receive an
	// answer, for the same reason.
	DefaultWriteTimeout = 10 * time.Second
	// maxRequestHeader bounds the header of a request, in bytes.
	maxRequestHeader = 17 << 10
	// DefaultMaxConnections bounds the connections of callers.
	DefaultMaxConnections = 2000
	// refusalEvents bounds the recorded refusals per second: an overload must
	// not push all other events out of the timeline.
	refusalEvents = 10
	// servedLines bounds the log lines per second of requests that went well.
	servedLines = 50
)

// ConfigSource gives the configuration in force, nil when none is known yet.
type ConfigSource interface {
	Current() *config.Document
}

// Dispatchers gives the dispatcher of a service, nil when there is none.
type Dispatchers interface {
	Dispatcher(service string) *routing.Dispatcher
}

// Recorder keeps events for the timeline.
type Recorder interface {
	Record(event timeline.Event)
}

// Freshness waits until what the instance knows of the system is recent enough
// to act on. It returns false when that is not the case in time.
type Freshness interface {
	Await(ctx context.Context) bool
}

// Server serves callers.
type Server struct {
	config      ConfigSource
	dispatchers Dispatchers
	freshness   Freshness
	recorder    Recorder
	logger      log.Interface
	splits      splits
	waits       waits
	refusals    *rate.Limiter
	served      *rate.Limiter
	counters    counters
	closing     atomic.Bool
	inProgress  atomic.Int64
	calls       sync.Pool // of *call
	http        *fasthttp.Server
	// maxConnections bounds the connections of callers.
	maxConnections int
}

// Option changes a Server under construction.
type Option func(*Server)

// WithRecorder records retries, refusals and unknown outcomes.
func WithRecorder(recorder Recorder) Option { return func(s *Server) { s.recorder = recorder } }

// WithLogger sets the logger of requests and panics.
func WithLogger(logger log.Interface) Option { return func(s *Server) { s.logger = logger } }

// WithFreshness holds requests back while the instance's view is too old.
func WithFreshness(freshness Freshness) Option {
	return func(s *Server) { s.freshness = freshness }
}

// WithMaxConnections bounds the connections of callers.
func WithMaxConnections(n int) Option { return func(s *Server) { s.maxConnections = n } }

// WithMaxRequestBody bounds the body of a request, in bytes.
func WithMaxRequestBody(size int) Option { return func(s *Server) { s.http.MaxRequestBodySize = size } }

// WithReadTimeout bounds the time that a caller may take to send a request.
func WithReadTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.http.ReadTimeout = timeout }
}

// NewServer returns a server of the callers' listener.
func NewServer(config ConfigSource, dispatchers Dispatchers, opts ...Option) *Server {
	s := &Server{
		config: config, dispatchers: dispatchers, maxConnections: DefaultMaxConnections,
		logger:   log.Log,
		refusals: rate.NewLimiter(refusalEvents, refusalEvents),
		served:   rate.NewLimiter(servedLines, servedLines),
		calls:    sync.Pool{New: func() any { return &call{} }},
		counters: newCounters(),
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
		NoDefaultDate:         true,
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

// DisableKeepAlive makes every answer ask the caller to close its connection.
func (s *Server) DisableKeepAlive() { s.closing.Store(true) }

// InProgress returns the number of requests that were read and not answered.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }

const (
	// finishPoll is the time between two looks for requests in progress.
	finishPoll = 20 * time.Millisecond
	// flushTime is the time to write the last answers.
	flushTime = 100 * time.Millisecond
)

// Shutdown stops listening, closes idle connections and waits for the requests
// in progress until the context ends. It does not wait for connections on which
// no request was sent.
func (s *Server) Shutdown(ctx context.Context) error {
	closed := make(chan error, 1)
	go func() { closed <- s.http.ShutdownWithContext(ctx) }()
	ticker := time.NewTicker(finishPoll)
	defer ticker.Stop()
	var quiet time.Duration
	for {
		select {
		case err := <-closed:
			return err
		case <-ticker.C:
		}
		quiet += finishPoll
		if s.InProgress() > 0 {
			quiet = 0
		}
		if quiet >= flushTime {
			return nil
		}
	}
}
