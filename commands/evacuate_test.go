package commands

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/platform"
	"rhubarbrelay/targets"
)

// keyedStore holds the newest values of the keys of all topics.
type keyedStore struct {
	values map[platform.Topic]map[string][]byte
	err    error // returned by Append if set
}

func (s *keyedStore) Newest(_ context.Context, topic platform.Topic) (platform.Batch, error) {
	var b platform.Batch
	for key, value := range s.values[topic] {
		b.Records = append(b.Records, platform.Record{Key: key, Value: value})
	}
	return b, nil
}

func (s *keyedStore) Append(_ context.Context, topic platform.Topic, key string, value []byte) (platform.Position, error) {
	if s.err != nil {
		return platform.Position{}, s.err
	}
	s.values[topic][key] = value
	return platform.Position{}, nil
}

// Guards against an evacuation of a misspelt zone that nobody notices, and against one
// that seems to have failed although only the response of the store was lost.
func TestEvacuate(t *testing.T) {
	ctx := context.Background()
	value, err := platform.EncodeTarget(&targets.Target{
		ID: "t-1", StartedMS: 1, Service: "s", Zone: "north", Version: "v", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	})
	assert.NilError(t, err)
	s := &keyedStore{values: map[platform.Topic]map[string][]byte{
		platform.ConfigTopic: {"config": []byte("{}")}, platform.TargetTopic: {"t-1": value, "odd": []byte("{"), "gone": nil},
	}}
	var out bytes.Buffer
	assert.NilError(t, Evacuate(ctx, s, "north", &out))
	assert.NilError(t, Evacuate(ctx, s, "nroth", &out))
	assert.NilError(t, EndEvacuation(ctx, s, "nroth", &out))
	assert.NilError(t, ListEvacuations(ctx, s, &out))
	assert.Equal(t, out.String(), "zone north is evacuated\nregistered targets in this zone: 1\n"+
		"zone nroth is evacuated\nwarning: no target is registered in zone nroth\nzone nroth is not evacuated any more\nnorth\n")
	assert.Equal(t, string(s.values[platform.ConfigTopic]["evacuate/north"]), "{}")
	assert.ErrorIs(t, Evacuate(ctx, s, "", &out), ErrInvalidZone)

	s.err = platform.ErrUnavailable
	assert.Assert(t, !errors.Is(Evacuate(ctx, s, "south", &out), ErrOutcomeUnknown))
	s.err = errors.New("connection lost")
	assert.ErrorIs(t, Evacuate(ctx, s, "south", &out), ErrOutcomeUnknown)
}
