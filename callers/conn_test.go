package callers

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stepConn is a connection on which nothing blocks.
type stepConn struct{ net.Conn }

// Read implements net.Conn.
func (stepConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, io.EOF
	}
	return len(p), nil
}

// Write implements net.Conn.
func (stepConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (stepConn) Close() error { return nil }

// SetReadDeadline implements net.Conn.
func (stepConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a state that does not follow from what a server does with a connection:
// a request that is arriving would count as idle and be cut off.
func TestStates(t *testing.T) {
	read := func(c *Conn) { _, _ = c.Read(make([]byte, 1)) }
	await := func(c *Conn) { _, _ = c.Read(nil) } // reads nothing
	write := func(c *Conn) { _, _ = c.Write([]byte("x")) }
	received := (*Conn).Received
	closes := func(c *Conn) { _ = c.Close() }
	type step struct {
		do   func(*Conn)
		want State
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"two requests", []step{{await, New}, {read, Receiving}, {read, Receiving}, {received, InProgress}, {write, Writing}, {write, Writing}, {await, Idle}, {read, Receiving}, {received, InProgress}}},
		{"interim response", []step{{read, Receiving}, {write, Writing}, {await, Receiving}, {read, Receiving}, {received, InProgress}, {write, Writing}, {await, Idle}}},
		{"pipelined requests", []step{{read, Receiving}, {received, InProgress}, {received, InProgress}, {write, Writing}, {received, InProgress}, {await, InProgress}, {read, InProgress}, {write, Writing}, {read, Receiving}}},
		{"refused before it has arrived", []step{{read, Receiving}, {write, Writing}, {closes, Closing}, {write, Closing}, {received, Closing}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Conn{Conn: stepConn{}, set: NewSet(), onClose: func() {}}
			assert.Equal(t, c.State(), New)
			for i, s := range tt.steps {
				s.do(c)
				assert.Equal(t, c.State(), s.want, "step %d", i)
			}
		})
	}
}
