package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// controlPrefix begins the paths by which tests steer a stand-in that runs as a
// process of its own.
const controlPrefix = "/standin/"

// faultsMessage is Faults on the wire.
type faultsMessage struct {
	Down             bool     `json:"down"`
	Throttled        bool     `json:"throttled"`
	Full             bool     `json:"full"`
	Silent           bool     `json:"silent"`
	DropResponses    bool     `json:"lose_answers"`
	DelayMS          int64    `json:"delay_ms"`
	RefusedAddresses []string `json:"refused"`
}

// control steers the store: PUT /standin/faults, POST /standin/expire and
// GET /standin/calls.
func (s *Store) control(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case controlPrefix + "faults":
		var m faultsMessage
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(Faults{
			Down: m.Down, Throttled: m.Throttled, Full: m.Full, Silent: m.Silent, DropResponses: m.DropResponses,
			Delay: time.Duration(m.DelayMS) * time.Millisecond, RefusedAddresses: m.RefusedAddresses,
		})
	case controlPrefix + "expire":
		s.Expire()
	case controlPrefix + "calls":
		writeJSON(ctx, s.Calls())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
