package commands

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
)

// Publish publishes the services of a document.
type Publish struct {
	Group  *admin.Group
	Author string
	// ID starts the ids of the changes. A repeat with the same ID does not
	// publish again what an earlier attempt published. Empty draws one.
	ID string
	// Bases holds, by service, the version that the author saw. A service
	// without one is based on the version that is published at the time.
	Bases map[string]config.Version
	// Wait waits until the changes are in force on every live instance.
	Wait *Waiter
}

// Run publishes every service of the document that differs from what is
// published, one after the other, and stops at the first that fails. The
// report is set whenever the document is valid.
func (p *Publish) Run(ctx context.Context, document []byte) (*Report, error) {
	services, err := config.ParseDocument(document)
	if err != nil {
		return nil, err
	}
	if len(services) == 0 {
		return nil, fmt.Errorf("%w: the document defines no service", config.ErrInvalid)
	}
	if err := p.checkBases(services); err != nil {
		return nil, err
	}
	id := p.ID
	if id == "" {
		id = rand.Text()
	}
	report := &Report{}
	var failure error
	for _, s := range services {
		if failure != nil {
			report.Results = append(report.Results, Result{
				Scope: config.ServiceScope(s.Name), Outcome: NotTried, Version: config.NoVersion,
			})
			continue
		}
		result := p.publish(ctx, s, id)
		if result.Err != nil {
			failure = fmt.Errorf("service %s: %w", s.Name, result.Err)
		}
		report.Results = append(report.Results, result)
	}
	if failure != nil {
		return report, failure
	}
	return report, p.Wait.wait(ctx, p.Group, report)
}

// checkBases refuses a base for a service that the document does not have.
func (p *Publish) checkBases(services []*config.Service) error {
	for name := range p.Bases {
		known := false
		for _, s := range services {
			known = known || s.Name == name
		}
		if !known {
			return fmt.Errorf("%w: base of service %q, which the document does not define", config.ErrInvalid, name)
		}
	}
	return nil
}

func (p *Publish) publish(ctx context.Context, s *config.Service, id string) Result {
	change := configlog.Change{
		ID: id + "/" + s.Name, Scope: config.ServiceScope(s.Name), Kind: configlog.PutService,
		Author: p.Author, Body: config.FormatService(s),
	}
	current, err := currentDocument(ctx, p.Group, s.Name)
	if err != nil {
		return Result{Scope: change.Scope, Outcome: Failed, Version: config.NoVersion, Err: err}
	}
	if current.Normalized() == string(change.Body) {
		return Result{Scope: change.Scope, Outcome: Unchanged, Version: current.Version}
	}
	change.Base = current.Version
	if base, ok := p.Bases[s.Name]; ok {
		change.Base = base
	}
	result, err := p.Group.Publish(ctx, change)
	r := resultOf(change, result, err)
	if r.Outcome == Uncertain {
		r.ChangeID = id
	}
	return r
}

// currentDocument returns the published document of a service. For a service
// that is not published it returns one without text at the scope's version.
func currentDocument(ctx context.Context, g *admin.Group, service string) (admin.Document, error) {
	d, err := g.Document(ctx, service)
	if !errors.Is(err, admin.ErrNotFound) {
		return d, err
	}
	status, err := g.Status(ctx)
	if err != nil {
		return admin.Document{}, err
	}
	return admin.Document{Service: service, Version: scopeVersion(status, config.ServiceScope(service))}, nil
}

func scopeVersion(s admin.Status, scope string) config.Version {
	if version, ok := s.Scopes[scope]; ok {
		return version
	}
	return config.NoVersion
}
