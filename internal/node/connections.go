package node

import (
	"net"
	"net/http"
	"sync"
)

// activeConnections are the connections of an HTTP server from which a request was read whose answer
// has not been sent completely. The server's own Shutdown also waits for connections that have never
// carried a request, of which HTTP clients keep some.
type activeConnections struct {
	mutex       sync.Mutex
	connections map[net.Conn]struct{}
}

func newActiveConnections() *activeConnections {
	return &activeConnections{connections: map[net.Conn]struct{}{}}
}

// track records a change of a connection's state.
func (a *activeConnections) track(connection net.Conn, state http.ConnState) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if state == http.StateActive {
		a.connections[connection] = struct{}{}
		return
	}
	delete(a.connections, connection)
}

func (a *activeConnections) count() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.connections)
}
