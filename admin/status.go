package admin

import (
	"net/netip"
	"slices"
	"time"

	"rhubarbrelay/config"
	"rhubarbrelay/timeline"
)

// Status is the state of an instance.
type Status struct {
	ID          string
	Zone        string
	State       InstanceState
	Incarnation int64
	// Version is the configuration version in force.
	Version config.Version
	// Scopes holds the version of the last accepted record per scope.
	Scopes map[string]config.Version
	// DrainedInstances holds the ids of the instances that operators drain.
	DrainedInstances []string
	// Ready says whether the instance serves callers. Reason says why not.
	Ready  bool
	Reason string
	// InFlight is the number of requests in progress.
	InFlight  int
	Instances []InstanceStatus
	Services  []ServiceStatus
}

// InstanceState is the state of an instance in answers.
type InstanceState string

// The states of an instance.
const (
	InstanceStarting InstanceState = "starting"
	InstanceLive     InstanceState = "live"
	InstanceLeaving  InstanceState = "leaving"
	InstanceSuspect  InstanceState = "suspect"
	InstanceDead     InstanceState = "dead"
)

// InstanceStatus is what an instance knows of an instance, itself included.
type InstanceStatus struct {
	ID            string
	Zone          string
	State         InstanceState
	Incarnation   int64
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
}

// ServiceStatus is the state of a service on one instance.
type ServiceStatus struct {
	Name    string
	Version config.Version
	// InFlight and Waiting count the service's requests on this instance.
	InFlight int
	Waiting  int
	MaxQueue int
	Targets  []TargetStatus
}

// TargetState is the state of a target in answers.
type TargetState string

// The states of a target.
const (
	TargetReady   TargetState = "ready"
	TargetDrained TargetState = "drained"
	TargetLeaving TargetState = "leaving"
	TargetEjected TargetState = "ejected"
	TargetCold    TargetState = "cold"
	TargetUnknown TargetState = "unknown"
)

// TargetStatus is the state of a target as one instance sees it.
type TargetStatus struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	State   TargetState
	// Reason says why the target is not ready.
	Reason string
	// InFlight is the number of requests that this instance has in progress.
	InFlight int
	// Limit is the adaptive limit of this instance, Slots that of the document.
	Limit int
	Slots int
}

// Document is the published text of a service.
type Document struct {
	Service string
	Text    string
	Version config.Version
	// Author and Changed are empty when the instance does not know them.
	Author  string
	Changed time.Time
	// ChangeID is the id of the last accepted change of the service's scope.
	ChangeID       string
	DrainedTargets []string
}

// Drained returns whether an operator drains the target.
func (d Document) Drained(target string) bool {
	return slices.Contains(d.DrainedTargets, target)
}

// Normalized returns the text in the form in which the CLI publishes it, or the
// text itself when it cannot be read. Texts that mean the same are equal then.
func (d Document) Normalized() string {
	services, err := config.ParseDocument([]byte(d.Text))
	if err != nil || len(services) != 1 {
		return d.Text
	}
	return string(config.FormatService(services[0]))
}

// Timeline is the timeline of one process.
type Timeline struct {
	Events []timeline.Event
	// CompleteSince is the latest stamp of an event that was dropped.
	CompleteSince timeline.Stamp
}

// statusOfFleet returns what the configuration alone says of an instance.
func statusOfFleet(fleet *config.Fleet) Status {
	s := Status{Ready: true}
	for _, service := range SortedServices(fleet) {
		s.Services = append(s.Services, ServiceStatusOf(fleet, service))
	}
	return s
}

// ServiceStatusOf returns what the configuration alone says of a service.
func ServiceStatusOf(fleet *config.Fleet, service *config.Service) ServiceStatus {
	s := ServiceStatus{
		Name:     service.Name,
		Version:  versionOf(fleet, config.ServiceScope(service.Name)),
		MaxQueue: service.MaxQueue,
	}
	for _, t := range service.Targets {
		target := TargetStatus{Name: t.Name, Address: t.Address, Zone: t.Zone, Slots: t.Slots, State: TargetUnknown}
		if t.Drained {
			target.State, target.Reason = TargetDrained, "drained by an operator"
		}
		s.Targets = append(s.Targets, target)
	}
	return s
}

// documentOfFleet returns the document that the configuration in force holds.
func documentOfFleet(fleet *config.Fleet, name string) (Document, bool) {
	service, ok := fleet.Services[name]
	if !ok {
		return Document{}, false
	}
	d := Document{
		Service: name,
		Text:    string(config.FormatService(service)),
		Version: versionOf(fleet, config.ServiceScope(name)),
	}
	for _, t := range service.Targets {
		if t.Drained {
			d.DrainedTargets = append(d.DrainedTargets, t.Name)
		}
	}
	return d, true
}
