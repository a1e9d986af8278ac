package configlog

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"rhubarbrelay/config"
	pb "rhubarbrelay/configlog/configlogpb"
)

const (
	serviceScopePrefix  = "service/"
	instanceScopePrefix = "instance/"
)

// fleetBuilder makes fleets from states. It parses a body once and keeps the
// last body of each service that could be parsed.
type fleetBuilder struct {
	services map[string]parsedService
}

// parsedService is what the builder knows about one service.
type parsedService struct {
	format  uint32
	body    []byte
	problem error
	// document is the last body that could be parsed, nil when there was none.
	document *config.Service
	drained  []string
	// inForce is the document with its drained targets.
	inForce *config.Service
}

func newFleetBuilder() *fleetBuilder {
	return &fleetBuilder{services: map[string]parsedService{}}
}

// Fleet returns the configuration that the state puts into force, without the
// services whose body cannot be parsed.
func (s *State) Fleet() *config.Fleet { return newFleetBuilder().build(s) }

// build returns the configuration that the state puts into force. A service
// whose body cannot be parsed keeps its previous body.
func (b *fleetBuilder) build(s *State) *config.Fleet {
	fleet := config.NewFleet()
	fleet.Version = config.Version(s.version)
	for name, scope := range s.scopes {
		if scope.GetVersion() < 0 {
			continue // only rejected records so far
		}
		fleet.ScopeVersions[name] = config.Version(scope.GetVersion())
		if id, ok := strings.CutPrefix(name, instanceScopePrefix); ok && scope.GetDrained() {
			fleet.DrainedInstances[id] = true
		}
		service, ok := strings.CutPrefix(name, serviceScopePrefix)
		if !ok || scope.GetDeleted() || scope.GetBody() == nil {
			continue
		}
		if parsed := b.service(service, scope); parsed != nil {
			fleet.Services[service] = parsed
		}
	}
	maps.DeleteFunc(b.services, func(name string, _ parsedService) bool {
		scope := s.scopes[config.ServiceScope(name)]
		return scope == nil || scope.GetDeleted() || scope.GetBody() == nil
	})
	return fleet
}

// service returns the service of a scope, nil when no body of it could be
// parsed yet.
func (b *fleetBuilder) service(name string, scope *pb.ScopeState) *config.Service {
	p := b.services[name]
	sameBody := p.body != nil && p.format == scope.GetFormat() && bytes.Equal(p.body, scope.GetBody())
	if sameBody && slices.Equal(p.drained, scope.GetDrainedTargets()) {
		return p.inForce
	}
	if !sameBody {
		p.format, p.body = scope.GetFormat(), scope.GetBody()
		var parsed *config.Service
		parsed, p.problem = parseBody(name, scope)
		if p.problem == nil {
			p.document = parsed
		}
	}
	p.drained = scope.GetDrainedTargets()
	p.inForce = withDrains(p.document, p.drained)
	b.services[name] = p
	return p.inForce
}

// problems returns the reasons why accepted bodies are not in force.
func (b *fleetBuilder) problems() []error {
	var problems []error
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		if err := b.services[name].problem; err != nil {
			problems = append(problems, err)
		}
	}
	return problems
}

func parseBody(name string, scope *pb.ScopeState) (*config.Service, error) {
	if scope.GetFormat() != Format {
		return nil, fmt.Errorf("scope %s at version %d: %w: format %d, this version reads %d",
			scope.GetScope(), scope.GetVersion(), config.ErrInvalid, scope.GetFormat(), Format)
	}
	service, err := parseService(name, scope.GetBody())
	if err != nil {
		return nil, fmt.Errorf("scope %s at version %d: %w", scope.GetScope(), scope.GetVersion(), err)
	}
	return service, nil
}

// parseService reads a body that must define exactly the named service.
func parseService(name string, body []byte) (*config.Service, error) {
	services, err := config.ParseDocument(body)
	if err != nil {
		return nil, err
	}
	if len(services) != 1 || services[0].Name != name {
		return nil, fmt.Errorf("%w: body does not define exactly the service %q", config.ErrInvalid, name)
	}
	return services[0], nil
}

// withDrains returns the service with its drained targets marked.
func withDrains(document *config.Service, drained []string) *config.Service {
	if document == nil || len(drained) == 0 {
		return document
	}
	s := *document
	s.Targets = slices.Clone(document.Targets)
	for i := range s.Targets {
		s.Targets[i].Drained = slices.Contains(drained, s.Targets[i].Name)
	}
	return &s
}
