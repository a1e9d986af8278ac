package admin

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/timeline"
)

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
