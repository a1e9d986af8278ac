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

// restoreMessage is the JSON form of a restoration.
type restoreMessage struct {
	AgeMS int64 `json:"age_ms"`
}

// rewriteMessage names the topic whose lost records are appended again.
type rewriteMessage struct {
	Topic string `json:"topic"`
}

// handleControl handles control requests: PUT /standin/faults, POST /standin/expire,
// POST /standin/restore, POST /standin/rewrite and GET /standin/calls.
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
	case controlPrefix + "restore":
		var m restoreMessage
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.Restore(time.Duration(m.AgeMS) * time.Millisecond)
	case controlPrefix + "rewrite":
		var m rewriteMessage
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.Rewrite(m.Topic)
	case controlPrefix + "calls":
		writeJSON(ctx, s.Calls())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
