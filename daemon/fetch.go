package daemon

import (
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbrelay/admin"
)

// fetchTimeout bounds the reading of another instance's configuration.
const fetchTimeout = 500 * time.Millisecond

// fetchConfig reads the configuration of an instance that has one above the
// version, which it returns with the name of the instance.
func (d *Daemon) fetchConfig(above int64) (raw []byte, source string) {
	other, ok := d.members.Newer(above)
	if !ok {
		return nil, ""
	}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+other.AdminAddress.String()+admin.ConfigPath, fetchTimeout)
	if err != nil || status != fasthttp.StatusOK {
		d.logger.WithField("peer", other.ID).WithField("status", status).WithField("error", err).
			Warn("newer configuration of an instance cannot be read")
		return nil, ""
	}
	return body, other.ID
}
