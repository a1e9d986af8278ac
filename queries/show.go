package queries

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"rhubarbrelay/admin"
)

// ServicesReport lists the published services.
type ServicesReport struct {
	Services []admin.ServiceSummary
}

// ShowServices returns the published services.
func ShowServices(ctx context.Context, g *admin.Group) (*ServicesReport, error) {
	services, err := g.Services(ctx)
	if err != nil {
		return nil, err
	}
	return &ServicesReport{Services: services}, nil
}

// WriteText writes a table of the services.
func (r *ServicesReport) WriteText(w io.Writer) error {
	t := newTable(w, "SERVICE", "VERSION", "TARGETS", "ROUTES")
	for _, s := range r.Services {
		t.row(s.Name, versionText(s.Version), s.Targets, s.Routes)
	}
	return t.flush()
}

type servicesMessage struct {
	Services []serviceMessage `json:"services"`
}

type serviceMessage struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Targets int    `json:"targets"`
	Routes  int    `json:"routes"`
}

// WriteJSON writes the services as one JSON object.
func (r *ServicesReport) WriteJSON(w io.Writer) error {
	m := servicesMessage{Services: []serviceMessage{}}
	for _, s := range r.Services {
		m.Services = append(m.Services, serviceMessage{Name: s.Name, Version: int64(s.Version), Targets: s.Targets, Routes: s.Routes})
	}
	return writeJSON(w, m)
}

// DocumentReport is the published document of a service.
type DocumentReport struct {
	Document admin.Document
}

// ShowService returns the published document of a service.
func ShowService(ctx context.Context, g *admin.Group, service string) (*DocumentReport, error) {
	d, err := g.Document(ctx, service)
	if err != nil {
		return nil, err
	}
	return &DocumentReport{Document: d}, nil
}

// WriteText writes the document with its version as a comment, so that the
// output can be edited and published.
func (r *DocumentReport) WriteText(w io.Writer) error {
	d := r.Document
	header := fmt.Sprintf("# version %d", d.Version)
	if d.Author != "" {
		header += " by " + d.Author
	}
	if !d.Changed.IsZero() {
		header += " at " + d.Changed.UTC().Format(time.RFC3339)
	}
	if len(d.DrainedTargets) > 0 {
		header += ", drained: " + strings.Join(d.DrainedTargets, " ")
	}
	_, err := fmt.Fprintf(w, "%s\n%s", header, d.Text)
	return err
}

type documentMessage struct {
	Name           string   `json:"name"`
	Version        int64    `json:"version"`
	Author         string   `json:"author"`
	Changed        string   `json:"changed,omitempty"`
	DrainedTargets []string `json:"drained_targets"`
	Text           string   `json:"text"`
}

// WriteJSON writes the document as one JSON object.
func (r *DocumentReport) WriteJSON(w io.Writer) error {
	m := documentMessage{
		Name: r.Document.Service, Version: int64(r.Document.Version), Author: r.Document.Author,
		DrainedTargets: append([]string{}, r.Document.DrainedTargets...), Text: r.Document.Text,
	}
	if !r.Document.Changed.IsZero() {
		m.Changed = r.Document.Changed.UTC().Format(time.RFC3339)
	}
	return writeJSON(w, m)
}
