package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
)

// fetchTimeout limits the request for another instance's configuration.
const fetchTimeout = 500 * time.Millisecond

// fetchConfig fetches a configuration newer than version from another instance and
// returns it with the ID of that instance. raw is nil if no instance is known to
// have one or it cannot be fetched.
func (d *Daemon) fetchConfig(version int64) (raw []byte, source string) {
	peer, ok := d.members.PeerWithNewerConfig(version)
	if !ok {
		return nil, ""
	}
	status, body, err := d.peerClient.GetTimeout(nil, "http://"+peer.AdminAddress.String()+admin.ConfigPath, fetchTimeout)
	if err != nil || status != fasthttp.StatusOK {
		d.logger.WithField("peer", peer.ID).WithField("status", status).WithField("error", err).
			Warn("newer configuration cannot be fetched from another instance")
		return nil, ""
	}
	return body, peer.ID
}
