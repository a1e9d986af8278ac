package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
)

// fetchTimeout bounds the request for another instance's configuration.
const fetchTimeout = 500 * time.Millisecond

// fetchConfig reads the configuration of an instance with a version above the
// given one, and returns it with the ID of that instance. raw is nil if there is
// no such instance or it cannot be read.
func (d *Daemon) fetchConfig(version int64) (raw []byte, source string) {
	peer, ok := d.members.WithNewerConfig(version)
	if !ok {
		return nil, ""
	}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+peer.AdminAddress.String()+admin.ConfigPath, fetchTimeout)
	if err != nil || status != fasthttp.StatusOK {
		d.logger.WithField("peer", peer.ID).WithField("status", status).WithField("error", err).
			Warn("cannot read the newer configuration of another instance")
		return nil, ""
	}
	return body, peer.ID
}
