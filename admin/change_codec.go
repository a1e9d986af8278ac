package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
)

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
