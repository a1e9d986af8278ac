package admin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"golang.org/x/sync/errgroup"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"
	"rhubarbrelay/timeline"
)

// maxParallel bounds the instances that are asked at once.
const maxParallel = 16

// Group calls the administration API through whichever of several instances
// answers.
type Group struct {
	clients []*Client
	opts    []ClientOption
}

// NewGroup returns a group of the instances at the addresses, which it tries
// in this order. There must be at least one address.
func NewGroup(addresses []netip.AddrPort, opts ...ClientOption) *Group {
	g := &Group{opts: opts}
	for _, a := range addresses {
		g.clients = append(g.clients, NewClient(a, opts...))
	}
	return g
}

// Close closes idle connections.
func (g *Group) Close() {
	for _, c := range g.clients {
		c.Close()
	}
}

// Publish publishes a change through the first instance that can. While the
// outcome is uncertain it repeats the change with the same id, through every
// other instance and then once more through each. The errors are those of
// Client.Publish; ErrUncertain means that no repeat told the outcome.
func (g *Group) Publish(ctx context.Context, change configlog.Change) (configlog.Result, error) {
	var uncertain bool
	var failures []error
	for attempt := range 2 * len(g.clients) {
		if attempt >= len(g.clients) && !uncertain {
			break
		}
		result, err := g.clients[attempt%len(g.clients)].Publish(ctx, change)
		if err == nil {
			return result, nil
		}
		if version, ok := landedBefore(change, err); ok && uncertain {
			return configlog.Result{Version: version}, nil
		}
		failures = append(failures, err)
		switch {
		case errors.Is(err, configlog.ErrUncertain):
			uncertain = true
		case errors.Is(err, platform.ErrUnavailable), errors.Is(err, ErrUnreachable):
		case uncertain:
			// An earlier attempt may have been accepted and then replaced.
			return configlog.Result{}, fmt.Errorf("%w: %w", configlog.ErrUncertain, err)
		default:
			return configlog.Result{}, err
		}
	}
	return configlog.Result{}, errors.Join(failures...)
}

// landedBefore returns the version at which a conflict shows that an earlier
// attempt was accepted: the scope's last change has the same id, or the scope
// is as the change asks.
func landedBefore(change configlog.Change, err error) (config.Version, bool) {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return 0, false
	}
	current := conflict.Current
	if current.ChangeID != "" && current.ChangeID == change.ID {
		return current.Version, true
	}
	return current.Version, asAsked(change, conflict)
}

// asAsked returns whether the scope is in the state that the change asks for.
func asAsked(change configlog.Change, conflict *ConflictError) bool {
	current := conflict.Current
	switch change.Kind {
	case configlog.PutService:
		return current.Text == string(change.Body)
	case configlog.DeleteService:
		return current.Text == ""
	case configlog.DrainTarget:
		return current.Drained(string(change.Body))
	case configlog.UndrainTarget:
		return current.Text != "" && !current.Drained(string(change.Body))
	case configlog.DrainInstance:
		return conflict.Drained
	case configlog.UndrainInstance:
		return !conflict.Drained
	default:
		return false
	}
}

// Status returns the state of the first instance that answers.
func (g *Group) Status(ctx context.Context) (Status, error) {
	var s Status
	err := g.first(func(c *Client) (err error) {
		s, err = c.Status(ctx)
		return err
	})
	return s, err
}

// Document returns the published text of a service from the first instance
// that answers.
func (g *Group) Document(ctx context.Context, service string) (Document, error) {
	var d Document
	err := g.first(func(c *Client) (err error) {
		d, err = c.Document(ctx, service)
		return err
	})
	return d, err
}

// Services returns the published services from the first instance that answers.
func (g *Group) Services(ctx context.Context) ([]ServiceSummary, error) {
	var all []ServiceSummary
	err := g.first(func(c *Client) (err error) {
		all, err = c.Services(ctx)
		return err
	})
	return all, err
}

// first calls the clients until one answers. A refusal is an answer.
func (g *Group) first(call func(*Client) error) error {
	var failures []error
	for _, c := range g.clients {
		err := call(c)
		if !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrAnswer) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// Member is one instance and what it answered.
type Member struct {
	// ID is empty when the instance is known only by its address.
	ID string
	// Address is invalid when the other instances do not know it.
	Address netip.AddrPort
	// State is what the others say of the instance.
	State InstanceState
	// Err is set when the instance did not answer; the other fields from here
	// on are set otherwise.
	Err      error
	Status   Status
	Timeline Timeline
}

// Statuses asks every live instance for its state. The members are ordered by
// id, then address. The error is set only when no instance answers.
func (g *Group) Statuses(ctx context.Context) ([]Member, error) {
	return g.ask(ctx, func(ctx context.Context, c *Client, m *Member) {
		m.Status, m.Err = c.Status(ctx)
	})
}

// Timelines asks every live instance for its events.
func (g *Group) Timelines(ctx context.Context, f timeline.Filter) ([]Member, error) {
	return g.ask(ctx, func(ctx context.Context, c *Client, m *Member) {
		m.Timeline, m.Err = c.Timeline(ctx, f)
	})
}

func (g *Group) ask(ctx context.Context, call func(context.Context, *Client, *Member)) ([]Member, error) {
	members, err := g.members(ctx)
	if err != nil {
		return nil, err
	}
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i := range members {
		if !members[i].Address.IsValid() {
			members[i].Err = fmt.Errorf("%w: its administration address is not known", ErrUnreachable)
			continue
		}
		group.Go(func() error {
			c := NewClient(members[i].Address, g.opts...)
			defer c.Close()
			call(ctx, c, &members[i])
			return nil
		})
	}
	return members, group.Wait()
}

// members returns the given instances and every live one that the first
// instance to answer knows.
func (g *Group) members(ctx context.Context) ([]Member, error) {
	var known []InstanceStatus
	err := g.first(func(c *Client) (err error) {
		known, err = c.Instances(ctx)
		return err
	})
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, i := range known {
		if i.State != InstanceDead {
			members = append(members, Member{ID: i.ID, Address: i.AdminAddress, State: i.State})
		}
	}
	for _, c := range g.clients {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Address == c.address }) {
			members = append(members, Member{Address: c.address})
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), a.Address.Compare(b.Address))
	})
	return members, nil
}
