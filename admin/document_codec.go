package admin

import (
	"fmt"
	"slices"
	"time"

	"rhubarbrelay/config"
)

// documentMessage is a published service on the wire.
type documentMessage struct {
	Name           string   `json:"name"`
	Version        int64    `json:"version"`
	Author         string   `json:"author"`
	Changed        string   `json:"changed,omitempty"`
	ChangeID       string   `json:"change_id,omitempty"`
	DrainedTargets []string `json:"drained_targets"`
	Text           string   `json:"text"`
}

// servicesMessage lists the services on the wire.
type servicesMessage struct {
	Version  int64                   `json:"version"`
	Services []serviceSummaryMessage `json:"services"`
}

type serviceSummaryMessage struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Targets int    `json:"targets"`
	Routes  int    `json:"routes"`
}

func documentToMessage(d Document) documentMessage {
	m := documentMessage{
		Name: d.Service, Version: int64(d.Version), Author: d.Author, ChangeID: d.ChangeID, Text: d.Text,
		DrainedTargets: append([]string{}, d.DrainedTargets...),
	}
	slices.Sort(m.DrainedTargets)
	if !d.Changed.IsZero() {
		m.Changed = d.Changed.UTC().Format(time.RFC3339Nano)
	}
	return m
}

func documentFromMessage(m documentMessage) (Document, error) {
	d := Document{
		Service: m.Name, Text: m.Text, Version: config.Version(m.Version), Author: m.Author, ChangeID: m.ChangeID,
		DrainedTargets: m.DrainedTargets,
	}
	if m.Changed == "" {
		return d, nil
	}
	changed, err := time.Parse(time.RFC3339Nano, m.Changed)
	if err != nil {
		return Document{}, fmt.Errorf("time of change: %w", err)
	}
	d.Changed = changed
	return d, nil
}
