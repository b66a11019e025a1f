package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/forward"
)

type connectionState int

// States of a caller's connection.
const (
	// stateNew means that no byte has been read yet.
	stateNew connectionState = iota
	stateActive
	// stateIdle means that the server waits for the first byte of the next request.
	stateIdle
	// stateClosing means that the unused connection is being closed. If the first byte of a
	// request is read before that has happened, the request is still served.
	stateClosing
)

// callerConnection is a caller's connection that can be closed only while it carries no request.
// The HTTP library's own shutdown can close a connection from which a request was just
// read, so that the caller gets no response.
type callerConnection struct {
	net.Conn
	mutex sync.Mutex
	state connectionState
	// request is the one whose response has not been written completely.
	request *forward.Request
	// returned is set once the request's handler has returned, after which the HTTP library writes
	// the end of the response; writing is set during each write.
	returned, writing bool
	// disconnected is set once a read shows that the caller has closed the connection or that it is
	// broken.
	disconnected bool
	// unframed is set while the caller speaks HTTP/1.0, in which a response without a length ends with its connection.
	unframed bool
	// writeError is the first error of a write, after which the connection is closed.
	writeError error
	// writeAllowance is the time that the write deadline gave when it was set, 0 for none.
	writeAllowance time.Duration
}

func (c *callerConnection) setUnframed(unframed bool) {
	if c != nil {
		c.unframed = unframed
	}
}

// resetUnframed has the connection end with a reset if its close would make a response look complete that is not.
func (c *callerConnection) resetUnframed() {
	if c == nil || !c.unframed {
		return
	}
	if plain, ok := c.Conn.(*net.TCPConn); ok {
		// Without the option the caller can't tell that the response is incomplete; the log says so.
		_ = plain.SetLinger(0)
	}
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
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.disconnected = c.disconnected || err != nil
		return count, err
	}
	if c.state == stateClosing {
		return 0, io.EOF
	}
	return count, err
}

// Write implements net.Conn.
func (c *callerConnection) Write(data []byte) (int, error) {
	c.beginWrite()
	count, err := c.writeWhileRead(data)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing = false
	if c.writeError == nil {
		c.writeError = err
	}
	return count, err
}

func (c *callerConnection) beginWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing = true
}

// writeFailure returns the first error of a write.
func (c *callerConnection) writeFailure() error {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeError
}

// callerLeft reports whether a read has shown that the caller is gone.
func (c *callerConnection) callerLeft() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.disconnected
}

// begin records the request that the connection carries. A pipelined request may have been read together
// with the one before, so that no Read has shown it.
func (c *callerConnection) begin(request *forward.Request) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == stateClosing {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.state, c.request, c.returned = stateActive, request, false
}

// handled records that the request's handler has returned.
func (c *callerConnection) handled() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.returned = true
}

// openRequest returns the request whose response has not been written completely, or nil.
func (c *callerConnection) openRequest() *forward.Request {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.returned && !c.writing && c.writeError == nil {
		return nil
	}
	return c.request
}

// end records that the request's outcome is known. It reports whether that is new.
func (c *callerConnection) end() bool {
	if c == nil {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isNew := c.request != nil
	c.request = nil
	return isNew
}

// setIdle marks the connection as waiting for its next request.
func (c *callerConnection) setIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state, c.request = stateIdle, nil
}

// closeIdle ends the wait for the next request if the connection is idle. It may be
// called repeatedly, because the server sets a deadline of its own when a connection
// becomes idle.
func (c *callerConnection) closeIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == stateIdle || c.state == stateClosing {
		c.endWait()
	}
}

// closeUnused does the same as closeIdle also if the connection has never carried a request.
func (c *callerConnection) closeUnused() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != stateActive {
		c.endWait()
	}
}

// endWait ends the wait for the first byte of a request. The mutex must be held.
func (c *callerConnection) endWait() {
	c.state = stateClosing
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
