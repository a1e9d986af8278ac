// Package commands holds the CLI commands that change state.
package commands

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/rogpeppe/go-internal/diff"

	"rhubarbrelay/admin"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
)

// Outcome says what became of one change.
type Outcome string

// The outcomes of a change.
const (
	Published Outcome = "published"
	// Unchanged means that the scope is already as the change asks.
	Unchanged Outcome = "unchanged"
	Conflict  Outcome = "conflict"
	// Uncertain means that the change may have taken effect or may still do so.
	Uncertain Outcome = "uncertain"
	// Failed means that nothing was changed.
	Failed Outcome = "failed"
	// NotTried means that an earlier change of the same command failed.
	NotTried Outcome = "not_tried"
)

// Result is what became of the change of one scope.
type Result struct {
	Scope    string
	Outcome  Outcome
	Version  config.Version
	ChangeID string
	// Author is who made the change that a conflict lost to.
	Author string
	// Diff shows, after a conflict, the current text against the proposed one.
	Diff string
	// Note is additional text for the operator.
	Note string
	Err  error
}

// Report is what became of a command.
type Report struct {
	Results []Result
	// InForce is set when the command waited and every live instance has put
	// all changes into force.
	InForce bool
	waited  bool
}

// WriteText writes one line per change, and the diff of a conflict.
func (r *Report) WriteText(w io.Writer) error {
	for _, result := range r.Results {
		if _, err := io.WriteString(w, result.text()); err != nil {
			return err
		}
	}
	if !r.InForce {
		return nil
	}
	_, err := fmt.Fprintln(w, "in force on every live instance")
	return err
}

func (r Result) text() string {
	text := scopeText(r.Scope)
	switch r.Outcome {
	case Published:
		text += fmt.Sprintf(" published at version %d", r.Version)
	case Unchanged:
		text += fmt.Sprintf(" unchanged at version %d", r.Version)
	case Conflict:
		text += fmt.Sprintf(" conflict: now at version %d", r.Version)
		if r.Author != "" {
			text += " by " + r.Author
		}
	case Uncertain:
		text += fmt.Sprintf(" uncertain: repeat with --id %s", r.ChangeID)
	case Failed:
		text += " failed"
	case NotTried:
		text += " not tried"
	}
	if r.Note != "" {
		text += " (" + r.Note + ")"
	}
	return text + "\n" + r.Diff
}

// scopeText returns the scope as it is shown to operators, such as
// "service spoolkeep".
func scopeText(scope string) string {
	for i := range scope {
		if scope[i] == '/' {
			return scope[:i] + " " + scope[i+1:]
		}
	}
	return scope
}

// resultMessage is a result in JSON.
type resultMessage struct {
	Scope    string `json:"scope"`
	Outcome  string `json:"outcome"`
	Version  int64  `json:"version"`
	ChangeID string `json:"change_id,omitempty"`
	Author   string `json:"author,omitempty"`
	Diff     string `json:"diff,omitempty"`
	Note     string `json:"note,omitempty"`
	Error    string `json:"error,omitempty"`
}

// reportMessage is a report in JSON.
type reportMessage struct {
	Results []resultMessage `json:"results"`
	InForce *bool           `json:"in_force,omitempty"`
}

// WriteJSON writes the report as one JSON object. in_force is present only
// when the command waited.
func (r *Report) WriteJSON(w io.Writer) error {
	m := reportMessage{Results: []resultMessage{}}
	if r.waited {
		m.InForce = &r.InForce
	}
	for _, result := range r.Results {
		rm := resultMessage{
			Scope: result.Scope, Outcome: string(result.Outcome), Version: int64(result.Version), ChangeID: result.ChangeID,
			Author: result.Author, Diff: result.Diff, Note: result.Note,
		}
		if result.Err != nil {
			rm.Error = result.Err.Error()
		}
		m.Results = append(m.Results, rm)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(m)
}

// resultOf returns the result of a publication.
func resultOf(change configlog.Change, result configlog.Result, err error) Result {
	r := Result{Scope: change.Scope, ChangeID: change.ID, Version: result.Version, Err: err}
	var conflict *admin.ConflictError
	switch {
	case err == nil:
		r.Outcome = Published
	case errors.Is(err, configlog.ErrUncertain):
		r.Outcome, r.Version = Uncertain, config.NoVersion
	case errors.As(err, &conflict):
		r.Outcome, r.Version, r.Author = Conflict, conflict.Current.Version, conflict.Current.Author
		if change.Kind == configlog.PutService {
			r.Diff = conflictDiff(conflict.Current, change)
		}
	default:
		r.Outcome, r.Version = Failed, config.NoVersion
	}
	return r
}

func conflictDiff(current admin.Document, change configlog.Change) string {
	name := fmt.Sprintf("version %d", current.Version)
	if current.Author != "" {
		name += " by " + current.Author
	}
	return string(diff.Diff(name, []byte(current.Normalized()), "yours, based on version "+versionText(change.Base), change.Body))
}
