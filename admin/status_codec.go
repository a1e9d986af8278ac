package admin

import (
	"errors"
	"fmt"
	"net/netip"

	"rhubarbrelay/config"
)

// instancesMessage lists the known instances on the wire.
type instancesMessage struct {
	Instances []instanceMessage `json:"instances"`
}

type instanceMessage struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	Incarnation   int64  `json:"incarnation"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
}

// statusMessage is the state of an instance on the wire.
type statusMessage struct {
	ID               string                 `json:"id"`
	Zone             string                 `json:"zone"`
	State            string                 `json:"state"`
	Incarnation      int64                  `json:"incarnation"`
	Version          int64                  `json:"version"`
	Scopes           map[string]int64       `json:"scopes"`
	DrainedInstances []string               `json:"drained_instances"`
	Ready            bool                   `json:"ready"`
	Reason           string                 `json:"reason,omitempty"`
	InFlight         int                    `json:"in_flight"`
	Instances        []instanceMessage      `json:"instances"`
	Services         []serviceStatusMessage `json:"services"`
}

type serviceStatusMessage struct {
	Name     string          `json:"name"`
	Version  int64           `json:"version"`
	InFlight int             `json:"in_flight"`
	Waiting  int             `json:"waiting"`
	MaxQueue int             `json:"max_queue"`
	Targets  []TargetMessage `json:"targets"`
}

// TargetMessage is the state of a target in JSON.
type TargetMessage struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Slots    int    `json:"slots"`
}

func statusToMessage(s Status) statusMessage {
	m := statusMessage{
		ID: s.ID, Zone: s.Zone, State: string(s.State), Incarnation: s.Incarnation, Version: int64(s.Version),
		Scopes: map[string]int64{}, DrainedInstances: append([]string{}, s.DrainedInstances...),
		Ready: s.Ready, Reason: s.Reason, InFlight: s.InFlight,
		Instances: []instanceMessage{}, Services: []serviceStatusMessage{},
	}
	for scope, version := range s.Scopes {
		m.Scopes[scope] = int64(version)
	}
	for _, i := range s.Instances {
		m.Instances = append(m.Instances, instanceToMessage(i))
	}
	for _, service := range s.Services {
		m.Services = append(m.Services, serviceToMessage(service))
	}
	return m
}

func statusFromMessage(m statusMessage) (Status, error) {
	s := Status{
		ID: m.ID, Zone: m.Zone, State: InstanceState(m.State), Incarnation: m.Incarnation,
		Version: config.Version(m.Version), Scopes: map[string]config.Version{}, DrainedInstances: m.DrainedInstances,
		Ready: m.Ready, Reason: m.Reason, InFlight: m.InFlight,
	}
	for scope, version := range m.Scopes {
		s.Scopes[scope] = config.Version(version)
	}
	for _, im := range m.Instances {
		i, err := instanceFromMessage(im)
		if err != nil {
			return Status{}, fmt.Errorf("instance %s: %w", im.ID, err)
		}
		s.Instances = append(s.Instances, i)
	}
	for _, sm := range m.Services {
		service, err := serviceFromMessage(sm)
		if err != nil {
			return Status{}, fmt.Errorf("service %s: %w", sm.Name, err)
		}
		s.Services = append(s.Services, service)
	}
	return s, nil
}

func serviceToMessage(s ServiceStatus) serviceStatusMessage {
	m := serviceStatusMessage{
		Name: s.Name, Version: int64(s.Version), InFlight: s.InFlight, Waiting: s.Waiting, MaxQueue: s.MaxQueue,
		Targets: []TargetMessage{},
	}
	for _, t := range s.Targets {
		m.Targets = append(m.Targets, TargetToMessage(t))
	}
	return m
}

// TargetToMessage returns the state of a target in its JSON form.
func TargetToMessage(t TargetStatus) TargetMessage {
	return TargetMessage{
		Name: t.Name, Address: FormatAddress(t.Address), Zone: t.Zone, State: string(t.State), Reason: t.Reason,
		InFlight: t.InFlight, Limit: t.Limit, Slots: t.Slots,
	}
}

func serviceFromMessage(m serviceStatusMessage) (ServiceStatus, error) {
	s := ServiceStatus{
		Name: m.Name, Version: config.Version(m.Version), InFlight: m.InFlight, Waiting: m.Waiting, MaxQueue: m.MaxQueue,
	}
	for _, tm := range m.Targets {
		address, err := parseAddress(tm.Address)
		if err != nil {
			return ServiceStatus{}, fmt.Errorf("target %s: %w", tm.Name, err)
		}
		s.Targets = append(s.Targets, TargetStatus{
			Name: tm.Name, Address: address, Zone: tm.Zone, State: TargetState(tm.State), Reason: tm.Reason,
			InFlight: tm.InFlight, Limit: tm.Limit, Slots: tm.Slots,
		})
	}
	return s, nil
}

func instanceToMessage(i InstanceStatus) instanceMessage {
	return instanceMessage{
		ID: i.ID, Zone: i.Zone, State: string(i.State), Incarnation: i.Incarnation,
		CallerAddress: FormatAddress(i.CallerAddress), PeerAddress: FormatAddress(i.PeerAddress),
		AdminAddress: FormatAddress(i.AdminAddress),
	}
}

func instanceFromMessage(m instanceMessage) (InstanceStatus, error) {
	i := InstanceStatus{ID: m.ID, Zone: m.Zone, State: InstanceState(m.State), Incarnation: m.Incarnation}
	var errs [3]error
	i.CallerAddress, errs[0] = parseAddress(m.CallerAddress)
	i.PeerAddress, errs[1] = parseAddress(m.PeerAddress)
	i.AdminAddress, errs[2] = parseAddress(m.AdminAddress)
	return i, errors.Join(errs[:]...)
}

// FormatAddress writes an unknown address as an empty string.
func FormatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func parseAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(text)
}
