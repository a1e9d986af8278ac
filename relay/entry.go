package relay

import (
	"encoding/json"

	"rhubarbrelay/entry"
	"rhubarbrelay/header"

	"github.com/valyala/fasthttp"
)

// entryMessage is the entry answer on the wire.
type entryMessage struct {
	TTLMS     int64                 `json:"ttl_ms"`
	Addresses []entryAddressMessage `json:"addresses"`
}

// entryAddressMessage is one address of the entry answer on the wire.
type entryAddressMessage struct {
	Address   string `json:"address"`
	Instance  string `json:"instance"`
	Zone      string `json:"zone"`
	KeyPrefix string `json:"key_prefix"`
}

func (s *Server) handleReserved(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != header.EntryPath || !ctx.IsGet() {
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	service, ok := s.fleet.Fleet().Services[string(ctx.QueryArgs().Peek("service"))]
	if !ok {
		refuse(ctx, fasthttp.StatusNotFound, "unknown service")
		return
	}
	body, err := encodeEntry(s.planner.Plan(service, string(ctx.QueryArgs().Peek("zone"))))
	if err != nil {
		refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func encodeEntry(answer entry.Answer) ([]byte, error) {
	m := entryMessage{TTLMS: answer.TTL.Milliseconds(), Addresses: []entryAddressMessage{}}
	for _, a := range answer.Addresses {
		m.Addresses = append(m.Addresses, entryAddressMessage{
			Address: a.Address.String(), Instance: a.Instance, Zone: a.Zone, KeyPrefix: a.KeyPrefix,
		})
	}
	return json.Marshal(m)
}
