package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

type connectionState int

// States of a caller's connection.
const (
	stateActive connectionState = iota
	// stateIdle means that the server waits for the first byte of the next request.
	stateIdle
	// stateClosing means that the idle connection is being closed. If the first byte of a
	// request is read before that has happened, the request is still served.
	stateClosing
)

// callerConnection is a caller's connection that can be closed only while it is idle.
// The HTTP library's own shutdown can close a connection from which a request was just
// read, so that the caller gets no response.
type callerConnection struct {
	net.Conn
	mutex sync.Mutex
	state connectionState
}

// Read implements net.Conn.
func (c *callerConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		if c.state == stateClosing {
			// The request arrived before the deadline, which is only for the idle wait.
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
		c.state = stateActive
		return count, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.state == stateClosing {
		return 0, io.EOF
	}
	return count, err
}

// setIdle marks the connection as waiting for its next request.
func (c *callerConnection) setIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = stateIdle
}

// closeIdle ends the wait for the next request if the connection is idle. It may be
// called repeatedly, because the server sets a deadline of its own when a connection
// becomes idle.
func (c *callerConnection) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != stateActive {
		c.state = stateClosing
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// callerListener tracks the accepted connections of callers.
type callerListener struct {
	net.Listener
	mutex       sync.Mutex
	connections map[*callerConnection]struct{}
}

func newCallerListener(listener net.Listener) *callerListener {
	return &callerListener{Listener: listener, connections: map[*callerConnection]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &callerConnection{Conn: accepted}
	l.mutex.Lock()
	l.connections[connection] = struct{}{}
	l.mutex.Unlock()
	return connection, nil
}

// trackState records the HTTP server's state changes of a connection.
func (l *callerListener) trackState(raw net.Conn, state http.ConnState) {
	connection, tracked := raw.(*callerConnection)
	if !tracked {
		return
	}
	switch state {
	case http.StateIdle:
		connection.setIdle()
	case http.StateClosed, http.StateHijacked:
		l.mutex.Lock()
		delete(l.connections, connection)
		l.mutex.Unlock()
	}
}

// closeIdle closes the connections that are idle now.
func (l *callerListener) closeIdle() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		connection.closeIdle()
	}
}
