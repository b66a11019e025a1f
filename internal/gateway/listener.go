package gateway

import (
	"net"
	"net/http"
	"sync"

	"pinevane.example/pinevane/internal/forward"
)

// callerListener tracks the accepted connections of callers.
type callerListener struct {
	net.Listener
	// onUnwritten is called when a connection is closed after a write has failed.
	onUnwritten func(connection *callerConnection)

	mutex       sync.Mutex
	connections map[*callerConnection]struct{}
	// byAddress holds the newest connection from each remote address.
	byAddress map[string]*callerConnection
	// stopped is set once no more connections are accepted.
	stopped bool
}

func newCallerListener(listener net.Listener, onUnwritten func(*callerConnection)) *callerListener {
	return &callerListener{
		Listener: listener, onUnwritten: onUnwritten,
		connections: map[*callerConnection]struct{}{}, byAddress: map[string]*callerConnection{},
	}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &callerConnection{Conn: accepted}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopped {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	l.connections[connection] = struct{}{}
	l.byAddress[accepted.RemoteAddr().String()] = connection
	return connection, nil
}

// stopAccepting closes the listener. Connections that are already tracked stay open.
func (l *callerListener) stopAccepting() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
	_ = l.Close()
}

// from returns the connection from a remote address, or nil.
func (l *callerListener) from(address string) *callerConnection {
	if l == nil {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.byAddress[address]
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
		l.remove(connection)
		if connection.writeFailure() != nil {
			l.onUnwritten(connection)
		}
	}
}

func (l *callerListener) remove(connection *callerConnection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, connection)
	if address := connection.RemoteAddr().String(); l.byAddress[address] == connection {
		delete(l.byAddress, address)
	}
}

// list returns the connections that are open now.
func (l *callerListener) list() []*callerConnection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	listed := make([]*callerConnection, 0, len(l.connections))
	for connection := range l.connections {
		listed = append(listed, connection)
	}
	return listed
}

// count returns the number of open connections.
func (l *callerListener) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.connections)
}

// anyActive reports whether a connection carries a request, the rest of whose response may still
// have to be written.
func (l *callerListener) anyActive() bool {
	for _, connection := range l.list() {
		connection.mutex.Lock()
		active := connection.state == stateActive
		connection.mutex.Unlock()
		if active {
			return true
		}
	}
	return false
}

// openRequests returns the number of requests whose responses have not been written completely.
func (l *callerListener) openRequests() int {
	open := 0
	for _, connection := range l.list() {
		if connection.openRequest() != nil {
			open++
		}
	}
	return open
}

// endRequests returns the requests whose responses have not been written completely, and records that
// their outcome is known.
func (l *callerListener) endRequests() []*forward.Request {
	var ended []*forward.Request
	for _, connection := range l.list() {
		if request := connection.openRequest(); request != nil && connection.end() {
			ended = append(ended, request)
		}
	}
	return ended
}

// closeIdle closes the connections that are idle now.
func (l *callerListener) closeIdle() {
	for _, connection := range l.list() {
		connection.closeIdle()
	}
}

// closeUnused closes the connections that carry no request now.
func (l *callerListener) closeUnused() {
	for _, connection := range l.list() {
		connection.closeUnused()
	}
}
