package standin

import (
	"context"
	"net/netip"
	"time"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// Appender appends records to the store in which targets register.
type Appender interface {
	Append(ctx context.Context, topic platform.Topic, key string, value []byte) (platform.Position, error)
}

// Register registers the target once per interval and at each change of its state
// until the context ends, then removes its registration.
func (t *Target) Register(ctx context.Context, store Appender, interval time.Duration) error {
	for sequence := int64(1); ; sequence++ {
		registration := t.registration
		registration.Sequence, registration.State = sequence, targets.State(t.state.Load())
		registration.WarmupLeft, _ = t.coldLeft()
		value, err := platform.EncodeTarget(&registration)
		if err != nil {
			return err
		}
		// A registration that is lost in an outage of the store is not retried, as the
		// next one follows.
		_, _ = store.Append(ctx, platform.TargetTopic, registration.ID, value)
		select {
		case <-ctx.Done():
			removeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := store.Append(removeCtx, platform.TargetTopic, registration.ID, nil)
			return err
		case <-t.stateChanged:
		case <-time.After(interval):
		}
	}
}

// NewRegistration returns the registration of a target that starts now at the
// address.
func NewRegistration(id, service, zone string, slots int, address netip.AddrPort) targets.Target {
	return targets.Target{
		ID: id, StartedMS: time.Now().UnixMilli(), Service: service, Zone: zone, Version: "v1", Slots: slots, Address: address,
	}
}
