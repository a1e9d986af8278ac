package commands

import (
	"context"
	"crypto/rand"
	"fmt"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
)

// Delete withdraws a service.
type Delete struct {
	Group  *admin.Group
	Author string
	// ID identifies the change over repeats. Empty draws one.
	ID   string
	Wait *Waiter
}

// Run deletes the service as it is published at the time. A service that was
// deleted before is unchanged; one that was never published is not found.
func (d *Delete) Run(ctx context.Context, service string) (*Report, error) {
	change := configlog.Change{
		ID: d.ID, Scope: config.ServiceScope(service), Kind: configlog.DeleteService, Author: d.Author,
	}
	if change.ID == "" {
		change.ID = rand.Text()
	}
	current, err := currentDocument(ctx, d.Group, service)
	if err != nil {
		return nil, err
	}
	report := &Report{}
	switch {
	case current.Version == config.NoVersion:
		return nil, fmt.Errorf("%w: service %q was never published", admin.ErrNotFound, service)
	case current.Text == "":
		report.Results = []Result{{Scope: change.Scope, Outcome: Unchanged, Version: current.Version, Note: "already deleted"}}
	default:
		change.Base = current.Version
		result, err := d.Group.Publish(ctx, change)
		report.Results = []Result{resultOf(change, result, err)}
		if err != nil {
			return report, fmt.Errorf("service %s: %w", service, err)
		}
		report.Results[0].Note = "deleted"
	}
	return report, d.Wait.wait(ctx, d.Group, report)
}
