package relay

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/header"
	"rhubarbrelay/routing"
	"rhubarbrelay/upstream"

	"github.com/valyala/fasthttp"
)

// call is a request on its way through the relay.
type call struct {
	service    *config.Service
	deadline   time.Time
	idempotent bool
	long       bool
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), header.ReservedPrefix) {
		s.handleReserved(ctx)
		return
	}
	c, ok := s.newCall(ctx)
	if !ok {
		return
	}
	s.relay(ctx, c)
}

func (s *Server) newCall(ctx *fasthttp.RequestCtx) (call, bool) {
	service, ok := s.fleet.Fleet().Services[string(ctx.Request.Header.Peek(header.Service))]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "unknown service")
		return call{}, false
	}
	route := service.Match(string(ctx.Method()), string(ctx.Path()))
	timeout := service.Deadline
	if route.Deadline > 0 {
		timeout = route.Deadline
	}
	if text := string(ctx.Request.Header.Peek(header.Deadline)); text != "" {
		own, err := time.ParseDuration(text)
		if err != nil || own <= 0 {
			refuse(ctx, fasthttp.StatusBadRequest, "deadline is not a positive duration")
			return call{}, false
		}
		timeout = min(timeout, own)
	}
	return call{
		service:    service,
		deadline:   time.Now().Add(timeout),
		idempotent: isIdempotent(ctx, route),
		long:       route.Long,
	}, true
}

// isIdempotent returns whether a request may be sent more than once. The
// operator's mark on the route wins, then the caller's, then the method.
func isIdempotent(ctx *fasthttp.RequestCtx, route config.Route) bool {
	if route.Idempotency != config.Unmarked {
		return route.Idempotency == config.Idempotent
	}
	switch string(ctx.Request.Header.Peek(header.Idempotent)) {
	case "true":
		return true
	case "false":
		return false
	}
	return ctx.IsGet() || ctx.IsHead() || ctx.IsOptions()
}

func (s *Server) relay(ctx *fasthttp.RequestCtx, c call) {
	dispatcher := s.dispatchers.Dispatcher(c.service.Name)
	if dispatcher == nil {
		refuse(ctx, fasthttp.StatusNotFound, "unknown service")
		return
	}
	slot, err := dispatcher.Acquire(context.Background(), routing.Call{Arrival: time.Now(), Deadline: c.deadline, Long: c.long})
	if err != nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	target := slot.Target()
	pool := s.pools.Pool(target.Address)
	if pool == nil {
		slot.Release(routing.Result{Status: routing.Unused, Reported: routing.NoReport})
		refuse(ctx, fasthttp.StatusServiceUnavailable, "target left the fleet")
		return
	}
	start := time.Now()
	err = pool.Exchange(&ctx.Request, &ctx.Response, upstream.Terms{Deadline: c.deadline, Proven: !c.idempotent})
	s.finish(ctx, slot, time.Since(start), err)
}

func (s *Server) finish(ctx *fasthttp.RequestCtx, slot *routing.Slot, latency time.Duration, err error) {
	result := routing.Result{Latency: latency, Reported: routing.NoReport}
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		result.Status = routing.Unreachable
		refuse(ctx, fasthttp.StatusBadGateway, err.Error())
	case err != nil:
		result.Status = routing.Failed
		fail(ctx, fasthttp.StatusBadGateway, header.OutcomeUnknown, err.Error())
	default:
		result.Reported = reported(&ctx.Response)
		draining := string(ctx.Response.Header.Peek(header.State)) == header.StateDraining
		s.targets.AnnounceTarget(slot.Target(), draining)
		ctx.Response.Header.Set(header.Outcome, header.OutcomeRun)
	}
	slot.Release(result)
}

func reported(resp *fasthttp.Response) int {
	n, err := strconv.Atoi(string(resp.Header.Peek(header.InFlight)))
	if err != nil {
		return routing.NoReport
	}
	return n
}

func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	fail(ctx, status, header.OutcomeNotRun, reason)
}

func fail(ctx *fasthttp.RequestCtx, status int, outcome, reason string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(header.Outcome, outcome)
	ctx.Response.Header.Set(header.Reason, reason)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(reason + "\n")
}
