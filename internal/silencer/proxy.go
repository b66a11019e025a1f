package silencer

import (
	"io"
	"net"
	"sync"
)

// Proxy passes connections on to a server until it is told to hold them. A held connection
// stays open at both ends and goes on taking bytes, so that the kernels acknowledge all of
// them, and passes nothing on: as behind a middlebox that answers for a peer it has lost.
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

// NewProxy listens on a loopback address of its own in front of a server.
func NewProxy(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Blackhole makes the connections that are open now pass nothing on any more, and returns how
// many there are. Later ones work.
func (p *Proxy) Blackhole() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.relays {
		one.blackhole()
	}
	return len(p.relays)
}

// Close ends the listener and every connection.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range p.relays {
		one.close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.server)
		if err != nil {
			_ = near.Close()
			continue
		}
		one := &relay{client: near, server: far}
		p.mutex.Lock()
		p.relays = append(p.relays, one)
		p.mutex.Unlock()
		go one.forward(near, far)
		go one.forward(far, near)
	}
}

func (c *relay) blackhole() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.blackholed = true
}

func (c *relay) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// forward copies bytes until one side ends. The end of a held connection is not passed on
// either.
func (c *relay) forward(from, to net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		if !c.write(to, buffer[:count]) || err != nil {
			c.closeUnlessBlackholed()
			return
		}
	}
}

// write passes bytes on unless the connection is held.
func (c *relay) write(to io.Writer, bytes []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.blackholed || len(bytes) == 0 {
		return true
	}
	_, err := to.Write(bytes)
	return err == nil
}

// closeUnlessBlackholed closes both sides of a connection that is not held.
func (c *relay) closeUnlessBlackholed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.blackholed {
		c.close()
	}
}
