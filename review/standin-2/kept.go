package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// keptConnection is a connection that a client keeps for many requests. It is opened when it
// is needed.
type keptConnection struct {
	node   *node
	conn   net.Conn
	reader *bufio.Reader
}

func (c *keptConnection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and awaits its answer. sent is set if it was written as a whole.
func (c *keptConnection) request(id string) (status int, sent bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.node.at(portFront), time.Second); err != nil {
			c.conn = nil
			return 0, false, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = fmt.Fprintf(c.conn, "PUT /pay/a HTTP/1.1\r\nHost: %s\r\nRhubarbrelay-Attempt-Id: %s\r\nRhubarbrelay-Deadline-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody", host, id); err != nil {
		c.close()
		return 0, false, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		c.close()
		return 0, true, err
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, true, nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
