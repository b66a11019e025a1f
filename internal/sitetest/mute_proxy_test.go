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

// blackholeProxy passes connections on to a server until it is told to fall mute. Then the
// connections that are open stay open and are read on both sides, so that everything is
// acknowledged, and nothing is passed on any more. Later connections work.
type blackholeProxy struct {
	address  string
	accepted atomic.Int64

	mutex sync.Mutex
	// blackholed is closed when the connections of the present generation fall mute.
	blackholed chan struct{}
	// trigger is what a caller sends that makes the proxy fall mute; delivered is whether
	// it is still passed on.
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
			near, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			p.forward(near, target)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(near net.Conn, target string) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.mutex.Lock()
	silent := p.blackholed
	p.mutex.Unlock()
	go p.copyStream(near, far, silent, true)
	go p.copyStream(far, near, silent, false)
}

// copyStream passes on what one side sends until the connection is mute, and reads it all the same
// from then on.
func (p *blackholeProxy) copyStream(from, to net.Conn, silent chan struct{}, fromCaller bool) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		pass := !isClosed(silent)
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

// blackhole has the connections that are open now fall mute.
func (p *blackholeProxy) blackhole() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.blackholed)
	p.blackholed = make(chan struct{})
}

// blackholeOn has all connections fall mute when a caller sends some bytes next, which are
// passed on or not.
func (p *blackholeProxy) blackholeOn(trigger string, delivered bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.trigger, p.forwardTrigger = []byte(trigger), delivered
}
