package silencer

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to a server until it blackholes them. A blackholed connection
// stays open at both ends and continues to read bytes, so that the kernels acknowledge them,
// but forwards nothing, as behind a middlebox that answers for a peer it has lost.
type Proxy struct {
	listener net.Listener
	server   string

	mutex  sync.Mutex
	relays []*relay
}

// relay is one connection through a proxy.
type relay struct {
	client, server net.Conn

	mutex      sync.Mutex
	blackholed bool
}

// NewProxy returns a proxy for a server, listening on a loopback port of its own.
func NewProxy(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Blackhole stops forwarding on the connections that are open now and returns their number.
// Later connections work.
func (p *Proxy) Blackhole() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range p.relays {
		connection.blackhole()
	}
	return len(p.relays)
}

// Close closes the listener and every connection.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, connection := range p.relays {
		connection.close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.server)
		if err != nil {
			_ = client.Close()
			continue
		}
		connection := &relay{client: client, server: server}
		p.mutex.Lock()
		p.relays = append(p.relays, connection)
		p.mutex.Unlock()
		go connection.forward(client, server)
		go connection.forward(server, client)
	}
}

func (r *relay) blackhole() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blackholed = true
}

func (r *relay) close() {
	_ = r.client.Close()
	_ = r.server.Close()
}

// forward copies bytes until one side closes. The close of a blackholed connection is not
// forwarded either.
func (r *relay) forward(from, to net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		if !r.write(to, buffer[:count]) || err != nil {
			r.closeUnlessBlackholed()
			return
		}
	}
}

// write writes bytes unless the connection is blackholed.
func (r *relay) write(to io.Writer, bytes []byte) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.blackholed || len(bytes) == 0 {
		return true
	}
	_, err := to.Write(bytes)
	return err == nil
}

// closeUnlessBlackholed closes both sides of the connection unless it is blackholed.
func (r *relay) closeUnlessBlackholed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.blackholed {
		r.close()
	}
}
