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
	w *tabwriter.Writer
}

const columnGap = 2

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
}

func (t *table) row(cells ...any) {
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
