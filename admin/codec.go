package admin

import (
	"encoding/json"
	"time"

	"rhubarbrelay/timeline"
)

// Status describes the current state of an instance.
type Status struct {
	ID            string
	Zone          string
	Ready         bool
	ConfigVersion int64
	Targets       int
	// TargetAge is the time since the target state was last known to be complete,
	// or the maximum duration if it never was.
	TargetAge time.Duration
	// StoreFailing is set while the platform's store cannot be read.
	StoreFailing bool
	InProgress   int64
	Instances    []string // IDs of the ready instances
	// Evacuated holds since when each evacuated zone is evacuated, as far as known.
	Evacuated map[string]time.Time
	// Tenants are those of the configuration, by name.
	Tenants []TenantStatus
}

// TenantStatus describes the quota of a tenant and its requests at the instance. The share
// of the instance is in requests per second.
type TenantStatus struct {
	Name              string
	PerSecond, Burst  float64
	Share             float64
	Admitted, Refused uint64
}

type statusMessage struct {
	ID            string   `json:"id"`
	Zone          string   `json:"zone"`
	Ready         bool     `json:"ready"`
	ConfigVersion int64    `json:"config_version"`
	Targets       int      `json:"targets"`
	TargetAgeMS   int64    `json:"target_age_ms"`
	StoreFailing  bool     `json:"store_failing"`
	InProgress    int64    `json:"in_progress"`
	Instances     []string `json:"instances"`
	// EvacuatedSinceMS holds Unix times in milliseconds by zone.
	EvacuatedSinceMS map[string]int64 `json:"evacuated_since_ms,omitempty"`

	Tenants []tenantMessage `json:"tenants,omitempty"`
}

type tenantMessage struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	Share         float64 `json:"share"`
	Admitted      uint64  `json:"admitted"`
	Refused       uint64  `json:"refused"`
}

func newStatusMessage(s Status) statusMessage {
	evacuated := make(map[string]int64, len(s.Evacuated))
	for zone, since := range s.Evacuated {
		evacuated[zone] = since.UnixMilli()
	}
	message := statusMessage{
		EvacuatedSinceMS: evacuated,
		ID:               s.ID, Zone: s.Zone, Ready: s.Ready, ConfigVersion: s.ConfigVersion, Targets: s.Targets,
		TargetAgeMS: s.TargetAge.Milliseconds(), StoreFailing: s.StoreFailing, InProgress: s.InProgress, Instances: s.Instances,
	}
	for _, t := range s.Tenants {
		message.Tenants = append(message.Tenants, tenantMessage{t.Name, t.PerSecond, t.Burst, t.Share, t.Admitted, t.Refused})
	}
	return message
}

// DecodeStatus decodes the response body of StatusPath.
func DecodeStatus(body []byte) (Status, error) {
	var m statusMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return Status{}, err
	}
	evacuated := make(map[string]time.Time, len(m.EvacuatedSinceMS))
	for zone, since := range m.EvacuatedSinceMS {
		evacuated[zone] = time.UnixMilli(since)
	}
	status := Status{
		Evacuated: evacuated,
		ID:        m.ID, Zone: m.Zone, Ready: m.Ready, ConfigVersion: m.ConfigVersion, Targets: m.Targets,
		TargetAge: time.Duration(m.TargetAgeMS) * time.Millisecond, StoreFailing: m.StoreFailing,
		InProgress: m.InProgress, Instances: m.Instances,
	}
	for _, t := range m.Tenants {
		status.Tenants = append(status.Tenants, TenantStatus{t.Name, t.RatePerSecond, t.Burst, t.Share, t.Admitted, t.Refused})
	}
	return status, nil
}

type eventMessage struct {
	Time     uint64 `json:"time"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Service  string `json:"service,omitempty"`
	Target   string `json:"target,omitempty"`
	Request  string `json:"request,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Version  int64  `json:"version,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

func newEventMessages(events []timeline.Event) []eventMessage {
	messages := make([]eventMessage, 0, len(events))
	for _, e := range events {
		messages = append(messages, eventMessage{
			Time: uint64(e.Time), Instance: e.Instance, Kind: string(e.Kind), Service: e.Service, Target: e.Target,
			Request: e.Request, Peer: e.Peer, Version: e.Version, Detail: e.Detail,
		})
	}
	return messages
}

// DecodeEvents decodes the response body of TimelinePath.
func DecodeEvents(body []byte) ([]timeline.Event, error) {
	var messages []eventMessage
	if err := json.Unmarshal(body, &messages); err != nil {
		return nil, err
	}
	events := make([]timeline.Event, 0, len(messages))
	for _, m := range messages {
		events = append(events, timeline.Event{
			Time: timeline.Timestamp(m.Time), Instance: m.Instance, Kind: timeline.Kind(m.Kind), Service: m.Service,
			Target: m.Target, Request: m.Request, Peer: m.Peer, Version: m.Version, Detail: m.Detail,
		})
	}
	return events, nil
}
