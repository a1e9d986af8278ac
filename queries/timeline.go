package queries

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/timeline"
)

// TimelineReport is the merged timeline of all live instances.
type TimelineReport struct {
	Events []timeline.Event
	// Missing holds the instances that did not answer, with their errors.
	Missing []admin.Member
	// CompleteSince is the latest stamp of an event that an instance dropped.
	// Before it the timeline may lack events.
	CompleteSince timeline.Stamp
}

// Timeline merges the events of all live instances. Instances that do not
// answer are reported, unless none answers.
func Timeline(ctx context.Context, g *admin.Group, f timeline.Filter) (*TimelineReport, error) {
	members, err := g.Timelines(ctx, f)
	if err != nil {
		return nil, err
	}
	report := &TimelineReport{}
	var lists [][]timeline.Event
	var failures []error
	for _, m := range members {
		if m.Err != nil {
			report.Missing = append(report.Missing, m)
			failures = append(failures, m.Err)
			continue
		}
		lists = append(lists, m.Timeline.Events)
		report.CompleteSince = max(report.CompleteSince, m.Timeline.CompleteSince)
	}
	if len(lists) == 0 {
		return nil, errors.Join(failures...)
	}
	report.Events = timeline.Merge(f, lists...)
	return report, nil
}

// ParseTime reads a time: a stamp, a time of RFC 3339, or a duration before
// now.
func ParseTime(text string, now time.Time) (timeline.Stamp, error) {
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return timeline.StampAt(now.Add(-d)), nil
	}
	s, err := admin.ParseStamp(text)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is not a duration such as 5m, a stamp or a time such as 2026-01-02T15:04:05Z", config.ErrInvalid, text)
	}
	return s, nil
}

// WriteText writes one line per event, oldest first, then what is missing.
func (r *TimelineReport) WriteText(w io.Writer) error {
	for _, e := range r.Events {
		if _, err := fmt.Fprintln(w, timeline.Format(e)); err != nil {
			return err
		}
	}
	for _, m := range r.Missing {
		if _, err := fmt.Fprintf(w, "# no answer from %s: %v\n", memberName(m), m.Err); err != nil {
			return err
		}
	}
	if len(r.Events) > 0 && r.CompleteSince >= r.Events[0].Time {
		_, err := fmt.Fprintf(w, "# events before %s may be missing\n", r.CompleteSince.Time().UTC().Format(time.RFC3339Nano))
		return err
	}
	return nil
}

func memberName(m admin.Member) string {
	if m.ID != "" {
		return m.ID
	}
	return m.Address.String()
}

type timelineMessage struct {
	Events        []admin.EventMessage `json:"events"`
	Missing       []missingMessage     `json:"missing"`
	CompleteSince uint64               `json:"complete_since,string"`
}

type missingMessage struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Error   string `json:"error"`
}

func missingMessages(members []admin.Member) []missingMessage {
	all := make([]missingMessage, 0, len(members))
	for _, m := range members {
		all = append(all, missingMessage{ID: m.ID, Address: admin.FormatAddress(m.Address), Error: m.Err.Error()})
	}
	return all
}

// WriteJSON writes the timeline as one JSON object.
func (r *TimelineReport) WriteJSON(w io.Writer) error {
	m := timelineMessage{
		Events: []admin.EventMessage{}, Missing: missingMessages(r.Missing), CompleteSince: uint64(r.CompleteSince),
	}
	for _, e := range r.Events {
		m.Events = append(m.Events, admin.EventToMessage(e))
	}
	return writeJSON(w, m)
}
