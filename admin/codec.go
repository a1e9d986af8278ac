package admin

import (
	"encoding/json"
	"fmt"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"

	"github.com/valyala/fasthttp"
)

// changeMessage is a configuration change on the wire.
type changeMessage struct {
	ID     string `json:"id"`
	Scope  string `json:"scope"`
	Base   int64  `json:"base"`
	Kind   string `json:"kind"`
	Author string `json:"author"`
	Body   string `json:"body"`
}

// resultMessage is the result of a change on the wire.
type resultMessage struct {
	Version int64 `json:"version"`
}

// statusMessage is the state of an instance on the wire.
type statusMessage struct {
	Version int64            `json:"version"`
	Scopes  map[string]int64 `json:"scopes"`
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
	if err := json.Unmarshal(body, &m); err != nil {
		return configlog.Change{}, err
	}
	for _, k := range changeKinds() {
		if k.name == m.Kind {
			return configlog.Change{
				ID: m.ID, Scope: m.Scope, Base: config.Version(m.Base), Kind: k.kind, Author: m.Author, Body: []byte(m.Body),
			}, nil
		}
	}
	return configlog.Change{}, fmt.Errorf("unknown kind of change %q", m.Kind)
}

func encodeChange(c configlog.Change) ([]byte, error) {
	m := changeMessage{ID: c.ID, Scope: c.Scope, Base: int64(c.Base), Author: c.Author, Body: string(c.Body)}
	for _, k := range changeKinds() {
		if k.kind == c.Kind {
			m.Kind = k.name
		}
	}
	return json.Marshal(m)
}

func writeJSON(ctx *fasthttp.RequestCtx, m any) {
	body, err := json.Marshal(m)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
