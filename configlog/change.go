package configlog

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"rhubarbrelay/config"
	pb "rhubarbrelay/configlog/configlogpb"
)

// Kind says what a change does to its scope.
type Kind int

// The kinds of change.
const (
	PutService Kind = iota
	DeleteService
	DrainTarget
	UndrainTarget
	DrainInstance
	UndrainInstance
)

// Change is one change of one scope.
type Change struct {
	// ID identifies the change over all repeats of its publication.
	ID    string
	Scope string
	// Base is the version of the scope that the author saw.
	Base   config.Version
	Kind   Kind
	Author string
	// Body is the service's document, or the name of the drained target.
	Body []byte
}

// validate reports content that must not enter the log, where acceptance no
// longer looks at it. The error wraps config.ErrInvalid.
func (c Change) validate() error {
	for _, text := range []struct{ name, value string }{{"id", c.ID}, {"scope", c.Scope}, {"author", c.Author}} {
		if len(text.value) > maxNameBytes || !utf8.ValidString(text.value) {
			return c.invalid("%s %.160q is longer than %d bytes or not UTF-8", text.name, text.value, maxNameBytes)
		}
	}
	if c.ID == "" {
		return c.invalid("no id")
	}
	if c.Base < config.NoVersion {
		return c.invalid("base %d", c.Base)
	}
	switch c.Kind {
	case PutService, DeleteService, DrainTarget, UndrainTarget:
		return c.validateService()
	case DrainInstance, UndrainInstance:
		return c.validateInstance()
	default:
		return c.invalid("unknown kind %d", c.Kind)
	}
}

func (c Change) validateService() error {
	name, ok := strings.CutPrefix(c.Scope, serviceScopePrefix)
	if !ok || !config.ValidName(name) {
		return c.invalid("not the scope of a service")
	}
	switch c.Kind {
	case PutService:
		if _, err := parseService(name, c.Body); err != nil {
			return fmt.Errorf("change of scope %q: %w", c.Scope, err)
		}
	case DeleteService:
		if len(c.Body) > 0 || c.Base == config.NoVersion {
			return c.invalid("a deletion has no body and the base of an existing service")
		}
	default:
		if !config.ValidName(string(c.Body)) {
			return c.invalid("%.160q is not the name of a target", c.Body)
		}
	}
	return nil
}

func (c Change) validateInstance() error {
	id, ok := strings.CutPrefix(c.Scope, instanceScopePrefix)
	if !ok || id == "" || len(c.Body) > 0 {
		return c.invalid("not the scope of an instance, or a body")
	}
	return nil
}

// validateTarget reports the drain of a target that the service does not have.
func (c Change) validateTarget(fleet *config.Fleet) error {
	if c.Kind != DrainTarget {
		return nil
	}
	service := fleet.Services[strings.TrimPrefix(c.Scope, serviceScopePrefix)]
	if service == nil {
		return c.invalid("the service does not exist")
	}
	for _, t := range service.Targets {
		if t.Name == string(c.Body) {
			return nil
		}
	}
	return c.invalid("the service has no target %q", c.Body)
}

func (c Change) invalid(format string, args ...any) error {
	return fmt.Errorf("%w: change of scope %q: %s", config.ErrInvalid, c.Scope, fmt.Sprintf(format, args...))
}

func recordOf(c Change) *pb.ConfigRecord {
	return &pb.ConfigRecord{
		Magic: magic, Id: c.ID, Scope: c.Scope, Base: int64(c.Base), Format: Format,
		Kind: kindOf(c.Kind), Author: c.Author, CreatedMs: time.Now().UnixMilli(), Body: c.Body,
	}
}

func kindOf(k Kind) pb.Kind {
	switch k {
	case PutService:
		return pb.Kind_KIND_SERVICE_PUT
	case DeleteService:
		return pb.Kind_KIND_SERVICE_DELETE
	case DrainTarget:
		return pb.Kind_KIND_TARGET_DRAIN
	case UndrainTarget:
		return pb.Kind_KIND_TARGET_UNDRAIN
	case DrainInstance:
		return pb.Kind_KIND_INSTANCE_DRAIN
	case UndrainInstance:
		return pb.Kind_KIND_INSTANCE_UNDRAIN
	default:
		return pb.Kind_KIND_UNSPECIFIED
	}
}
