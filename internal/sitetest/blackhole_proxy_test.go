package sitetest

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// blackholeProxy forwards connections to a server until a test has it blackhole them. The open
// connections then stay open and are read on both sides, so that all data is acknowledged, but
// nothing is forwarded any more. Later connections work.
type blackholeProxy struct {
	address  string
	accepted atomic.Int64

	mutex sync.Mutex
	// blackholed is closed when the connections that are open at that time are blackholed.
	blackholed chan struct{}
	// trigger is data from a caller that makes the proxy blackhole its connections, and
	// forwardTrigger is whether that data is still forwarded.
	trigger        []byte
	forwardTrigger bool
}

func startBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &blackholeProxy{address: listener.Addr().String(), blackholed: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			p.forward(downstream, target)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(downstream net.Conn, target string) {
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = downstream.Close()
		return
	}
	p.mutex.Lock()
	blackholed := p.blackholed
	p.mutex.Unlock()
	go p.copyStream(downstream, upstream, blackholed, true)
	go p.copyStream(upstream, downstream, blackholed, false)
}

// copyStream forwards what one side sends until the connection is blackholed, and keeps reading it
// after that.
func (p *blackholeProxy) copyStream(from, to net.Conn, blackholed chan struct{}, fromCaller bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		pass := !isClosed(blackholed)
		if fromCaller && pass && p.triggered(buffer[:count]) {
			pass = p.forwardTrigger
			p.blackhole()
		}
		if pass && count > 0 {
			_, _ = to.Write(buffer[:count])
		}
		if err != nil {
			if pass || err != io.EOF {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}

func isClosed(channel chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func (p *blackholeProxy) triggered(sent []byte) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.trigger) == 0 || !bytes.Contains(sent, p.trigger) {
		return false
	}
	p.trigger = nil
	return true
}

// blackhole stops forwarding on all open connections.
func (p *blackholeProxy) blackhole() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.blackholed)
	p.blackholed = make(chan struct{})
}

// blackholeOn blackholes all connections when a caller next sends the trigger, which is forwarded
// or not.
func (p *blackholeProxy) blackholeOn(trigger string, delivered bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.trigger, p.forwardTrigger = []byte(trigger), delivered
}
