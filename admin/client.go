package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"

	"github.com/valyala/fasthttp"
)

const clientTimeout = 10 * time.Second

// ErrRefused reports a request that the instance refused as malformed.
var ErrRefused = errors.New("instance refused the request")

// Client calls the administration API of one instance.
type Client struct {
	base string
	http *fasthttp.Client
}

// Status is the state of an instance.
type Status struct {
	Version config.Version
	Scopes  map[string]config.Version
}

// NewClient returns a client of the instance at the address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{base: "http://" + address.String(), http: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// Publish publishes a change through the instance. The error wraps
// configlog.ErrConflict, configlog.ErrUncertain, platform.ErrUnavailable or
// ErrRefused.
func (c *Client) Publish(ctx context.Context, change configlog.Change) (configlog.Result, error) {
	data, err := encodeChange(change)
	if err != nil {
		return configlog.Result{}, err
	}
	status, body, err := c.call(ctx, fasthttp.MethodPost, "/v1/changes", data)
	if err != nil {
		return configlog.Result{}, fmt.Errorf("%w: %w", configlog.ErrUncertain, err)
	}
	if status != fasthttp.StatusOK {
		return configlog.Result{}, fmt.Errorf("%w: %s", changeError(status), body)
	}
	var m resultMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return configlog.Result{}, fmt.Errorf("%w: %w", configlog.ErrUncertain, err)
	}
	return configlog.Result{Version: config.Version(m.Version)}, nil
}

func changeError(status int) error {
	switch status {
	case fasthttp.StatusConflict:
		return configlog.ErrConflict
	case fasthttp.StatusServiceUnavailable:
		return platform.ErrUnavailable
	case fasthttp.StatusBadRequest:
		return ErrRefused
	default:
		return configlog.ErrUncertain
	}
}

// Status returns the state of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, "/v1/status", nil)
	if err != nil {
		return Status{}, err
	}
	if status != fasthttp.StatusOK {
		return Status{}, fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	var m statusMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return Status{}, err
	}
	s := Status{Version: config.Version(m.Version), Scopes: map[string]config.Version{}}
	for scope, version := range m.Scopes {
		s.Scopes[scope] = config.Version(version)
	}
	return s, nil
}

func (c *Client) call(ctx context.Context, method, path string, data []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.SetBodyRaw(data)
	deadline := time.Now().Add(clientTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
