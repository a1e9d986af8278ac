package queries

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rogpeppe/go-internal/diff"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
)

// Difference is how a service of a document differs from what is published.
type Difference struct {
	Service string
	// Version is the published version, config.NoVersion when there is none.
	Version config.Version
	// Diff is empty when the service is unchanged.
	Diff string
}

// DiffReport lists the differences of a document.
type DiffReport struct {
	Differences []Difference
}

// Diff compares the services of a document with what is published.
func Diff(ctx context.Context, g *admin.Group, document []byte) (*DiffReport, error) {
	services, err := parse(document)
	if err != nil {
		return nil, err
	}
	report := &DiffReport{}
	for _, s := range services {
		d, err := difference(ctx, g, s)
		if err != nil {
			return nil, fmt.Errorf("service %s: %w", s.Name, err)
		}
		report.Differences = append(report.Differences, d)
	}
	return report, nil
}

func difference(ctx context.Context, g *admin.Group, s *config.Service) (Difference, error) {
	d := Difference{Service: s.Name, Version: config.NoVersion}
	published, err := g.Document(ctx, s.Name)
	name, text := "not published", ""
	switch {
	case err == nil:
		d.Version = published.Version
		name, text = fmt.Sprintf("published version %d", published.Version), published.Normalized()
	case !errors.Is(err, admin.ErrNotFound):
		return Difference{}, err
	}
	d.Diff = string(diff.Diff(name, []byte(text), "file", config.FormatService(s)))
	return d, nil
}

// WriteText writes the differences as unified diffs.
func (r *DiffReport) WriteText(w io.Writer) error {
	for _, d := range r.Differences {
		text := d.Diff
		if text == "" {
			text = fmt.Sprintf("service %s unchanged at version %d\n", d.Service, d.Version)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

type diffMessage struct {
	Services []differenceMessage `json:"services"`
}

type differenceMessage struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Changed bool   `json:"changed"`
	Diff    string `json:"diff"`
}

// WriteJSON writes the differences as one JSON object.
func (r *DiffReport) WriteJSON(w io.Writer) error {
	m := diffMessage{Services: []differenceMessage{}}
	for _, d := range r.Differences {
		m.Services = append(m.Services, differenceMessage{
			Name: d.Service, Version: int64(d.Version), Changed: d.Diff != "", Diff: d.Diff,
		})
	}
	return writeJSON(w, m)
}
