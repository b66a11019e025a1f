package network

import (
	"context"
	"net"
	"sync/atomic"
)

// withholdingDialer makes connections whose bytes are only written if a check allows it. The check comes right before
// each write, so that nothing that takes time lies between the two.
type withholdingDialer struct {
	dial  dialFunction
	check func() error
	// refusal is the first error of the check, nil as long as it has allowed all writes.
	refusal atomic.Pointer[error]
}

func (d *withholdingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &withholdingConnection{Conn: connection, dialer: d}, nil
}

// err returns why a write was withheld, or the given error if none was.
func (d *withholdingDialer) err(other error) error {
	if refusal := d.refusal.Load(); refusal != nil {
		return *refusal
	}
	return other
}

// withholdingConnection is a connection of a withholdingDialer.
type withholdingConnection struct {
	net.Conn
	dialer *withholdingDialer
}

// Write implements net.Conn.
func (c *withholdingConnection) Write(bytes []byte) (int, error) {
	if err := c.dialer.check(); err != nil {
		c.dialer.refusal.CompareAndSwap(nil, &err)
		return 0, err
	}
	return c.Conn.Write(bytes)
}
