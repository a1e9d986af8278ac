package config

import (
	"strconv"
	"strings"
)

// The keys of the text format.
const (
	keyPolicy         = "policy"
	keyDeadline       = "deadline"
	keyMaxWait        = "max_wait"
	keyMaxQueue       = "max_queue"
	keyEntryPerZone   = "entry_per_zone"
	keySinglePrimary  = "single_primary"
	keyRetryPercent   = "retry_percent"
	keyProbeInterval  = "probe_interval"
	keyLongPercent    = "long_percent"
	keyEjectPercent   = "eject_percent"
	keyAddress        = "address"
	keyZone           = "zone"
	keySlots          = "slots"
	keyMaxConnections = "max_connections"
	keyIdempotent     = "idempotent"
	keyLong           = "long"
)

// field is one line of the canonical text.
type field struct {
	key   string
	value string
}

// FormatService writes a service in the canonical text form: every key of the
// service and its targets in a fixed order, targets and routes in the order of
// the service, and only the keys of a route that are set. ParseDocument reads
// the same service back.
func FormatService(s *Service) []byte {
	var b strings.Builder
	formatSection(&b, serviceSection(s), serviceFields(s))
	for _, t := range s.Targets {
		b.WriteByte('\n')
		formatSection(&b, targetSection(s, t), targetFields(t))
	}
	for _, r := range s.Routes {
		b.WriteByte('\n')
		formatSection(&b, routeSection(s, r), routeFields(r))
	}
	return []byte(b.String())
}

// FormatDocument writes several services in the canonical text form.
func FormatDocument(services []*Service) []byte {
	var text []byte
	for i, s := range services {
		if i > 0 {
			text = append(text, '\n')
		}
		text = append(text, FormatService(s)...)
	}
	return text
}

func formatSection(b *strings.Builder, section string, fields []field) {
	b.WriteString("[" + section + "]\n")
	for _, f := range fields {
		b.WriteString(f.key + " = " + f.value + "\n")
	}
}

func serviceSection(s *Service) string { return "service " + s.Name }

func targetSection(s *Service, t Target) string { return "target " + s.Name + " " + t.Name }

func routeSection(s *Service, r Route) string {
	return "route " + s.Name + " " + r.Method + " " + r.PathPrefix
}

func serviceFields(s *Service) []field {
	return []field{
		{keyPolicy, string(s.Policy)},
		{keyDeadline, s.Deadline.String()},
		{keyMaxWait, s.MaxWait.String()},
		{keyMaxQueue, strconv.Itoa(s.MaxQueue)},
		{keyEntryPerZone, strconv.Itoa(s.EntryPerZone)},
		{keySinglePrimary, strconv.FormatBool(s.SinglePrimary)},
		{keyRetryPercent, strconv.Itoa(s.RetryPercent)},
		{keyProbeInterval, s.ProbeInterval.String()},
		{keyLongPercent, strconv.Itoa(s.LongPercent)},
		{keyEjectPercent, strconv.Itoa(s.EjectPercent)},
	}
}

func targetFields(t Target) []field {
	return []field{
		{keyAddress, t.Address.String()},
		{keyZone, t.Zone},
		{keySlots, strconv.Itoa(t.Slots)},
		{keyMaxConnections, strconv.Itoa(t.MaxConnections)},
	}
}

func routeFields(r Route) []field {
	var fields []field
	if r.Idempotency != Unmarked {
		fields = append(fields, field{keyIdempotent, strconv.FormatBool(r.Idempotency == Idempotent)})
	}
	if r.Long {
		fields = append(fields, field{keyLong, "true"})
	}
	if r.Deadline != 0 {
		fields = append(fields, field{keyDeadline, r.Deadline.String()})
	}
	return fields
}
