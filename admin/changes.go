package admin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

// The longest id and author of a change, in bytes. Both are kept per scope by
// every instance.
const (
	maxIDLength     = 128
	maxAuthorLength = 128
)

// errChange reports a change that cannot be published.
var errChange = errors.New("invalid change")

func (s *Server) handleChange(ctx *fasthttp.RequestCtx) {
	change, err := decodeChange(ctx.PostBody())
	if err == nil {
		err = checkChange(change, s.fleet.Fleet())
	}
	if err != nil {
		writeError(ctx, kindInvalid, err.Error())
		return
	}
	// The body belongs to the request, but the change may outlive it.
	change.Body = slices.Clone(change.Body)
	publishing, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	result, err := s.publisher.Publish(publishing, change)
	s.noteChange(change, result, err)
	switch {
	case err == nil:
		writeJSON(ctx, resultMessage{Version: int64(result.Version)})
	case errors.Is(err, configlog.ErrConflict):
		s.writeConflict(ctx, change, err)
	case errors.Is(err, platform.ErrUnavailable):
		writeError(ctx, kindUnavailable, err.Error())
	default:
		writeError(ctx, kindUncertain, err.Error())
	}
}

// noteChange logs the outcome of a change and records it in the timeline. A
// change that the platform refused left no trace and is only logged.
func (s *Server) noteChange(c configlog.Change, result configlog.Result, err error) {
	logger := s.logger.WithField("scope", c.Scope).WithField("author", c.Author).WithField("id", c.ID)
	e := timeline.Event{Version: int64(result.Version), Detail: fmt.Sprintf("%s of %s by %s", changeName(c.Kind), c.Scope, c.Author)}
	if service, ok := strings.CutPrefix(c.Scope, config.ServiceScope("")); ok {
		e.Service = service
	}
	switch {
	case err == nil:
		logger.WithField("version", int64(result.Version)).Info("change published")
		e.Kind = timeline.ConfigPublished
	case errors.Is(err, configlog.ErrConflict):
		logger.Info("change conflicts")
		e.Kind, e.Version = timeline.ConfigConflict, int64(c.Base)
	case errors.Is(err, platform.ErrUnavailable):
		logger.WithError(err).Warn("change not published")
		return
	default:
		logger.WithError(err).Warn("change uncertain")
		e.Kind, e.Version = timeline.ConfigUncertain, int64(c.Base)
	}
	if s.events != nil {
		s.events.Record(e)
	}
}

// checkChange refuses changes that the log would accept although no instance
// can put them into force: acceptance looks only at the envelope.
func checkChange(c configlog.Change, fleet *config.Fleet) error {
	if c.ID == "" || len(c.ID) > maxIDLength || strings.ContainsFunc(c.ID, unicode.IsControl) {
		return fmt.Errorf("%w: id %q is not 1 to %d bytes without control characters", errChange, c.ID, maxIDLength)
	}
	if len(c.Author) > maxAuthorLength || strings.ContainsFunc(c.Author, unicode.IsControl) {
		return fmt.Errorf("%w: author %q is not at most %d bytes without control characters", errChange, c.Author, maxAuthorLength)
	}
	if c.Base < config.NoVersion {
		return fmt.Errorf("%w: base %d is lower than %d", errChange, c.Base, config.NoVersion)
	}
	prefix := config.ServiceScope("")
	if c.Kind == configlog.DrainInstance || c.Kind == configlog.UndrainInstance {
		prefix = config.InstanceScope("")
	}
	name, ok := strings.CutPrefix(c.Scope, prefix)
	if !ok || name == "" {
		return fmt.Errorf("%w: scope %q does not have the form %sNAME", errChange, c.Scope, prefix)
	}
	switch c.Kind {
	case configlog.PutService:
		return checkDocument(name, c.Body)
	case configlog.DrainTarget, configlog.UndrainTarget:
		return checkTarget(c, name, fleet)
	default:
		return nil
	}
}

func checkDocument(name string, body []byte) error {
	services, err := config.ParseDocument(body)
	if err != nil {
		return err
	}
	if len(services) != 1 || services[0].Name != name {
		return fmt.Errorf("%w: body does not define exactly the service %q", errChange, name)
	}
	return nil
}

// checkTarget refuses the drain of an unknown target. It decides only when the
// configuration in force is the one that the author saw.
func checkTarget(c configlog.Change, service string, fleet *config.Fleet) error {
	target := string(c.Body)
	if target == "" {
		return fmt.Errorf("%w: body does not name a target", errChange)
	}
	if versionOf(fleet, c.Scope) != c.Base {
		return nil
	}
	known := fleet.Services[service]
	if known == nil || !slices.ContainsFunc(known.Targets, func(t config.Target) bool { return t.Name == target }) {
		return fmt.Errorf("%w: service %q has no target %q", errChange, service, target)
	}
	return nil
}

// writeConflict answers with the state of the scope that won.
func (s *Server) writeConflict(ctx *fasthttp.RequestCtx, change configlog.Change, err error) {
	deadline := time.Now().Add(conflictWait)
	for versionOf(s.fleet.Fleet(), change.Scope) <= change.Base && time.Now().Before(deadline) {
		time.Sleep(conflictPoll)
	}
	fleet := s.fleet.Fleet()
	m := errorMessage{Error: err.Error(), Kind: kindConflict.name}
	current := Document{Version: versionOf(fleet, change.Scope)}
	if name, ok := strings.CutPrefix(change.Scope, config.ServiceScope("")); ok {
		current.Service = name
		if d, ok := s.document(name); ok {
			current = d
		}
	}
	message := documentToMessage(current)
	m.Current = &message
	id, _ := strings.CutPrefix(change.Scope, config.InstanceScope(""))
	m.Drained = fleet.DrainedInstances[id]
	writeStatus(ctx, kindConflict.status, m)
}
