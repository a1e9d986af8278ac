// Package admin is the administration API of an instance and its client.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/timeline"
)

// Bounds of the API.
const (
	// maxRequestBody holds a service of several thousand targets.
	maxRequestBody = 1 << 20
	maxConnections = 256
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	// publishTimeout is shorter than the client's timeout, so that the client
	// receives the outcome.
	publishTimeout = 8 * time.Second
	// conflictWait bounds the wait until the change that won is in force here,
	// so that the answer to a conflict can show it.
	conflictWait = time.Second
	conflictPoll = 10 * time.Millisecond
)

// Publisher publishes configuration changes.
type Publisher interface {
	Publish(ctx context.Context, change configlog.Change) (configlog.Result, error)
}

// Fleet gives the configuration in force.
type Fleet interface {
	Fleet() *config.Fleet
}

// Instance gives the state of the instance that the API serves.
type Instance interface {
	// Status returns the state of the instance. The server fills in Version,
	// Scopes and DrainedInstances from the configuration in force.
	Status() Status
}

// Documents gives the published text of services.
type Documents interface {
	// Document returns the text of a service, and false when it is not
	// published.
	Document(service string) (Document, bool)
}

// EventLog keeps the events of the process. timeline.Recorder implements it.
type EventLog interface {
	Record(e timeline.Event)
	Events(f timeline.Filter) []timeline.Event
	CompleteSince() timeline.Stamp
}

// Server serves the administration API.
type Server struct {
	publisher Publisher
	fleet     Fleet
	instance  Instance
	documents Documents
	events    EventLog
	logger    log.Interface
	// tokenHash is the SHA-256 of the token; hashes of equal length compare in
	// constant time whatever the length of the token presented.
	tokenHash [sha256.Size]byte
	hasToken  bool
	http      *fasthttp.Server
}

// Option changes a server.
type Option func(*Server)

// WithInstance sets the source of the instance's state.
func WithInstance(i Instance) Option { return func(s *Server) { s.instance = i } }

// WithDocuments sets the source of published texts with author and time.
func WithDocuments(d Documents) Option { return func(s *Server) { s.documents = d } }

// WithEvents sets the timeline, in which the server also records changes.
func WithEvents(e EventLog) Option { return func(s *Server) { s.events = e } }

// WithLogger sets the logger of changes and refusals.
func WithLogger(l log.Interface) Option { return func(s *Server) { s.logger = l } }

// WithToken makes the server ask for a bearer token. An empty token asks for
// none.
func WithToken(token string) Option {
	return func(s *Server) {
		s.hasToken = token != ""
		s.tokenHash = sha256.Sum256([]byte(token))
	}
}

// NewServer returns a server of the administration API. Without options it
// answers from the configuration in force alone.
func NewServer(publisher Publisher, fleet Fleet, opts ...Option) *Server {
	s := &Server{publisher: publisher, fleet: fleet, logger: &log.Logger{Handler: discard{}}}
	for _, opt := range opts {
		opt(s)
	}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		ErrorHandler:       handleError,
		Name:               "rhubarbrelay admin",
		MaxRequestBodySize: maxRequestBody,
		Concurrency:        maxConnections,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             requestLogger{s.logger},
	}
	return s
}

// Serve answers operators until the listener closes.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Shutdown stops listening and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.authorized(ctx) {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		writeError(ctx, kindUnauthorized, "a valid bearer token is needed")
		return
	}
	path := string(ctx.Path())
	method, handler := s.route(path)
	switch {
	case handler == nil:
		writeError(ctx, kindNotFound, "no such path "+path)
	case string(ctx.Method()) != method:
		ctx.Response.Header.Set(fasthttp.HeaderAllow, method)
		writeError(ctx, kindMethod, path+" needs the method "+method)
	default:
		handler(ctx)
	}
}

// route returns the method and the handler of a path.
func (s *Server) route(path string) (string, fasthttp.RequestHandler) {
	switch path {
	case "/v1/changes":
		return fasthttp.MethodPost, s.handleChange
	case "/v1/status":
		return fasthttp.MethodGet, s.handleStatus
	case "/v1/services":
		return fasthttp.MethodGet, s.handleServices
	case "/v1/instances":
		return fasthttp.MethodGet, s.handleInstances
	case "/v1/timeline":
		return fasthttp.MethodGet, s.handleTimeline
	case "/debug/vars":
		return fasthttp.MethodGet, expvarhandler.ExpvarHandler
	}
	if name, ok := strings.CutPrefix(path, "/v1/services/"); ok && name != "" && !strings.Contains(name, "/") {
		return fasthttp.MethodGet, func(ctx *fasthttp.RequestCtx) { s.handleService(ctx, name) }
	}
	return "", nil
}

func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	if !s.hasToken {
		return true
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	presented := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(presented[:], s.tokenHash[:]) == 1 && ok
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) { writeJSON(ctx, statusToMessage(s.status())) }

// status completes the instance's own state with the configuration in force.
func (s *Server) status() Status {
	fleet := s.fleet.Fleet()
	var status Status
	if s.instance != nil {
		status = s.instance.Status()
	} else {
		status = statusOfFleet(fleet)
	}
	status.Version = fleet.Version
	status.Scopes = fleet.ScopeVersions
	status.DrainedInstances = sortedKeys(fleet.DrainedInstances)
	return status
}

func (s *Server) handleServices(ctx *fasthttp.RequestCtx) {
	fleet := s.fleet.Fleet()
	m := servicesMessage{Version: int64(fleet.Version), Services: []serviceSummaryMessage{}}
	for _, service := range SortedServices(fleet) {
		m.Services = append(m.Services, serviceSummaryMessage{
			Name:    service.Name,
			Version: int64(versionOf(fleet, config.ServiceScope(service.Name))),
			Targets: len(service.Targets),
			Routes:  len(service.Routes),
		})
	}
	writeJSON(ctx, m)
}

func (s *Server) handleService(ctx *fasthttp.RequestCtx, name string) {
	d, ok := s.document(name)
	if !ok {
		writeError(ctx, kindNotFound, "no service "+name)
		return
	}
	writeJSON(ctx, documentToMessage(d))
}

func (s *Server) document(service string) (Document, bool) {
	if s.documents != nil {
		return s.documents.Document(service)
	}
	return documentOfFleet(s.fleet.Fleet(), service)
}

func (s *Server) handleInstances(ctx *fasthttp.RequestCtx) {
	m := instancesMessage{Instances: []instanceMessage{}}
	for _, i := range s.status().Instances {
		m.Instances = append(m.Instances, instanceToMessage(i))
	}
	writeJSON(ctx, m)
}

func (s *Server) handleTimeline(ctx *fasthttp.RequestCtx) {
	filter, err := decodeFilter(ctx.QueryArgs())
	if err != nil {
		writeError(ctx, kindInvalid, err.Error())
		return
	}
	m := timelineMessage{Events: []EventMessage{}}
	if s.events != nil {
		m.CompleteSince = uint64(s.events.CompleteSince())
		for _, e := range s.events.Events(filter) {
			m.Events = append(m.Events, EventToMessage(e))
		}
	}
	writeJSON(ctx, m)
}

// handleError answers requests that could not be read.
func handleError(ctx *fasthttp.RequestCtx, err error) {
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeError(ctx, kindTooLarge, "request body is larger than 1 MiB")
	case errors.As(err, &netErr) && netErr.Timeout():
		writeError(ctx, kindTimeout, "request was not received in time")
	default:
		writeError(ctx, kindInvalid, "request is malformed")
	}
	ctx.SetConnectionClose()
}

// requestLogger passes fasthttp's complaints on as debug lines.
type requestLogger struct{ logger log.Interface }

// Printf logs a line.
func (l requestLogger) Printf(format string, args ...any) { l.logger.Debugf("admin: "+format, args...) }

// discard is the log handler of a server without a logger.
type discard struct{}

// HandleLog drops the entry.
func (discard) HandleLog(*log.Entry) error { return nil }
