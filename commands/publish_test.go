package commands

import (
	"bytes"
	"context"
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrelay/config"
	"rhubarbrelay/platform"
)

// fakeStore is a store with one value that another operator may change between
// the reading and the writing.
type fakeStore struct {
	value    []byte
	end      int64
	rival    []byte
	appended error // the failure of appends
}

func (s *fakeStore) Newest(context.Context, platform.Topic) (platform.Batch, error) {
	b := platform.Batch{Next: s.end}
	if s.value != nil {
		b.Records = []platform.Record{{Key: platform.ConfigKey, Value: s.value}}
	}
	if s.rival != nil {
		s.value, s.end, s.rival = s.rival, s.end+1, nil
	}
	return b, nil
}

func (s *fakeStore) AppendAt(_ context.Context, _ platform.Topic, at int64, _ string, value []byte) error {
	if s.appended != nil {
		return s.appended
	}
	if at != s.end {
		return platform.ErrConflict
	}
	s.value, s.end = value, s.end+1
	return nil
}

func parse(t *testing.T, name string) *config.Document {
	t.Helper()
	text, err := os.ReadFile("../java/testdata/" + name + ".ini")
	assert.NilError(t, err)
	d, err := config.Parse(text)
	assert.NilError(t, err)
	return d
}

// Guards against a change that overwrites another one, a version that does not
// grow, and a lost answer that is taken for a failure.
func TestPublish(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{}
	var out bytes.Buffer
	assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), &out))
	assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), &out))
	assert.NilError(t, Publish(ctx, s, parse(t, "hanbit"), &out))
	assert.Equal(t, out.String(), "published version 1\nunchanged at version 1\npublished version 2\n")

	now, _, err := LatestConfig(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, now.Version, int64(2))
	assert.Equal(t, string(config.Format(now)), string(config.Format(parse(t, "hanbit"))))

	rival := *parse(t, "kessler")
	rival.Version = 9
	s.rival, err = platform.EncodeDocument(&rival, 2)
	assert.NilError(t, err)
	changed := *parse(t, "hanbit")
	changed.Limits.MaxBodyBytes = 7
	assert.ErrorIs(t, Publish(ctx, s, &changed, &out), platform.ErrConflict)
	now, _, err = LatestConfig(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, now.Version, int64(9))

	s.appended = platform.ErrUnavailable
	err = Publish(ctx, s, &changed, &out)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown))
	s.appended = errors.New("connection lost")
	assert.ErrorIs(t, Publish(ctx, s, &changed, &out), ErrOutcomeUnknown)
}
