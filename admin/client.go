package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

const (
	clientTimeout = 10 * time.Second
	dialTimeout   = 3 * time.Second
	// maxAnswer holds a full timeline, some 3 MB, several times over.
	maxAnswer = 32 << 20
)

// The errors of the client. A publication returns the errors of configlog and
// platform as well.
var (
	// ErrRefused reports a request that the instance refused as malformed.
	ErrRefused = errors.New("instance refused the request")
	// ErrUnauthorized reports a missing or wrong token.
	ErrUnauthorized = errors.New("instance refused the token")
	// ErrNotFound reports something that the instance does not know.
	ErrNotFound = errors.New("not found")
	// ErrUnreachable reports an instance that did not answer. For a change it
	// promises that nothing was sent.
	ErrUnreachable = errors.New("instance unreachable")
	// ErrAnswer reports an answer that is not one of the administration API.
	ErrAnswer = errors.New("unusable answer")
)

// ConflictError is a conflict with the state of the scope that won. It wraps
// configlog.ErrConflict.
type ConflictError struct {
	Scope string
	// Current is the service's document. For the scope of an instance only its
	// version is set.
	Current Document
	// Drained is the state of an instance's drain.
	Drained bool
}

// Error names the scope and who changed it.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s: %s: it is now at version %d", e.Scope, configlog.ErrConflict, e.Current.Version)
	if e.Current.Author != "" {
		text += " by " + e.Current.Author
	}
	return text
}

// Unwrap returns configlog.ErrConflict.
func (e *ConflictError) Unwrap() error { return configlog.ErrConflict }

// Client calls the administration API of one instance.
type Client struct {
	address netip.AddrPort
	token   string
	http    *fasthttp.Client
}

// ClientOption changes a client.
type ClientOption func(*Client)

// WithClientToken sets the bearer token of the requests.
func WithClientToken(token string) ClientOption { return func(c *Client) { c.token = token } }

// NewClient returns a client of the instance at the address.
func NewClient(address netip.AddrPort, opts ...ClientOption) *Client {
	c := &Client{address: address, http: &fasthttp.Client{
		// fasthttp repeats idempotent requests on its own otherwise.
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswer,
		Dial:                      dial,
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// dialError marks a failure before anything was sent.
type dialError struct{ err error }

// Error returns the text of the failure.
func (e dialError) Error() string { return e.err.Error() }

// Unwrap returns the failure.
func (e dialError) Unwrap() error { return e.err }

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Publish publishes a change through the instance. The error wraps
// configlog.ErrConflict (as a *ConflictError), configlog.ErrUncertain,
// platform.ErrUnavailable, ErrRefused, ErrUnauthorized or ErrUnreachable.
// Nothing was changed unless it is configlog.ErrUncertain.
func (c *Client) Publish(ctx context.Context, change configlog.Change) (configlog.Result, error) {
	data, err := encodeChange(change)
	if err != nil {
		return configlog.Result{}, err
	}
	// The server closes the connection on a larger body, which would leave the
	// outcome uncertain.
	if len(data) > maxRequestBody {
		return configlog.Result{}, fmt.Errorf("%w: change of %d bytes, at most %d are allowed", ErrRefused, len(data), maxRequestBody)
	}
	status, body, err := c.call(ctx, fasthttp.MethodPost, "/v1/changes", data)
	if errors.Is(err, ErrUnreachable) {
		return configlog.Result{}, err
	}
	if err != nil {
		return configlog.Result{}, fmt.Errorf("%w: %w", configlog.ErrUncertain, err)
	}
	if status != fasthttp.StatusOK {
		return configlog.Result{}, changeError(change.Scope, status, body)
	}
	var m resultMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return configlog.Result{}, fmt.Errorf("%w: %w: %w", configlog.ErrUncertain, ErrAnswer, err)
	}
	return configlog.Result{Version: config.Version(m.Version)}, nil
}

// changeError returns the error of a refused change. An answer that does not
// come from the administration API proves nothing, so that it is uncertain.
func changeError(scope string, status int, body []byte) error {
	var m errorMessage
	if err := json.Unmarshal(body, &m); err != nil || m.Kind == "" {
		return fmt.Errorf("%w: %w: status %d", configlog.ErrUncertain, ErrAnswer, status)
	}
	switch m.Kind {
	case kindConflict.name:
		return conflictError(scope, m)
	case kindUnavailable.name:
		return fmt.Errorf("%w: %s", platform.ErrUnavailable, m.Error)
	case kindUncertain.name, kindInternal.name:
		return fmt.Errorf("%w: %s", configlog.ErrUncertain, m.Error)
	default:
		return queryError(m)
	}
}

func conflictError(scope string, m errorMessage) error {
	e := &ConflictError{Scope: scope, Drained: m.Drained, Current: Document{Version: config.NoVersion}}
	if m.Current == nil {
		return e
	}
	current, err := documentFromMessage(*m.Current)
	if err != nil {
		return errors.Join(e, fmt.Errorf("%w: %w", ErrAnswer, err))
	}
	e.Current = current
	return e
}

// queryError returns the error of a request that changed nothing.
func queryError(m errorMessage) error {
	switch m.Kind {
	case kindUnauthorized.name:
		return fmt.Errorf("%w: %s", ErrUnauthorized, m.Error)
	case kindNotFound.name:
		return fmt.Errorf("%w: %s", ErrNotFound, m.Error)
	default:
		return fmt.Errorf("%w: %s", ErrRefused, m.Error)
	}
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var m statusMessage
	if err := c.query(ctx, "/v1/status", &m); err != nil {
		return Status{}, err
	}
	s, err := statusFromMessage(m)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrAnswer, err)
	}
	return s, nil
}

// Document returns the published text of a service. The error wraps
// ErrNotFound when the service is not published.
func (c *Client) Document(ctx context.Context, service string) (Document, error) {
	var m documentMessage
	if err := c.query(ctx, "/v1/services/"+url.PathEscape(service), &m); err != nil {
		return Document{}, err
	}
	d, err := documentFromMessage(m)
	if err != nil {
		return Document{}, fmt.Errorf("%w: %w", ErrAnswer, err)
	}
	return d, nil
}

// ServiceSummary is one line of the list of services.
type ServiceSummary struct {
	Name    string
	Version config.Version
	Targets int
	Routes  int
}

// Services returns the published services by name.
func (c *Client) Services(ctx context.Context) ([]ServiceSummary, error) {
	var m servicesMessage
	if err := c.query(ctx, "/v1/services", &m); err != nil {
		return nil, err
	}
	var all []ServiceSummary
	for _, s := range m.Services {
		all = append(all, ServiceSummary{Name: s.Name, Version: config.Version(s.Version), Targets: s.Targets, Routes: s.Routes})
	}
	return all, nil
}

// Instances returns the instances that the instance knows, itself included.
func (c *Client) Instances(ctx context.Context) ([]InstanceStatus, error) {
	var m instancesMessage
	if err := c.query(ctx, "/v1/instances", &m); err != nil {
		return nil, err
	}
	var all []InstanceStatus
	for _, im := range m.Instances {
		i, err := instanceFromMessage(im)
		if err != nil {
			return nil, fmt.Errorf("%w: instance %s: %w", ErrAnswer, im.ID, err)
		}
		all = append(all, i)
	}
	return all, nil
}

// Timeline returns the events of the instance that the filter selects.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (Timeline, error) {
	var m timelineMessage
	if err := c.query(ctx, "/v1/timeline?"+encodeFilter(f), &m); err != nil {
		return Timeline{}, err
	}
	t := Timeline{CompleteSince: timeline.Stamp(m.CompleteSince)}
	for _, e := range m.Events {
		t.Events = append(t.Events, eventFromMessage(e))
	}
	return t, nil
}

func (c *Client) query(ctx context.Context, path string, m any) error {
	status, body, err := c.call(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if status != fasthttp.StatusOK {
		var refused errorMessage
		if err := json.Unmarshal(body, &refused); err != nil || refused.Kind == "" {
			return fmt.Errorf("%s: %w: status %d", c.address, ErrAnswer, status)
		}
		return fmt.Errorf("%s: %w", c.address, queryError(refused))
	}
	if err := json.Unmarshal(body, m); err != nil {
		return fmt.Errorf("%s: %w: %w", c.address, ErrAnswer, err)
	}
	return nil
}

// call returns the status and the body of the answer. The error wraps
// ErrUnreachable when nothing was sent.
func (c *Client) call(ctx context.Context, method, path string, data []byte) (int, []byte, error) {
	if err := ctx.Err(); err != nil {
		return 0, nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, c.address, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address.String() + path)
	req.SetBodyRaw(data)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	deadline := time.Now().Add(clientTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	err := c.http.DoDeadline(req, resp, deadline)
	var failed dialError
	if errors.As(err, &failed) {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, failed.err)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", c.address, err)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
