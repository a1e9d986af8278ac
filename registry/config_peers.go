package registry

import (
	"context"
	"time"
)

// RecordPeerVersion records the version that an instance reading the store has reported.
func (f *ConfigFollower) RecordPeerVersion(version int64) {
	f.mu.Lock()
	newer := version > f.peerVersion
	f.peerVersion, f.peerVersionAt = max(f.peerVersion, version), time.Now()
	f.mu.Unlock()
	signal(f.wakeup)
	if newer && f.readInProgress.Load() && f.behind() {
		f.Refresh() // the read in progress may be waiting for a response that was lost
	}
}

// Wake makes the follower check its position in the read order again.
func (f *ConfigFollower) Wake() { signal(f.wakeup) }

// waitUntilReadDue waits until the store should be read or the context ends. A
// watcher reads it at once. Any other instance reads it when a newer version has
// been reported but cannot be fetched from another instance, or when no version has
// been reported for peerVersionTimeout although the store is available.
func (f *ConfigFollower) waitUntilReadDue(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		if f.peerVersionAt.IsZero() {
			f.peerVersionAt = time.Now() // allow the other instances to report after a start
		}
		remaining := peerVersionTimeout - time.Since(f.peerVersionAt)
		f.mu.Unlock()
		if remaining <= 0 && f.role.StoreFailing() {
			remaining = peerVersionTimeout // reads of the target registry detect when the store is available again
		}
		if remaining <= 0 || f.IsWatcher() || f.behind() && !f.fetchFromPeer() {
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
		case <-f.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// IsWatcher reports whether this instance long-polls the store for new versions.
func (f *ConfigFollower) IsWatcher() bool {
	return f.role.IsReader() || f.role.ReadOrder() < watcherCount
}

// CatchUp fetches a newer version from another instance, if there is one. It then
// restarts a read in progress, because the response that contains this version may
// have been lost with its connection.
func (f *ConfigFollower) CatchUp() {
	previous := f.current.Load()
	f.fetchFromPeer()
	if f.current.Load() != previous && f.readInProgress.Load() {
		f.Refresh()
	}
}

// behind reports whether another instance has reported a newer version.
func (f *ConfigFollower) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	return current == nil && f.peerVersion > 0 || current != nil && f.peerVersion > current.Version
}

// fetchFromPeer fetches a newer version from another instance, if one has it, which
// avoids a call to the store. It reports whether this instance is up to date
// afterwards.
func (f *ConfigFollower) fetchFromPeer() bool {
	version := int64(0)
	if current := f.current.Load(); current != nil {
		version = current.Version
	}
	raw, source := f.fetch(version)
	if raw != nil {
		f.ApplyIfNewer(raw, source)
	}
	return !f.behind()
}
