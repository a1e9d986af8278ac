package queries

import (
	"context"
	"errors"
	"fmt"
	"io"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
)

// StatusReport is the state of all live instances.
type StatusReport struct {
	Members []admin.Member
	// Targets makes the text list every target of every instance. Otherwise it
	// lists only those that are not ready.
	Targets bool
}

// Status asks all live instances for their state. Instances that do not
// answer are reported, unless none answers.
func Status(ctx context.Context, g *admin.Group, targets bool) (*StatusReport, error) {
	members, err := g.Statuses(ctx)
	if err != nil {
		return nil, err
	}
	var failures []error
	for _, m := range members {
		if m.Err != nil {
			failures = append(failures, m.Err)
		}
	}
	if len(failures) == len(members) {
		return nil, errors.Join(failures...)
	}
	return &StatusReport{Members: members, Targets: targets}, nil
}

// WriteText writes a table of the instances, one of the services and one of
// the targets.
func (r *StatusReport) WriteText(w io.Writer) error {
	if err := r.writeInstances(w); err != nil {
		return err
	}
	if err := r.writeServices(w); err != nil {
		return err
	}
	return r.writeTargets(w)
}

func (r *StatusReport) writeInstances(w io.Writer) error {
	t := newTable(w, "INSTANCE", "ZONE", "STATE", "READY", "VERSION", "IN FLIGHT", "REASON")
	for _, m := range r.Members {
		s := m.Status
		if m.Err != nil {
			t.row(memberName(m), "-", dash(string(m.State)), "no", "-", "-", m.Err)
			continue
		}
		ready := "yes"
		if !s.Ready {
			ready = "no"
		}
		t.row(statusName(m), dash(s.Zone), dash(string(s.State)), ready, versionText(s.Version), s.InFlight, dash(s.Reason))
	}
	return t.flush()
}

func statusName(m admin.Member) string {
	if m.Status.ID != "" {
		return m.Status.ID
	}
	return memberName(m)
}

func (r *StatusReport) writeServices(w io.Writer) error {
	t := newTable(w, "SERVICE", "INSTANCE", "VERSION", "IN FLIGHT", "WAITING", "MAX QUEUE", "READY TARGETS")
	for _, m := range r.Members {
		for _, s := range m.Status.Services {
			ready := 0
			for _, target := range s.Targets {
				if target.State == admin.TargetReady || target.State == admin.TargetCold {
					ready++
				}
			}
			t.row(s.Name, statusName(m), versionText(s.Version), s.InFlight, s.Waiting, s.MaxQueue,
				fmt.Sprintf("%d/%d", ready, len(s.Targets)))
		}
	}
	return t.flushBelow(w)
}

func (r *StatusReport) writeTargets(w io.Writer) error {
	t := newTable(w, "TARGET", "INSTANCE", "ADDRESS", "ZONE", "STATE", "IN FLIGHT", "LIMIT", "SLOTS", "REASON")
	for _, m := range r.Members {
		for _, s := range m.Status.Services {
			for _, target := range s.Targets {
				if target.State == admin.TargetReady && !r.Targets {
					continue
				}
				t.row(s.Name+"/"+target.Name, statusName(m), dash(admin.FormatAddress(target.Address)), dash(target.Zone), target.State,
					target.InFlight, target.Limit, target.Slots, dash(target.Reason))
			}
		}
	}
	return t.flushBelow(w)
}

type statusMessage struct {
	Instances []instanceMessage `json:"instances"`
	Missing   []missingMessage  `json:"missing"`
}

type instanceMessage struct {
	ID               string           `json:"id"`
	Address          string           `json:"address"`
	Zone             string           `json:"zone"`
	State            string           `json:"state"`
	Incarnation      int64            `json:"incarnation"`
	Ready            bool             `json:"ready"`
	Reason           string           `json:"reason"`
	Version          int64            `json:"version"`
	Scopes           map[string]int64 `json:"scopes"`
	DrainedInstances []string         `json:"drained_instances"`
	InFlight         int              `json:"in_flight"`
	Services         []loadMessage    `json:"services"`
}

type loadMessage struct {
	Name     string          `json:"name"`
	Version  int64           `json:"version"`
	InFlight int             `json:"in_flight"`
	Waiting  int             `json:"waiting"`
	MaxQueue int             `json:"max_queue"`
	Targets  []targetMessage `json:"targets"`
}

// targetMessage is converted from admin.TargetMessage. Its own tags keep an
// empty reason in the output.
type targetMessage struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Slots    int    `json:"slots"`
}

// WriteJSON writes the state of all instances as one JSON object.
func (r *StatusReport) WriteJSON(w io.Writer) error {
	m := statusMessage{Instances: []instanceMessage{}}
	var missing []admin.Member
	for _, member := range r.Members {
		if member.Err != nil {
			missing = append(missing, member)
			continue
		}
		m.Instances = append(m.Instances, instanceOf(member))
	}
	m.Missing = missingMessages(missing)
	return writeJSON(w, m)
}

func instanceOf(member admin.Member) instanceMessage {
	s := member.Status
	m := instanceMessage{
		ID: statusName(member), Address: admin.FormatAddress(member.Address), Zone: s.Zone, State: string(s.State),
		Incarnation: s.Incarnation, Ready: s.Ready, Reason: s.Reason, Version: int64(s.Version), Scopes: scopesOf(s.Scopes),
		DrainedInstances: append([]string{}, s.DrainedInstances...), InFlight: s.InFlight, Services: []loadMessage{},
	}
	for _, service := range s.Services {
		load := loadMessage{
			Name: service.Name, Version: int64(service.Version), InFlight: service.InFlight, Waiting: service.Waiting,
			MaxQueue: service.MaxQueue, Targets: []targetMessage{},
		}
		for _, t := range service.Targets {
			load.Targets = append(load.Targets, targetMessage(admin.TargetToMessage(t)))
		}
		m.Services = append(m.Services, load)
	}
	return m
}

func scopesOf(scopes map[string]config.Version) map[string]int64 {
	all := map[string]int64{}
	for scope, version := range scopes {
		all[scope] = int64(version)
	}
	return all
}
