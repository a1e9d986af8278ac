package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"

	"google.golang.org/protobuf/proto"

	pb "rhubarbrelay/configlog/configlogpb"
)

// The errors of a publication. After ErrUncertain the record may be in the log.
var (
	ErrConflict  = errors.New("the scope changed since the base version")
	ErrUncertain = errors.New("cannot tell whether the change was published")
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

// Result is the outcome of a publication.
type Result struct {
	// Version is the offset at which the change was accepted.
	Version config.Version
}

// Publisher appends changes to the configuration stream.
type Publisher struct {
	log Log
}

// NewPublisher returns a publisher that appends to the log.
func NewPublisher(l Log) *Publisher { return &Publisher{log: l} }

// Publish appends the change and reports whether the fold accepts it. The
// error wraps ErrConflict, ErrUncertain or platform.ErrUnavailable.
func (p *Publisher) Publish(ctx context.Context, c Change) (Result, error) {
	data, err := proto.Marshal(recordOf(c))
	if err != nil {
		return Result{}, err
	}
	offset, err := p.log.Append(ctx, Stream, data)
	if errors.Is(err, platform.ErrUncertain) {
		return Result{}, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	if err != nil {
		return Result{}, err
	}
	return Result{Version: config.Version(offset)}, nil
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
