package peer

import (
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"rhubarbrelay/membership"
	"rhubarbrelay/peer/peerpb"
)

// Guards against bytes from outside that make the codec fail, take a frame
// above the limit, or read past the end of a frame.
func FuzzReadFrame(f *testing.F) {
	hello, err := encodeFrame(&peerpb.Frame{Message: &peerpb.Frame_Hello{Hello: &peerpb.Hello{
		Magic: protocolMagic, Protocol: protocolVersion, Sender: &peerpb.InstanceInfo{Id: "a"},
	}}}, controlFrameLimit)
	assert.NilError(f, err)
	f.Add(hello)
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		const limit = 1024
		r := bytes.NewReader(b)
		frame, err := readFrame(r, limit)
		if err != nil {
			return
		}
		assert.Assert(t, len(b)-r.Len() <= limit+lengthBytes)
		again, err := encodeFrame(frame, 2*limit)
		assert.NilError(t, err)
		copied, err := readFrame(bytes.NewReader(again), 2*limit)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(frame, copied))
		if n := frame.GetNews(); n != nil {
			_, _ = decodeNews(n.GetInstances(), n.GetTargets(), time.Now())
		}
	})
}

// Guards against memory that is taken for the stated length of a frame before
// its bytes have arrived.
func TestReadFrameMemoryFollowsArrival(t *testing.T) {
	announced := []byte{0, 0x40, 0, 0, 1, 2, 3}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := readFrame(bytes.NewReader(announced), configFrameLimit)
			assert.ErrorContains(b, err, "frame ends after 3 of 4194304 bytes")
		}
	})
	assert.Assert(t, result.AllocedBytesPerOp() < 8<<10, "%d bytes", result.AllocedBytesPerOp())
}

// Guards against a batch of the largest entries that does not fit a frame.
func TestBatchFitsFrame(t *testing.T) {
	name := string(bytes.Repeat([]byte{'x'}, maxNameBytes))
	address := "[2001:db8:1111:2222:3333:4444:5555:6666]:65535"
	sync := &peerpb.Sync{}
	for range batchSize {
		sync.Instances = append(sync.Instances, &peerpb.InstanceInfo{
			Id: name, Zone: name, Incarnation: 1 << 62, Sequence: 1 << 62,
			CallerAddress: address, PeerAddress: address, AdminAddress: address, State: peerpb.State_STATE_DEAD,
		})
		sync.Targets = append(sync.Targets, &peerpb.TargetNews{Address: address, Draining: true, Clock: 1 << 63})
	}
	_, err := encodeFrame(&peerpb.Frame{Message: &peerpb.Frame_Sync{Sync: sync}}, controlFrameLimit)
	assert.NilError(t, err)
	news, err := decodeNews(sync.GetInstances(), nil, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, len(batches(membership.News{Instances: append(news.Instances, news.Instances[0])})), 2)
}

// Guards against news that is relayed twice or, when reordered, not at all,
// and against origins that fill the memory.
func TestSeen(t *testing.T) {
	s := newSeen()
	now := time.Unix(1, 0)
	for _, step := range []struct {
		incarnation int64
		sequence    uint64
		want        bool
	}{
		{1, 1, true},
		{1, 1, false},
		{1, 3, true},
		{1, 2, true},
		{1, 2, false},
		{1, 100, true},
		{1, 3, false},
		{1, 99, true},
		{2, 1, true},
		{1, 101, false},
		{2, 1, false},
	} {
		assert.Equal(t, s.add("a", step.incarnation, step.sequence, now), step.want, "%+v", step)
	}
	for i := range 2 * maxOrigins {
		s.add(string(rune(i+1000)), 1, 1, now.Add(time.Duration(i)))
	}
	assert.Equal(t, len(s.origins), maxOrigins)
}
