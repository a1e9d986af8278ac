package callers

import "time"

// Write implements net.Conn. It ends with an error if no byte can be written for the write
// timeout, up to twice as long if some were before, or when the response must have been
// written.
func (c *Conn) Write(p []byte) (n int, err error) {
	for {
		deadline, limited := c.beginWrite()
		if limited {
			if err := c.Conn.SetWriteDeadline(deadline); err != nil {
				return n, err //nolint:wrapcheck // The error must stay that of the connection.
			}
		}
		written, err := c.Conn.Write(p[n:])
		n += written
		if err == nil || written == 0 || !isTimeout(err) || !c.mayWriteOn() {
			return n, err //nolint:wrapcheck // The error must stay that of the connection.
		}
	}
}

// beginWrite updates the state and returns the deadline of the next write. limited is false
// if the connection has the deadline already.
func (c *Conn) beginWrite() (deadline time.Time, limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.state != Closing && c.state != Writing {
		c.state = Writing
		c.sendBy = later(c.sendBy, now.Add(c.writeTimeout))
	}
	if c.writeTimeout == 0 {
		return time.Time{}, false
	}
	deadline = earlier(now.Add(c.writeTimeout), c.sendBy)
	if !c.writeDeadline.IsZero() {
		deadline = earlier(deadline, c.writeDeadline)
	}
	return deadline, true
}

// mayWriteOn reports whether a response whose write has timed out after some progress may
// be written further.
func (c *Conn) mayWriteOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.writeTimeout > 0 && now.Before(c.sendBy) && (c.writeDeadline.IsZero() || now.Before(c.writeDeadline))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
