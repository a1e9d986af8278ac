package queries

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"rhubarbrelay/config"
)

// PrintTenants prints a table of the tenants of a document, with the digests of their API
// keys.
func PrintTenants(d *config.Document, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) // Flush returns write errors
	_, _ = fmt.Fprintln(w, "TENANT\tPRIORITY\tRATE PER SECOND\tBURST\tKEY DIGESTS")
	for _, t := range d.Tenants {
		digests := make([]string, 0, len(t.Keys))
		for _, key := range t.Keys {
			digests = append(digests, key.String())
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%g\t%g\t%s\n", t.Name, t.Priority, t.RatePerSecond, t.Burst, strings.Join(digests, " "))
	}
	return w.Flush()
}
