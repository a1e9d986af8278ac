package relay

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/entry"
	"rhubarbrelay/header"
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

func (s *Server) handleReserved(req *fasthttp.Request, resp *fasthttp.Response, c *call) {
	uri := req.URI()
	if string(uri.Path()) != header.EntryPath || !req.Header.IsGet() {
		s.fail(resp, c, notRun(fasthttp.StatusNotFound, "no such path"))
		return
	}
	service, ok := s.fleet.Fleet().Services[string(uri.QueryArgs().Peek("service"))]
	if !ok {
		s.fail(resp, c, notRun(fasthttp.StatusNotFound, "unknown service"))
		return
	}
	body, err := encodeEntry(s.planner.Plan(service, string(uri.QueryArgs().Peek("zone"))))
	if err != nil {
		s.fail(resp, c, notRun(fasthttp.StatusInternalServerError, err.Error()).because(refusedInternal))
		return
	}
	resp.Header.SetContentType("application/json")
	resp.Header.Set(header.RequestID, c.id)
	resp.SetBody(body)
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
