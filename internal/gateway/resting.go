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
	// stateResting means that the server waits for the next request's first byte.
	stateResting
	// stateClosing means that the wait is to end. A request whose first byte was read
	// nevertheless is served.
	stateClosing
)

// callerConnection is a caller's connection that can be closed while it rests, and
// only then: the library's own way closes connections of which a request was just
// read, so that the caller would get no answer to it.
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
			// The bytes came first; the deadline was meant for the wait.
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

// rest notes that the next request is waited for.
func (c *callerConnection) rest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = stateResting
}

// endRest ends the wait for a next request, if the connection rests. It may be
// called again, because the server sets a deadline of its own as a rest begins.
func (c *callerConnection) endRest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != stateActive {
		c.state = stateClosing
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// callerListener keeps the callers' connections.
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

// follow notes what the server says of a connection.
func (l *callerListener) follow(raw net.Conn, state http.ConnState) {
	connection, ours := raw.(*callerConnection)
	if !ours {
		return
	}
	switch state {
	case http.StateIdle:
		connection.rest()
	case http.StateClosed, http.StateHijacked:
		l.mutex.Lock()
		delete(l.connections, connection)
		l.mutex.Unlock()
	}
}

// closeResting closes the connections that rest now.
func (l *callerListener) closeResting() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		connection.endRest()
	}
}
