package loadtest

import (
	"context"
	"fmt"
	"net"
)

// dialCaller opens a connection and marks its failure, after which nothing
// can have been sent.
func dialCaller(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerDialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	return conn, nil
}
