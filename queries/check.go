package queries

import (
	"fmt"
	"io"

	"rhubarbrelay/config"
)

// CheckReport lists the services of a valid document.
type CheckReport struct {
	Services []*config.Service
}

// Check reads a document and reports every error in it.
func Check(document []byte) (*CheckReport, error) {
	services, err := parse(document)
	if err != nil {
		return nil, err
	}
	return &CheckReport{Services: services}, nil
}

// parse reads a document with at least one service. An empty file is most
// likely the wrong one.
func parse(document []byte) ([]*config.Service, error) {
	services, err := config.ParseDocument(document)
	if err == nil && len(services) == 0 {
		err = fmt.Errorf("%w: the document defines no service", config.ErrInvalid)
	}
	return services, err
}

// WriteText writes a table of the services.
func (r *CheckReport) WriteText(w io.Writer) error {
	t := newTable(w, "SERVICE", "TARGETS", "ROUTES", "DEADLINE")
	for _, s := range r.Services {
		t.row(s.Name, len(s.Targets), len(s.Routes), s.Deadline)
	}
	return t.flush()
}

type checkMessage struct {
	Services []checkedServiceMessage `json:"services"`
}

type checkedServiceMessage struct {
	Name       string `json:"name"`
	Targets    int    `json:"targets"`
	Routes     int    `json:"routes"`
	DeadlineMs int64  `json:"deadline_ms"`
}

// WriteJSON writes the services as one JSON object.
func (r *CheckReport) WriteJSON(w io.Writer) error {
	m := checkMessage{Services: []checkedServiceMessage{}}
	for _, s := range r.Services {
		m.Services = append(m.Services, checkedServiceMessage{
			Name: s.Name, Targets: len(s.Targets), Routes: len(s.Routes), DeadlineMs: s.Deadline.Milliseconds(),
		})
	}
	return writeJSON(w, m)
}
