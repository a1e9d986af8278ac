package peer

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"github.com/apex/log"
)

// Stats counts the traffic of a Mesh since its start.
type Stats struct {
	// Sessions is the number of sessions in service.
	Sessions int
	// BytesIn and BytesOut are counted on the connections. They include
	// forwarded requests, whose part is in ForwardBytesIn and ForwardBytesOut.
	BytesIn         uint64
	BytesOut        uint64
	ForwardBytesIn  uint64
	ForwardBytesOut uint64
	FramesIn        uint64
	FramesOut       uint64
	// Drops counts frames to peers that read too slowly, and connections and
	// streams above the limits.
	Drops uint64
	// Duplicates counts news that had arrived before.
	Duplicates uint64
	// Snapshots counts the configurations fetched from peers.
	Snapshots uint64
}

// ControlBytes returns the bytes in both directions without forwarded requests.
func (s Stats) ControlBytes() uint64 {
	return s.BytesIn + s.BytesOut - s.ForwardBytesIn - s.ForwardBytesOut
}

type counters struct {
	bytesIn, bytesOut               atomic.Uint64
	forwardBytesIn, forwardBytesOut atomic.Uint64
	framesIn, framesOut             atomic.Uint64
	drops, duplicates, snapshots    atomic.Uint64
}

// Stats returns the counts so far.
func (m *Mesh) Stats() Stats {
	c := &m.counters
	// Forwarded bytes are loaded first, since they are counted after the
	// connection's and must not exceed them.
	s := Stats{ForwardBytesIn: c.forwardBytesIn.Load(), ForwardBytesOut: c.forwardBytesOut.Load()}
	s.Sessions = len(m.list())
	s.BytesIn = c.bytesIn.Load()
	s.BytesOut = c.bytesOut.Load()
	s.FramesIn = c.framesIn.Load()
	s.FramesOut = c.framesOut.Load()
	s.Drops = c.drops.Load()
	s.Duplicates = c.duplicates.Load()
	s.Snapshots = c.snapshots.Load()
	return s
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.bytesIn.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}

// muxLogger passes the output of yamux to the logger of the mesh. The mesh
// reports the end of a session itself, so this is detail.
type muxLogger struct{ logger log.Interface }

// Print logs its operands.
func (l muxLogger) Print(v ...any) { l.logger.Debug(strings.TrimSpace(fmt.Sprint(v...))) }

// Printf logs by a format.
func (l muxLogger) Printf(format string, v ...any) {
	l.logger.Debug(strings.TrimSpace(fmt.Sprintf(format, v...)))
}

// Println logs its operands, with spaces between them.
func (l muxLogger) Println(v ...any) { l.logger.Debug(strings.TrimSpace(fmt.Sprintln(v...))) }
