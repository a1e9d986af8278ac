package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
	"rhubarbrelay/membership"
)

// fetchTimeout bounds the reading of another instance's configuration.
const fetchTimeout = time.Second

// fetchConfig reads the configuration of another instance.
func (d *Daemon) fetchConfig(other membership.Instance) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+other.AdminAddress.String()+admin.ConfigPath, fetchTimeout)
	if err != nil || status != fasthttp.StatusOK {
		d.logger.WithField("peer", other.ID).WithField("status", status).WithField("error", err).
			Warn("newer configuration of an instance cannot be read")
		return
	}
	d.config.Offer(body, other.ID)
}
