// Package commands holds the CLI commands that change state.
package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
)

// Publish publishes the services of a document.
type Publish struct {
	Client *admin.Client
	Author string
	Out    io.Writer
}

// Run publishes every service of the document in the file.
func (p *Publish) Run(ctx context.Context, path string) error {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	services, err := config.ParseDocument(text)
	if err != nil {
		return err
	}
	status, err := p.Client.Status(ctx)
	if err != nil {
		return err
	}
	for _, s := range services {
		scope := config.ServiceScope(s.Name)
		base, ok := status.Scopes[scope]
		if !ok {
			base = config.NoVersion
		}
		result, err := p.Client.Publish(ctx, configlog.Change{
			ID: rand.Text(), Scope: scope, Base: base, Kind: configlog.PutService, Author: p.Author, Body: config.FormatService(s),
		})
		if err != nil {
			return fmt.Errorf("service %s: %w", s.Name, err)
		}
		if _, err := fmt.Fprintf(p.Out, "service %s published at version %d\n", s.Name, result.Version); err != nil {
			return err
		}
	}
	return nil
}
