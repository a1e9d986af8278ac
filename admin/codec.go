package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/timeline"
)

// errorKind ties the kind of an error to its HTTP status.
type errorKind struct {
	name   string
	status int
}

// The kinds of error.
var (
	kindInvalid      = errorKind{"invalid", fasthttp.StatusBadRequest}
	kindUnauthorized = errorKind{"unauthorized", fasthttp.StatusUnauthorized}
	kindNotFound     = errorKind{"not_found", fasthttp.StatusNotFound}
	kindMethod       = errorKind{"method_not_allowed", fasthttp.StatusMethodNotAllowed}
	kindTimeout      = errorKind{"timeout", fasthttp.StatusRequestTimeout}
	kindConflict     = errorKind{"conflict", fasthttp.StatusConflict}
	kindTooLarge     = errorKind{"too_large", fasthttp.StatusRequestEntityTooLarge}
	kindInternal     = errorKind{"internal", fasthttp.StatusInternalServerError}
	kindUnavailable  = errorKind{"unavailable", fasthttp.StatusServiceUnavailable}
	kindUncertain    = errorKind{"uncertain", fasthttp.StatusGatewayTimeout}
)

// errorMessage is an error on the wire.
type errorMessage struct {
	Error string `json:"error"`
	Kind  string `json:"kind"`
	// Current and Drained are the state of the scope after a conflict.
	Current *documentMessage `json:"current,omitempty"`
	Drained bool             `json:"drained,omitempty"`
}

// changeMessage is a configuration change on the wire.
type changeMessage struct {
	ID     string `json:"id"`
	Scope  string `json:"scope"`
	Base   *int64 `json:"base"`
	Kind   string `json:"kind"`
	Author string `json:"author"`
	Body   string `json:"body"`
}

// resultMessage is the result of a change on the wire.
type resultMessage struct {
	Version int64 `json:"version"`
}

// documentMessage is a published service on the wire.
type documentMessage struct {
	Name           string   `json:"name"`
	Version        int64    `json:"version"`
	Author         string   `json:"author"`
	Changed        string   `json:"changed,omitempty"`
	ChangeID       string   `json:"change_id,omitempty"`
	DrainedTargets []string `json:"drained_targets"`
	Text           string   `json:"text"`
}

// servicesMessage lists the services on the wire.
type servicesMessage struct {
	Version  int64                   `json:"version"`
	Services []serviceSummaryMessage `json:"services"`
}

type serviceSummaryMessage struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Targets int    `json:"targets"`
	Routes  int    `json:"routes"`
}

// instancesMessage lists the known instances on the wire.
type instancesMessage struct {
	Instances []instanceMessage `json:"instances"`
}

type instanceMessage struct {
	ID            string `json:"id"`
	Zone          string `json:"zone"`
	State         string `json:"state"`
	Incarnation   int64  `json:"incarnation"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	AdminAddress  string `json:"admin_address"`
}

// statusMessage is the state of an instance on the wire.
type statusMessage struct {
	ID               string                 `json:"id"`
	Zone             string                 `json:"zone"`
	State            string                 `json:"state"`
	Incarnation      int64                  `json:"incarnation"`
	Version          int64                  `json:"version"`
	Scopes           map[string]int64       `json:"scopes"`
	DrainedInstances []string               `json:"drained_instances"`
	Ready            bool                   `json:"ready"`
	Reason           string                 `json:"reason,omitempty"`
	InFlight         int                    `json:"in_flight"`
	Instances        []instanceMessage      `json:"instances"`
	Services         []serviceStatusMessage `json:"services"`
}

type serviceStatusMessage struct {
	Name     string          `json:"name"`
	Version  int64           `json:"version"`
	InFlight int             `json:"in_flight"`
	Waiting  int             `json:"waiting"`
	MaxQueue int             `json:"max_queue"`
	Targets  []targetMessage `json:"targets"`
}

type targetMessage struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Slots    int    `json:"slots"`
}

type timelineMessage struct {
	Events        []EventMessage `json:"events"`
	CompleteSince uint64         `json:"complete_since,string"`
}

// EventMessage is an event in JSON. The CLI prints events in the same form. The
// stamp is a string, since it exceeds the 53 bits that many JSON readers keep
// of a number.
type EventMessage struct {
	Stamp    uint64 `json:"stamp,string"`
	Time     string `json:"time"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Service  string `json:"service,omitempty"`
	Target   string `json:"target,omitempty"`
	Request  string `json:"request,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Version  *int64 `json:"version,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// EventToMessage returns the event in its JSON form.
func EventToMessage(e timeline.Event) EventMessage {
	m := EventMessage{
		Stamp: uint64(e.Time), Time: e.Time.Time().UTC().Format(time.RFC3339Nano), Instance: e.Instance,
		Kind: string(e.Kind), Service: e.Service, Target: e.Target, Request: e.Request, Peer: e.Peer,
		Detail: e.Detail,
	}
	if e.HasVersion() {
		m.Version = &e.Version
	}
	return m
}

func eventFromMessage(m EventMessage) timeline.Event {
	e := timeline.Event{
		Time: timeline.Stamp(m.Stamp), Instance: m.Instance, Kind: timeline.Kind(m.Kind), Service: m.Service,
		Target: m.Target, Request: m.Request, Peer: m.Peer, Detail: m.Detail,
	}
	if m.Version != nil {
		e.Version = *m.Version
	}
	return e
}

// changeKind ties the kind of a change to its name on the wire.
type changeKind struct {
	name string
	kind configlog.Kind
}

func changeKinds() []changeKind {
	return []changeKind{
		{"put_service", configlog.PutService},
		{"delete_service", configlog.DeleteService},
		{"drain_target", configlog.DrainTarget},
		{"undrain_target", configlog.UndrainTarget},
		{"drain_instance", configlog.DrainInstance},
		{"undrain_instance", configlog.UndrainInstance},
	}
}

func decodeChange(body []byte) (configlog.Change, error) {
	var m changeMessage
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return configlog.Change{}, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return configlog.Change{}, fmt.Errorf("%w: data after the JSON object", errChange)
	}
	if m.Base == nil {
		return configlog.Change{}, fmt.Errorf("%w: base is missing", errChange)
	}
	for _, k := range changeKinds() {
		if k.name == m.Kind {
			return configlog.Change{
				ID: m.ID, Scope: m.Scope, Base: config.Version(*m.Base), Kind: k.kind, Author: m.Author, Body: []byte(m.Body),
			}, nil
		}
	}
	return configlog.Change{}, fmt.Errorf("%w: unknown kind of change %q", errChange, m.Kind)
}

func encodeChange(c configlog.Change) ([]byte, error) {
	base := int64(c.Base)
	return json.Marshal(changeMessage{
		ID: c.ID, Scope: c.Scope, Base: &base, Kind: changeName(c.Kind), Author: c.Author, Body: string(c.Body),
	})
}

func changeName(kind configlog.Kind) string {
	for _, k := range changeKinds() {
		if k.kind == kind {
			return k.name
		}
	}
	return ""
}

func documentToMessage(d Document) documentMessage {
	m := documentMessage{
		Name: d.Service, Version: int64(d.Version), Author: d.Author, ChangeID: d.ChangeID, Text: d.Text,
		DrainedTargets: append([]string{}, d.DrainedTargets...),
	}
	slices.Sort(m.DrainedTargets)
	if !d.Changed.IsZero() {
		m.Changed = d.Changed.UTC().Format(time.RFC3339Nano)
	}
	return m
}

func documentFromMessage(m documentMessage) (Document, error) {
	d := Document{
		Service: m.Name, Text: m.Text, Version: config.Version(m.Version), Author: m.Author, ChangeID: m.ChangeID,
		DrainedTargets: m.DrainedTargets,
	}
	if m.Changed == "" {
		return d, nil
	}
	changed, err := time.Parse(time.RFC3339Nano, m.Changed)
	if err != nil {
		return Document{}, fmt.Errorf("time of change: %w", err)
	}
	d.Changed = changed
	return d, nil
}

func instanceToMessage(i InstanceStatus) instanceMessage {
	return instanceMessage{
		ID: i.ID, Zone: i.Zone, State: string(i.State), Incarnation: i.Incarnation,
		CallerAddress: formatAddress(i.CallerAddress), PeerAddress: formatAddress(i.PeerAddress),
		AdminAddress: formatAddress(i.AdminAddress),
	}
}

func instanceFromMessage(m instanceMessage) (InstanceStatus, error) {
	i := InstanceStatus{ID: m.ID, Zone: m.Zone, State: InstanceState(m.State), Incarnation: m.Incarnation}
	var errs [3]error
	i.CallerAddress, errs[0] = parseAddress(m.CallerAddress)
	i.PeerAddress, errs[1] = parseAddress(m.PeerAddress)
	i.AdminAddress, errs[2] = parseAddress(m.AdminAddress)
	return i, errors.Join(errs[:]...)
}

// formatAddress writes an unknown address as an empty string.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func parseAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(text)
}

func statusToMessage(s Status) statusMessage {
	m := statusMessage{
		ID: s.ID, Zone: s.Zone, State: string(s.State), Incarnation: s.Incarnation, Version: int64(s.Version),
		Scopes: map[string]int64{}, DrainedInstances: append([]string{}, s.DrainedInstances...),
		Ready: s.Ready, Reason: s.Reason, InFlight: s.InFlight,
		Instances: []instanceMessage{}, Services: []serviceStatusMessage{},
	}
	for scope, version := range s.Scopes {
		m.Scopes[scope] = int64(version)
	}
	for _, i := range s.Instances {
		m.Instances = append(m.Instances, instanceToMessage(i))
	}
	for _, service := range s.Services {
		m.Services = append(m.Services, serviceToMessage(service))
	}
	return m
}

func serviceToMessage(s ServiceStatus) serviceStatusMessage {
	m := serviceStatusMessage{
		Name: s.Name, Version: int64(s.Version), InFlight: s.InFlight, Waiting: s.Waiting, MaxQueue: s.MaxQueue,
		Targets: []targetMessage{},
	}
	for _, t := range s.Targets {
		m.Targets = append(m.Targets, targetMessage{
			Name: t.Name, Address: formatAddress(t.Address), Zone: t.Zone, State: string(t.State), Reason: t.Reason,
			InFlight: t.InFlight, Limit: t.Limit, Slots: t.Slots,
		})
	}
	return m
}

func statusFromMessage(m statusMessage) (Status, error) {
	s := Status{
		ID: m.ID, Zone: m.Zone, State: InstanceState(m.State), Incarnation: m.Incarnation,
		Version: config.Version(m.Version), Scopes: map[string]config.Version{}, DrainedInstances: m.DrainedInstances,
		Ready: m.Ready, Reason: m.Reason, InFlight: m.InFlight,
	}
	for scope, version := range m.Scopes {
		s.Scopes[scope] = config.Version(version)
	}
	for _, im := range m.Instances {
		i, err := instanceFromMessage(im)
		if err != nil {
			return Status{}, fmt.Errorf("instance %s: %w", im.ID, err)
		}
		s.Instances = append(s.Instances, i)
	}
	for _, sm := range m.Services {
		service, err := serviceFromMessage(sm)
		if err != nil {
			return Status{}, fmt.Errorf("service %s: %w", sm.Name, err)
		}
		s.Services = append(s.Services, service)
	}
	return s, nil
}

func serviceFromMessage(m serviceStatusMessage) (ServiceStatus, error) {
	s := ServiceStatus{
		Name: m.Name, Version: config.Version(m.Version), InFlight: m.InFlight, Waiting: m.Waiting, MaxQueue: m.MaxQueue,
	}
	for _, tm := range m.Targets {
		address, err := parseAddress(tm.Address)
		if err != nil {
			return ServiceStatus{}, fmt.Errorf("target %s: %w", tm.Name, err)
		}
		s.Targets = append(s.Targets, TargetStatus{
			Name: tm.Name, Address: address, Zone: tm.Zone, State: TargetState(tm.State), Reason: tm.Reason,
			InFlight: tm.InFlight, Limit: tm.Limit, Slots: tm.Slots,
		})
	}
	return s, nil
}

// The parameters of a timeline query.
const (
	paramSince   = "since"
	paramUntil   = "until"
	paramRequest = "request"
	paramTarget  = "target"
	paramService = "service"
	paramLimit   = "limit"
)

// decodeFilter reads a filter. An unknown parameter is refused, since a
// misspelt filter would silently select everything.
func decodeFilter(args *fasthttp.Args) (timeline.Filter, error) {
	var f timeline.Filter
	for key, value := range args.All() {
		var err error
		text := string(value)
		switch name := string(key); name {
		case paramSince:
			f.After, err = ParseStamp(text)
		case paramUntil:
			f.Before, err = ParseStamp(text)
		case paramRequest:
			f.Request = text
		case paramTarget:
			f.Target = text
		case paramService:
			f.Service = text
		case paramLimit:
			f.Limit, err = strconv.Atoi(text)
			if err == nil && f.Limit < 0 {
				err = fmt.Errorf("negative number %d", f.Limit)
			}
		default:
			err = errors.New("unknown parameter")
		}
		if err != nil {
			return timeline.Filter{}, fmt.Errorf("parameter %q, value %q: %w", key, text, err)
		}
	}
	return f, nil
}

func encodeFilter(f timeline.Filter) string {
	var args fasthttp.Args
	if f.After != 0 {
		args.Set(paramSince, strconv.FormatUint(uint64(f.After), 10))
	}
	if f.Before != 0 {
		args.Set(paramUntil, strconv.FormatUint(uint64(f.Before), 10))
	}
	if f.Limit != 0 {
		args.SetUint(paramLimit, f.Limit)
	}
	for _, p := range [][2]string{{paramRequest, f.Request}, {paramTarget, f.Target}, {paramService, f.Service}} {
		if p[1] != "" {
			args.Set(p[0], p[1])
		}
	}
	return args.String()
}

// ParseStamp reads a stamp, or the time of one in the form of RFC 3339.
func ParseStamp(text string) (timeline.Stamp, error) {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return timeline.Stamp(n), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, errors.New("neither a stamp nor a time such as 2026-01-02T15:04:05Z")
	}
	return timeline.StampAt(t), nil
}

func writeJSON(ctx *fasthttp.RequestCtx, m any) { writeStatus(ctx, fasthttp.StatusOK, m) }

func writeError(ctx *fasthttp.RequestCtx, kind errorKind, text string) {
	writeStatus(ctx, kind.status, errorMessage{Error: text, Kind: kind.name})
}

func writeStatus(ctx *fasthttp.RequestCtx, status int, m any) {
	body, err := json.Marshal(m)
	if err != nil {
		status, body = kindInternal.status, []byte(`{"error":"answer cannot be encoded","kind":"internal"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func versionOf(fleet *config.Fleet, scope string) config.Version {
	if version, ok := fleet.ScopeVersions[scope]; ok {
		return version
	}
	return config.NoVersion
}

// SortedServices returns the services of a fleet by name.
func SortedServices(fleet *config.Fleet) []*config.Service {
	all := make([]*config.Service, 0, len(fleet.Services))
	for _, s := range fleet.Services {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *config.Service) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func sortedKeys(set map[string]bool) []string {
	var keys []string
	for key, in := range set {
		if in {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
