package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pinevane.example/pinevane/internal/network"
)

// Times and sizes of connections to servers.
const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 600 * time.Millisecond
	// idleWithoutWord is how long a connection rests when the server names no time.
	idleWithoutWord = 2 * time.Second
	// trustedRest is how long a connection may have rested to be used again. Servers
	// may forget one sooner than they say; what is sent on it then must be sent again.
	trustedRest = 1500 * time.Millisecond
	// riskedRest is how long a connection may have rested that carries a request which
	// must not run twice: a server may have forgotten it without a word, and what is
	// lost with it can't be sent again.
	riskedRest = 500 * time.Millisecond
	// maximumIdle bounds the connections kept for each server.
	maximumIdle = 24
	// lookPeriod is how often a silent server's answer is looked at again.
	lookPeriod       = 200 * time.Millisecond
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10
)

var (
	errStalled  = errors.New("the server fell silent")
	errDeadline = errors.New("the time of the request is over")
	errLeft     = errors.New("the caller has left")
	errBound    = errors.New("the time of the server's version is over")
)

// silenceJudge says why a server that has sent nothing for a while is given up; nil
// while it is not.
type silenceJudge func(silent time.Duration) error

// connection is one kept connection to a server. It carries one request at a
// time; nothing is ever sent twice on it.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// restedSince is when the last request ended; expires is until when it may rest.
	restedSince time.Time
	expires     time.Time
	// used counts the requests carried before.
	used int

	// The fields below belong to the request being carried.
	ctx      context.Context
	deadline time.Time
	silence  silenceJudge
	heard    time.Time
	received atomic.Int64
}

func dial(ctx context.Context, address string, deadline time.Time) (*connection, error) {
	timeout := min(dialTimeout, time.Until(deadline))
	if timeout <= 0 {
		return nil, errDeadline
	}
	raw, err := network.Dialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{net: raw}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriterSize(raw, writeBufferBytes)
	return c, nil
}

// begin binds the connection to a request. The silence function is asked, from
// time to time, whether a server that has sent nothing for a while is given up.
func (c *connection) begin(ctx context.Context, deadline time.Time, silence silenceJudge) (release func()) {
	c.ctx, c.deadline, c.silence = ctx, deadline, silence
	c.heard = time.Now()
	c.received.Store(0)
	_ = c.net.SetWriteDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

// Read implements io.Reader under the rules of the present request.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		now := time.Now()
		_ = c.net.SetReadDeadline(minTime(c.deadline, now.Add(lookPeriod)))
		if c.ctx.Err() != nil {
			return 0, errLeft
		}
		count, err := c.net.Read(buffer)
		if count > 0 {
			c.heard = time.Now()
			c.received.Add(int64(count))
			return count, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		switch now = time.Now(); {
		case c.ctx.Err() != nil:
			return 0, errLeft
		case !now.Before(c.deadline):
			return 0, errDeadline
		case c.silence != nil:
			if err := c.silence(now.Sub(c.heard)); err != nil {
				return 0, err
			}
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *connection) close() { _ = c.net.Close() }

// pool keeps the idle connections to one server.
type pool struct {
	mutex  sync.Mutex
	idle   []*connection
	closed bool
}

// take returns the newest idle connection that is sound and has rested for less than
// a time, or nil.
func (p *pool) take(restedAtMost time.Duration) *connection {
	for {
		p.mutex.Lock()
		count := len(p.idle)
		if count == 0 {
			p.mutex.Unlock()
			return nil
		}
		candidate := p.idle[count-1]
		if time.Since(candidate.restedSince) > restedAtMost {
			p.mutex.Unlock()
			return nil
		}
		p.idle = p.idle[:count-1]
		p.mutex.Unlock()
		if time.Now().Before(candidate.expires) && candidate.reader.Buffered() == 0 && network.CheckIdle(candidate.net) == nil {
			return candidate
		}
		candidate.close()
	}
}

// put keeps a connection for later, for as long as the server allows.
func (p *pool) put(c *connection, rest time.Duration) {
	c.restedSince = time.Now()
	c.expires = c.restedSince.Add(rest)
	c.used++
	// The last request's time limits would fail the check of the resting connection.
	_ = c.net.SetDeadline(time.Time{})
	c.ctx, c.silence = context.Background(), nil
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle) >= maximumIdle {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// close ends the idle connections and keeps no more.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		idle.close()
	}
	p.idle = nil
}

// sweep ends the connections that have rested for too long.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[:0]
	for _, idle := range p.idle {
		if now.After(idle.expires) {
			idle.close()
			continue
		}
		kept = append(kept, idle)
	}
	p.idle = kept
}
