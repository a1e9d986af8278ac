package timeline

import (
	"fmt"
	"strconv"
	"strings"
)

// timeLayout has millisecond precision, like the wall-clock part of a timestamp.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Format returns the event as one line of text: time, logical counter, instance,
// kind and the fields that are set. Only its test uses it; the timeline command
// prints events with formatEvent of package queries.
func Format(e Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s/%d %s %s", e.Time.Time().UTC().Format(timeLayout), e.Time.Counter(), e.Instance, e.Kind)
	writeField(&b, "service", e.Service)
	writeField(&b, "target", e.Target)
	writeField(&b, "request", e.Request)
	writeField(&b, "peer", e.Peer)
	if e.HasVersion() {
		writeField(&b, "version", strconv.FormatInt(e.Version, 10))
	}
	writeField(&b, "detail", e.Detail)
	return b.String()
}

// writeField quotes values that would make the line ambiguous, as request IDs and
// details come from other processes.
func writeField(b *strings.Builder, name, value string) {
	if value == "" {
		return
	}
	if strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c == '"' || c == '=' || !strconv.IsPrint(c) }) {
		value = strconv.Quote(value)
	}
	fmt.Fprintf(b, " %s=%s", name, value)
}
