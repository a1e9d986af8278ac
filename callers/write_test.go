package callers

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response that is truncated after the write timeout although its caller
// reads and has more time, and against one that holds memory for a caller that does not.
func TestWriteTimeout(t *testing.T) {
	const timeout = 10 * time.Second
	const size = 20
	tests := []struct {
		name     string
		interval time.Duration // in which the caller reads a byte
		sendTime time.Duration // that the request has
		want     int           // bytes
		took     time.Duration // at most
	}{
		{"slow, has time", 3 * time.Second, 2 * time.Minute, size, size * 3 * time.Second},
		{"slow, has no time", 3 * time.Second, time.Second, 4, timeout},
		{"slow, has some time", 3 * time.Second, 29 * time.Second, 10, 29 * time.Second},
		{"stalls", 40 * time.Second, 2 * time.Minute, 1, 2 * timeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, inner := net.Pipe()
				c := &Conn{Conn: inner, set: NewSet(), onClose: func() {}, writeTimeout: timeout}
				done := make(chan struct{})
				go func() {
					defer close(done)
					for one := make([]byte, 1); ; time.Sleep(tt.interval) {
						if _, err := caller.Read(one); err != nil {
							return
						}
					}
				}()
				start := time.Now()
				c.Received()
				c.SetSendDeadline(start.Add(tt.sendTime))
				n, err := c.Write(make([]byte, size))
				assert.Equal(t, n, tt.want)
				assert.Equal(t, err == nil, n == size)
				assert.Assert(t, time.Since(start) <= tt.took, "took %s", time.Since(start))
				assert.NilError(t, c.Close())
				<-done
			})
		})
	}
}
