package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// controlPrefix is the prefix of the paths with which tests control a stand-in
// that runs in a separate process.
const controlPrefix = "/standin/"

// faultsMessage is the JSON form of Faults.
type faultsMessage struct {
	Down             bool     `json:"down"`
	Throttled        bool     `json:"throttled"`
	Full             bool     `json:"full"`
	Silent           bool     `json:"silent"`
	DropResponses    bool     `json:"lose_answers"`
	DelayMS          int64    `json:"delay_ms"`
	RefusedAddresses []string `json:"refused"`
}

// handleControl handles control requests: PUT /standin/faults, POST
// /standin/expire and GET /standin/calls.
func (s *Store) handleControl(ctx *fasthttp.RequestCtx, path string) {
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
