// Package queries holds the CLI commands that only read.
package queries

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"rhubarbrelay/config"
)

// table writes aligned columns.
type table struct {
	w    *tabwriter.Writer
	rows int
}

const columnGap = 2

// newTable returns a table with a row of headings.
func newTable(w io.Writer, headings ...any) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.write(headings)
	return t
}

func (t *table) row(cells ...any) {
	t.rows++
	t.write(cells)
}

func (t *table) write(cells []any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = io.WriteString(t.w, "\t")
		}
		_, _ = fmt.Fprint(t.w, cell)
	}
	_, _ = io.WriteString(t.w, "\n")
}

// flush writes the table. The tabwriter keeps the first error until then.
func (t *table) flush() error { return t.w.Flush() }

// flushBelow writes the table below another one, or nothing when it has no
// row.
func (t *table) flushBelow(w io.Writer) error {
	if t.rows == 0 {
		return nil
	}
	if _, err := io.WriteString(w, "\n"); err != nil {
		return err
	}
	return t.flush()
}

func writeJSON(w io.Writer, m any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(m)
}

// dash stands for an empty cell, so that columns can be counted.
func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func versionText(v config.Version) string {
	if v == config.NoVersion {
		return "-"
	}
	return fmt.Sprint(int64(v))
}
