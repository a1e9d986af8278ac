package daemon

import (
	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/membership"
	"rhubarbrelay/routing"
)

// Status returns the state of the instance for operators.
func (d *Daemon) Status() admin.Status {
	self := d.directory.Self()
	s := admin.Status{
		ID: self.ID, Zone: self.Zone, State: instanceState(self.State), Incarnation: self.Incarnation,
		Ready: d.follower.Ready(),
	}
	if err := d.follower.NotReadyReason(); err != nil {
		s.Reason = err.Error()
	}
	for _, in := range d.directory.Known() {
		s.Instances = append(s.Instances, admin.InstanceStatus{
			ID: in.ID, Zone: in.Zone, State: instanceState(in.State), Incarnation: in.Incarnation,
			CallerAddress: in.CallerAddress, PeerAddress: in.PeerAddress, AdminAddress: in.AdminAddress,
		})
	}
	fleet := d.follower.Fleet()
	for name, service := range fleet.Services {
		status := d.serviceStatus(service, fleet.ScopeVersions[config.ServiceScope(name)])
		s.InFlight += status.InFlight
		s.Services = append(s.Services, status)
	}
	return s
}

func (d *Daemon) serviceStatus(service *config.Service, version config.Version) admin.ServiceStatus {
	status := admin.ServiceStatus{Name: service.Name, Version: version, MaxQueue: service.MaxQueue}
	dispatcher := d.table.Dispatcher(service.Name)
	if dispatcher == nil {
		return status
	}
	stats := dispatcher.Stats()
	status.InFlight, status.Waiting = stats.InFlight, stats.Waiting
	for _, v := range dispatcher.Views() {
		status.Targets = append(status.Targets, admin.TargetStatus{
			Name: v.Target.Name, Address: v.Target.Address, Zone: v.Target.Zone,
			State: targetState(v), Reason: v.Reason.String(),
			InFlight: v.InFlight, Limit: v.Limit, Slots: v.Target.Slots,
		})
	}
	return status
}

func targetState(v routing.TargetView) admin.TargetState {
	switch v.Reason {
	case routing.ReasonDrained:
		return admin.TargetDrained
	case routing.ReasonLeaving:
		return admin.TargetLeaving
	case routing.ReasonEjected, routing.ReasonTrial:
		return admin.TargetEjected
	case routing.ReasonSlowStart:
		return admin.TargetCold
	default:
		return admin.TargetReady
	}
}

func instanceState(s membership.State) admin.InstanceState {
	switch s {
	case membership.Live:
		return admin.InstanceLive
	case membership.Leaving:
		return admin.InstanceLeaving
	case membership.Suspect:
		return admin.InstanceSuspect
	case membership.Dead:
		return admin.InstanceDead
	default:
		return admin.InstanceStarting
	}
}

// Document returns the published text of a service.
func (d *Daemon) Document(service string) (admin.Document, bool) {
	scope, ok := d.follower.Scope(config.ServiceScope(service))
	if !ok || scope.Deleted {
		return admin.Document{}, false
	}
	return admin.Document{
		Service: service, Text: scope.Body, Version: scope.Version, Author: scope.Author,
		Changed: scope.Time, ChangeID: scope.RecordID, DrainedTargets: scope.DrainedTargets,
	}, true
}
