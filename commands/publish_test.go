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

// fakeStore is a store with one value. concurrent, if set, replaces the value
// after the next read, as if another operator published between read and append.
// restored, if set, replaces the store then, as if it was restored from a copy.
type fakeStore struct {
	value      []byte
	end        platform.Position
	concurrent []byte
	restored   *fakeStore
	appendErr  error // returned by AppendAt if set
}

func (s *fakeStore) Newest(context.Context, platform.Topic) (platform.Batch, error) {
	b := platform.Batch{Next: s.end}
	if s.value != nil {
		b.Records = []platform.Record{{Key: platform.ConfigKey, Value: s.value}}
	}
	if s.concurrent != nil {
		s.value, s.concurrent = s.concurrent, nil
		s.end.Offset++
	}
	if s.restored != nil {
		*s = *s.restored
	}
	return b, nil
}

func (s *fakeStore) AppendAt(_ context.Context, _ platform.Topic, at platform.Position, _ string, value []byte) (platform.Position, error) {
	if s.appendErr != nil {
		return platform.Position{}, s.appendErr
	}
	if at.Offset != s.end.Offset {
		return platform.Position{}, platform.ErrConflict
	}
	s.value = value
	s.end.Offset++
	return s.end, nil
}

func parse(t *testing.T, name string) *config.Document {
	t.Helper()
	text, err := os.ReadFile("../java/testdata/" + name + ".ini")
	assert.NilError(t, err)
	d, err := config.Parse(text)
	assert.NilError(t, err)
	return d
}

// Guards against a version that does not increase, and against overwriting a
// change that another operator publishes between the read and the append. Also
// guards against reporting that nothing was published when only the response of
// the store was lost.
func TestPublish(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{}
	var out bytes.Buffer
	assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), nil, &out))
	assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), nil, &out))
	assert.NilError(t, Publish(ctx, s, parse(t, "hanbit"), nil, &out))
	assert.Equal(t, out.String(), "published version 1\nunchanged at version 1\npublished version 2\n")

	latest, _, err := LatestConfig(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, latest.Version, int64(2))
	assert.Equal(t, string(config.Format(latest)), string(config.Format(parse(t, "hanbit"))))

	concurrent := *parse(t, "kessler")
	concurrent.Version = 9
	s.concurrent, err = platform.EncodeDocument(&concurrent, 2, nil)
	assert.NilError(t, err)
	changed := *parse(t, "hanbit")
	changed.Limits.MaxBodyBytes = 7
	assert.ErrorIs(t, Publish(ctx, s, &changed, nil, &out), platform.ErrConflict)
	latest, _, err = LatestConfig(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, latest.Version, int64(9))

	s.appendErr = platform.ErrUnavailable
	err = Publish(ctx, s, &changed, nil, &out)
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, ErrOutcomeUnknown))
	s.appendErr = errors.New("connection lost")
	assert.ErrorIs(t, Publish(ctx, s, &changed, nil, &out), ErrOutcomeUnknown)
}

// Guards against a version that counts as published or as rejected although it was
// appended to a store that was restored since the operator's configuration was read.
func TestPublishDuringRestoration(t *testing.T) {
	tests := []struct {
		name     string
		copyEnd  int64 // the position of the read is 2
		want     error
		notWant  []error
		appended bool
	}{
		{"end at the position", 2, ErrAppendedToRestored, []error{platform.ErrConflict, ErrOutcomeUnknown}, true},
		{"end below the position", 1, platform.ErrConflict, []error{ErrAppendedToRestored, ErrOutcomeUnknown}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx := context.Background()
			s := &fakeStore{end: platform.Position{Era: 1}}
			var out bytes.Buffer
			assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), nil, &out))
			first := s.value
			assert.NilError(t, Publish(ctx, s, parse(t, "hanbit"), nil, &out))
			out.Reset()
			s.restored = &fakeStore{value: first, end: platform.Position{Era: 2, Offset: tt.copyEnd}}
			changed := *parse(t, "hanbit")
			changed.Limits.MaxBodyBytes = 7
			err := Publish(ctx, s, &changed, nil, &out)
			assert.ErrorIs(t, err, tt.want)
			assert.Equal(t, errors.Is(err, platform.ErrRestored), tt.appended)
			for _, other := range tt.notWant {
				assert.Assert(t, !errors.Is(err, other), "%v", err)
			}
			assert.Equal(t, out.String(), "")
			assert.Equal(t, s.end.Offset > tt.copyEnd, tt.appended)
		})
	}
}

// Guards against a confirmed version that was lost with a copy and cannot be published
// again, or only with another number than instances have in force.
func TestPublishAfterRestoration(t *testing.T) {
	ctx := context.Background()
	s := &fakeStore{end: platform.Position{Era: 1}}
	var out bytes.Buffer
	assert.NilError(t, Publish(ctx, s, parse(t, "kessler"), nil, &out))
	first := s.value
	assert.NilError(t, Publish(ctx, s, parse(t, "hanbit"), nil, &out))
	lost := s.value
	*s = fakeStore{value: first, end: platform.Position{Era: 2, Offset: 1}}
	assert.NilError(t, Publish(ctx, s, parse(t, "hanbit"), nil, &out))
	assert.Equal(t, out.String(), "published version 1\npublished version 2\npublished version 2\n")
	assert.Equal(t, string(s.value), string(lost))
}
