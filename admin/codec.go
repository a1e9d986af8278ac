package admin

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/config"
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
