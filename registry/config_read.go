package registry

import (
	"context"
	"time"

	"rhubarbrelay/platform"
)

// read long-polls for the versions from the position on or, if it is unknown, reads
// the newest one without waiting. It returns the position for the next read.
func (f *ConfigFollower) read(ctx context.Context, from platform.Position) (platform.Position, error) {
	if from == unknownPosition {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		start := time.Now()
		batch, err := f.store.Newest(ctx, platform.ConfigTopic)
		if err != nil {
			return platform.Position{}, err
		}
		f.applyNewest(batch)
		f.readAt.Store(&start)
		return batch.Next, nil
	}
	wait := longPollTimeout
	if f.role.ReadOrder() == 0 || f.role.IsReader() {
		wait = firstLongPollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	batch, err := f.store.Read(ctx, platform.ConfigTopic, from, wait)
	if err != nil {
		return platform.Position{}, err
	}
	f.applyBatch(from, batch)
	return batch.Next, nil
}

func (f *ConfigFollower) applyRecords(records []platform.Record) {
	for _, r := range records {
		if r.Key == platform.ConfigKey && r.Value != nil {
			f.applyPublished(r.Value)
		}
	}
}
