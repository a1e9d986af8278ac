package commands

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
)

// maxDrainAttempts bounds the repeats after conflicts with changes that did
// not touch the drain.
const maxDrainAttempts = 10

// Drain drains targets and instances, or withdraws their drain.
type Drain struct {
	Group  *admin.Group
	Author string
	// ID identifies the change over repeats. Empty draws one.
	ID string
	// Undrain withdraws the drain.
	Undrain bool
	Wait    *Waiter
}

// Run drains "service/target" or an instance. A conflict with a change that
// did not touch this drain is repeated on the new version.
func (d *Drain) Run(ctx context.Context, name string) (*Report, error) {
	id := d.ID
	if id == "" {
		id = rand.Text()
	}
	var result Result
	service, target, isTarget := strings.Cut(name, "/")
	switch {
	case name == "" || isTarget && (service == "" || target == "" || strings.Contains(target, "/")):
		return nil, fmt.Errorf("%w: %q is neither SERVICE/TARGET nor an instance", config.ErrInvalid, name)
	case isTarget:
		result = d.drainTarget(ctx, service, target, id)
	default:
		result = d.drainInstance(ctx, name, id)
	}
	report := &Report{Results: []Result{result}}
	if result.Err != nil {
		return report, fmt.Errorf("%s: %w", name, result.Err)
	}
	return report, d.Wait.wait(ctx, d.Group, report)
}

func (d *Drain) drainTarget(ctx context.Context, service, target, id string) Result {
	change := configlog.Change{
		ID: id, Scope: config.ServiceScope(service), Kind: configlog.DrainTarget, Author: d.Author, Body: []byte(target),
	}
	if d.Undrain {
		change.Kind = configlog.UndrainTarget
	}
	seen, err := d.Group.Document(ctx, service)
	if err != nil {
		return Result{Scope: change.Scope, Outcome: Failed, Version: config.NoVersion, Err: err}
	}
	if _, ok := findTarget(seen, target); !ok {
		err := fmt.Errorf("%w: service %s has no target %q", admin.ErrNotFound, service, target)
		return Result{Scope: change.Scope, Outcome: Failed, Version: config.NoVersion, Err: err}
	}
	for attempt := 1; ; attempt++ {
		if seen.Drained(target) == !d.Undrain {
			return Result{Scope: change.Scope, Outcome: Unchanged, Version: seen.Version, Note: d.note(target, "already ")}
		}
		change.Base = seen.Version
		if attempt > 1 {
			// The earlier record is in the log as a conflict under its own id.
			change.ID = fmt.Sprintf("%s/%d", id, attempt)
		}
		result, err := d.Group.Publish(ctx, change)
		current, repeat := d.untouched(err, seen, target)
		if !repeat || attempt == maxDrainAttempts {
			r := resultOf(change, result, err)
			if r.Outcome == Published {
				r.Note = d.note(target, "")
			}
			return r
		}
		seen = current
	}
}

// untouched returns the current document when the error is a conflict with
// changes that left the drain alone, or made it as the command asks.
func (d *Drain) untouched(err error, seen admin.Document, target string) (admin.Document, bool) {
	var conflict *admin.ConflictError
	if !errors.As(err, &conflict) || errors.Is(err, configlog.ErrUncertain) {
		return admin.Document{}, false
	}
	current := conflict.Current
	before, _ := findTarget(seen, target)
	after, ok := findTarget(current, target)
	// Without a newer version there is nothing to base the repeat on.
	return current, ok && before.Address == after.Address && current.Version > seen.Version
}

func (d *Drain) note(target, prefix string) string {
	if d.Undrain {
		return "target " + target + " " + prefix + "not drained"
	}
	return "target " + target + " " + prefix + "drained"
}

func findTarget(d admin.Document, name string) (config.Target, bool) {
	services, err := config.ParseDocument([]byte(d.Text))
	if err != nil {
		return config.Target{}, false
	}
	for _, s := range services {
		for _, t := range s.Targets {
			if t.Name == name {
				return t, true
			}
		}
	}
	return config.Target{}, false
}

func (d *Drain) drainInstance(ctx context.Context, instance, id string) Result {
	change := configlog.Change{
		ID: id, Scope: config.InstanceScope(instance), Kind: configlog.DrainInstance, Author: d.Author,
	}
	if d.Undrain {
		change.Kind = configlog.UndrainInstance
	}
	status, err := d.Group.Status(ctx)
	if err != nil {
		return Result{Scope: change.Scope, Outcome: Failed, Version: config.NoVersion, Err: err}
	}
	change.Base = scopeVersion(status, change.Scope)
	note := instanceNote(status, instance)
	if slices.Contains(status.DrainedInstances, instance) == !d.Undrain {
		return Result{Scope: change.Scope, Outcome: Unchanged, Version: change.Base, Note: note}
	}
	result, err := d.Group.Publish(ctx, change)
	r := resultOf(change, result, err)
	r.Note = note
	var conflict *admin.ConflictError
	// Every change of an instance's scope touches its drain, so that a conflict
	// is only harmless when the other operator asked for the same.
	if r.Outcome == Conflict && errors.As(err, &conflict) && conflict.Drained == !d.Undrain {
		return Result{Scope: change.Scope, Outcome: Unchanged, Version: conflict.Current.Version, Note: note}
	}
	return r
}

// instanceNote tells of an instance that the fleet does not know. Its drain is
// published all the same, since the instance may start later.
func instanceNote(s admin.Status, instance string) string {
	if slices.ContainsFunc(s.Instances, func(i admin.InstanceStatus) bool { return i.ID == instance }) {
		return ""
	}
	return "no such instance is known now"
}
