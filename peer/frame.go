package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"rhubarbrelay/peer/peerpb"
)

const (
	// controlFrameLimit bounds every frame but those that carry a snapshot of
	// the configuration, in bytes.
	controlFrameLimit = 64 << 10
	// configFrameLimit bounds a frame with a snapshot. 1,000 targets are about
	// 100 KB.
	configFrameLimit = 4 << 20
	// lengthBytes is the size of the big-endian length before each frame.
	lengthBytes = 4
)

// The errors of a session whose peer does not keep to the protocol.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	ErrForeign       = errors.New("not a message of this protocol")
)

// encodeFrame returns the frame with its length in front.
func encodeFrame(f *peerpb.Frame, limit int) ([]byte, error) {
	size := proto.Size(f)
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, size, limit)
	}
	b := make([]byte, lengthBytes, lengthBytes+size)
	binary.BigEndian.PutUint32(b, uint32(size))
	return proto.MarshalOptions{}.MarshalAppend(b, f)
}

// readFrame reads one frame. Memory grows with the bytes that arrive, not with
// the length that the sender states.
func readFrame(r io.Reader, limit int) (*peerpb.Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > int64(limit) {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrFrameTooLarge, size, limit)
	}
	var body bytes.Buffer
	n, err := io.CopyN(&body, r, size)
	if err != nil {
		return nil, fmt.Errorf("frame ends after %d of %d bytes: %w", n, size, err)
	}
	f := &peerpb.Frame{}
	if err := proto.Unmarshal(body.Bytes(), f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForeign, err)
	}
	if f.GetMessage() == nil {
		return nil, fmt.Errorf("%w: frame of %d bytes without a known message", ErrForeign, size)
	}
	return f, nil
}
