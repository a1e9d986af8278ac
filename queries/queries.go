// Package queries implements the operator commands that only read: configuration
// files, the published configuration and the state of running instances.
package queries

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rogpeppe/go-internal/diff"
	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/responses"
	"rhubarbrelay/timeline"
)

// ErrUnreachable means that an instance did not respond.
var ErrUnreachable = errors.New("instance did not respond")

// requestTimeout limits the duration of a request to an instance.
const requestTimeout = 5 * time.Second

// maxResponse limits the size of a response of an instance in bytes.
const maxResponse = 64 << 20

// PrintRoutes prints a table of the routes of a document.
func PrintRoutes(d *config.Document, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) // Flush returns write errors
	_, _ = fmt.Fprintln(w, "HOST\tPREFIX\tSERVICES\tTIMEOUT\tATTEMPTS\tIDEMPOTENT")
	for _, r := range d.Routes {
		services := make([]string, 0, len(r.Split))
		for _, ws := range r.Split {
			services = append(services, ws.Service)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", r.Host, r.PathPrefix, strings.Join(services, ","), r.Timeout, r.MaxTries, r.Idempotent)
	}
	return w.Flush()
}

// Show prints a published document in the format of a configuration file, which
// can be edited and published again.
func Show(d *config.Document, out io.Writer) error {
	_, err := fmt.Fprintf(out, "# version %d\n%s", d.Version, config.Format(d))
	return err
}

// Diff prints the difference between the published configuration and the file.
// Without a difference it prints nothing.
func Diff(published, edited *config.Document, out io.Writer) error {
	var before []byte
	version := int64(0)
	if published != nil {
		before, version = config.Format(published), published.Version
	}
	_, err := out.Write(diff.Diff(fmt.Sprintf("published version %d", version), before, "file", config.Format(edited)))
	return err
}

// Client queries instances over the administration API.
type Client struct {
	Token string
}

// newInstanceClient returns a client of the administration API of one instance, which sends a
// length with all responses.
func newInstanceClient(address netip.AddrPort) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address.String(),
		Transport:                 responses.NewTransport(responses.WithNeedsLength()),
		MaxResponseBodySize:       maxResponse,
		MaxIdemponentCallAttempts: 1,
	}
}

func (c Client) get(ctx context.Context, address netip.AddrPort, path string) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address.String() + path)
	if c.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	}
	deadline := time.Now().Add(requestTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	client := newInstanceClient(address)
	defer client.CloseIdleConnections()
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", address, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// Status prints the state of the instances. The error names those that could not
// be queried.
func (c Client) Status(ctx context.Context, instances []netip.AddrPort, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tZONE\tREADY\tVERSION\tTARGETS\tTARGET AGE\tSTORE\tIN PROGRESS\tKNOWS\tEVACUATED ZONES")
	var errs []error
	for _, address := range instances {
		body, err := c.get(ctx, address, admin.StatusPath)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s, err := admin.DecodeStatus(body)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: decode status: %w", address, err))
			continue
		}
		store := "ok"
		if s.StoreFailing {
			store = "failing"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%s\t%s\t%d\t%d\t%s\n",
			s.ID, s.Zone, s.Ready, s.ConfigVersion, s.Targets, s.TargetAge, store, s.InProgress, len(s.Instances), formatEvacuated(s.Evacuated))
	}
	return errors.Join(w.Flush(), errors.Join(errs...))
}

// formatEvacuated lists the evacuated zones, each with the time since when it is.
func formatEvacuated(zones map[string]time.Time) string {
	if len(zones) == 0 {
		return "-"
	}
	texts := make([]string, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		texts = append(texts, zone+" since "+zones[zone].UTC().Format(time.RFC3339))
	}
	return strings.Join(texts, ", ")
}

// Timeline prints the events of the instances merged into one timeline. The error
// names those that could not be queried.
func (c Client) Timeline(ctx context.Context, instances []netip.AddrPort, filter timeline.Filter, out io.Writer) error {
	query := url.Values{}
	for name, value := range map[string]string{"request": filter.Request, "service": filter.Service, "target": filter.Target} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var eventLists [][]timeline.Event
	var errs []error
	for _, address := range instances {
		body, err := c.get(ctx, address, admin.TimelinePath+"?"+query.Encode())
		if err != nil {
			errs = append(errs, err)
			continue
		}
		events, err := admin.DecodeEvents(body)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: decode events: %w", address, err))
			continue
		}
		eventLists = append(eventLists, events)
	}
	for _, e := range timeline.Merge(filter, eventLists...) {
		if _, err := fmt.Fprintln(out, formatEvent(e)); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

// formatEvent returns the event as one line of text. It quotes the values of fields:
// callers choose the request IDs, and one with spaces could pass for other fields.
// The timeline command prints events with it and does not use timeline.Format.
func formatEvent(e timeline.Event) string {
	text := fmt.Sprintf("%s/%d %s %s", e.Time.Time().UTC().Format("2006-01-02T15:04:05.000Z"), e.Time.Counter(), e.Instance, e.Kind)
	for _, f := range []struct{ name, value string }{
		{"service", e.Service}, {"target", e.Target}, {"request", e.Request}, {"peer", e.Peer}, {"detail", e.Detail},
	} {
		if f.value != "" {
			text += fmt.Sprintf(" %s=%q", f.name, f.value)
		}
	}
	if e.HasVersion() {
		text += fmt.Sprintf(" version=%d", e.Version)
	}
	return text
}
