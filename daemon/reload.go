package daemon

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"rhubarbrelay/settings"
)

// settingsInterval is the time between two looks at whether the settings file
// has changed without a signal.
const settingsInterval = 5 * time.Second

// WatchSettings reads the settings again after a signal, or when the file has
// changed, until the context ends.
func WatchSettings(ctx context.Context, path string, hangups <-chan os.Signal, reload func(*settings.Settings, error)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		reload(settings.Load(path))
	}
}

// modified returns the time of the last change of a file. A file that cannot be
// read gives the zero time; the reading of the settings reports it.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Reload puts changed settings into force. It interrupts no request. Settings
// that cannot be read leave the present ones in force, and a change of
// addresses takes effect at the next start.
func (d *Daemon) Reload(s *settings.Settings, err error) {
	if err != nil {
		d.logger.WithError(err).Error("settings cannot be read again, the present ones stay in force")
		return
	}
	d.table.SetSettings(termsOf(s))
	d.desk.SetTTL(s.Callers.EntryTTL)
	d.logger.WithFields(log.Fields{
		"entry_ttl": s.Callers.EntryTTL.String(), "retry_ratio": s.Budgets.RetryRatio, "retry_slack": s.Budgets.RetrySlack,
		"probes_per_second": s.Budgets.ProbesPerSecond,
	}).Info("settings read again")
}
