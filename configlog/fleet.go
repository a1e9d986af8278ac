package configlog

import (
	"fmt"
	"slices"
	"strings"

	"rhubarbrelay/config"

	pb "rhubarbrelay/configlog/configlogpb"
)

const (
	serviceScopePrefix  = "service/"
	instanceScopePrefix = "instance/"
)

// Fleet returns the configuration that the state puts into force. A scope
// whose body cannot be parsed keeps what it had in the previous fleet; the
// errors name these scopes.
func (s *State) Fleet(previous *config.Fleet) (*config.Fleet, []error) {
	fleet := config.NewFleet()
	fleet.Version = config.Version(s.version)
	var problems []error
	for name, scope := range s.scopes {
		fleet.ScopeVersions[name] = config.Version(scope.GetVersion())
		if id, ok := strings.CutPrefix(name, instanceScopePrefix); ok && scope.GetDrained() {
			fleet.DrainedInstances[id] = true
		}
		service, ok := strings.CutPrefix(name, serviceScopePrefix)
		if !ok || scope.GetDeleted() || scope.GetBody() == nil {
			continue
		}
		parsed, err := parseScope(service, scope, previous)
		if err != nil {
			problems = append(problems, fmt.Errorf("scope %s at version %d: %w", name, scope.GetVersion(), err))
		}
		if parsed != nil {
			fleet.Services[service] = parsed
		}
	}
	return fleet, problems
}

// parseScope returns the service of a scope, or the previous one with the
// error when the body cannot be parsed. A scope that did not change since the
// previous fleet is not parsed again.
func parseScope(name string, scope *pb.ScopeState, previous *config.Fleet) (*config.Service, error) {
	old := previous.Services[name]
	if old != nil && previous.ScopeVersions[config.ServiceScope(name)] == config.Version(scope.GetVersion()) {
		return old, nil
	}
	if scope.GetFormat() != Format {
		return old, fmt.Errorf("%w: format %d, this version reads %d", config.ErrInvalid, scope.GetFormat(), Format)
	}
	services, err := config.ParseDocument(scope.GetBody())
	if err != nil {
		return old, err
	}
	if len(services) != 1 || services[0].Name != name {
		return old, fmt.Errorf("%w: body does not define exactly the service %q", config.ErrInvalid, name)
	}
	service := services[0]
	for i := range service.Targets {
		service.Targets[i].Drained = slices.Contains(scope.GetDrainedTargets(), service.Targets[i].Name)
	}
	return service, nil
}
