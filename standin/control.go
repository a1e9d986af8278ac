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
	Reset            bool     `json:"reset"`
	DropResponses    bool     `json:"lose_answers"`
	DelayMS          int64    `json:"delay_ms"`
	RefusedAddresses []string `json:"refused"`
}

// restoreMessage is the JSON form of a restoration. Without an age, the last copy
// made by a control request is used.
type restoreMessage struct {
	AgeMS int64 `json:"age_ms"`
}

// rewriteMessage names the topic whose lost records are appended again, all or only
// the newest of each key.
type rewriteMessage struct {
	Topic  string `json:"topic"`
	Newest bool   `json:"newest"`
}

// handleControl handles control requests: PUT /standin/faults, POST /standin/expire,
// POST /standin/copy, POST /standin/restore, POST /standin/rewrite and GET
// /standin/calls.
func (s *Store) handleControl(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case controlPrefix + "faults":
		var m faultsMessage
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(Faults{
			Down: m.Down, Throttled: m.Throttled, Full: m.Full, Silent: m.Silent, Reset: m.Reset, DropResponses: m.DropResponses,
			Delay: time.Duration(m.DelayMS) * time.Millisecond, RefusedAddresses: m.RefusedAddresses,
		})
	case controlPrefix + "expire":
		s.Expire()
	case controlPrefix + "copy":
		s.Copy()
	case controlPrefix + "restore":
		var m restoreMessage
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if m.AgeMS == 0 {
			s.RestoreCopy()
			return
		}
		s.Restore(time.Duration(m.AgeMS) * time.Millisecond)
	case controlPrefix + "rewrite":
		var m rewriteMessage
		if err := json.Unmarshal(ctx.PostBody(), &m); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		if m.Newest {
			s.RewriteNewest(m.Topic)
			return
		}
		s.Rewrite(m.Topic)
	case controlPrefix + "calls":
		writeJSON(ctx, s.Calls())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
