package daemon

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/settings"
)

// settingsPollInterval is the time between checks of the settings file for a
// change without a signal.
const settingsPollInterval = 5 * time.Second

// WatchSettings loads the settings again after a signal or a change of the file,
// until the context ends.
func WatchSettings(ctx context.Context, path string, hangups <-chan os.Signal, reload func(*settings.Settings, error)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(path).Equal(last) {
				continue
			}
		}
		last = modTime(path)
		reload(settings.Load(path))
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// cannot be accessed: loading the settings reports that error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload applies the changed entry TTL, retry limits, probe rate and limits of quotas
// without interrupting requests. It also applies a changed zone, but only to the routing.
// All other changes, such as addresses, take effect only after a restart. If the
// settings cannot be loaded, the current ones stay active.
func (d *Daemon) Reload(s *settings.Settings, err error) {
	if err != nil {
		d.logger.WithError(err).Error("settings cannot be reloaded; the current ones stay active")
		return
	}
	d.table.SetSettings(d.routingSettings(s))
	d.quotas.SetLimits(quotaLimits(s))
	d.entryServer.SetTTL(s.Callers.EntryTTL)
	d.logger.WithFields(log.Fields{
		"entry_ttl": s.Callers.EntryTTL.String(), "retry_ratio": s.Budgets.RetryRatio, "retry_slack": s.Budgets.RetrySlack,
		"probes_per_second": s.Budgets.ProbesPerSecond,
	}).Info("settings reloaded")
}
