package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
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
	errSilent   = errors.New("the connection has gone silent")
	errOverdue  = errors.New("the answer takes many times as long as usual")
)

// silenceJudge says why a server that has sent nothing for a while, where that usually takes
// some time, is given up; nil while it is not.
type silenceJudge func(silent, usual time.Duration) error

// connection is one kept connection to a server. It carries one request at a
// time; nothing is ever sent twice on it.
type connection struct {
	watched
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
	heardAt  time.Time
	received atomic.Int64
	// patience is the least silence after which the answer can be overdue.
	patience time.Duration
	// beginning is how long the answer is expected to take to begin.
	beginning time.Duration
	// parts counts the reads that brought bytes.
	parts int
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
	c.heardAt = time.Now()
	c.received.Store(0)
	c.parts = 0
	if c.watch != nil {
		c.asked.Store(int64(c.watch.now()))
		c.carrying.Store(true)
	}
	_ = c.net.SetWriteDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

// Read implements io.Reader under the rules of the present request.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		now := time.Now()
		_ = c.net.SetReadDeadline(minTime(c.deadline, c.nextLook(now)))
		if c.ctx.Err() != nil {
			return 0, errLeft
		}
		if c.silent.Load() {
			return 0, errSilent
		}
		count, err := c.net.Read(buffer)
		if count > 0 {
			c.hear(count)
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
		case c.silent.Load():
			return 0, errSilent
		case c.silence != nil:
			if err := c.silence(now.Sub(c.heardAt), time.Duration(c.usual.Load())); err != nil {
				return 0, err
			}
		}
	}
}

// nextLook is when a silent server is looked at again: after lookPeriod, or when its answer is
// overdue, whichever comes first.
func (c *connection) nextLook(now time.Time) time.Time {
	next := now.Add(lookPeriod)
	usual := time.Duration(c.usual.Load())
	if usual == 0 {
		return next
	}
	if due := c.heardAt.Add(overdueAfter(c.patience, usual)); due.After(now) {
		return minTime(next, due)
	}
	return next
}

// hear notes that bytes have come. What is usual from the second part of an answer on is the
// longest pause so far.
func (c *connection) hear(count int) {
	now := time.Now()
	pause := now.Sub(c.heardAt)
	switch parts := c.parts; {
	case parts == 0:
		c.expected.Store(int64(c.beginning))
	case parts == 1:
		c.usual.Store(int64(pause))
	case parts > 1:
		c.usual.Store(max(c.usual.Load(), int64(pause)))
	}
	c.parts++
	c.heardAt = now
	c.received.Add(int64(count))
	if c.watch != nil {
		c.heard.Store(int64(c.watch.now()))
	}
}

// leastUsual stands for a usual time that is known to be short; 0 is one that is not known.
const leastUsual = time.Millisecond

// startPauses makes what is usual the longest pause between the parts from now on.
func (c *connection) startPauses() {
	c.usual.Store(int64(leastUsual))
	c.parts = 1
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *connection) close() {
	c.carrying.Store(false)
	if c.watch != nil {
		c.watch.remove(c)
	}
	_ = c.net.Close()
}

// pool keeps the idle connections to one server.
type pool struct {
	mutex  sync.Mutex
	idle   []*connection
	closed bool
}

// take returns the idle connection used last that is sound, has rested for at most a time and
// was opened after a moment, or nil.
func (p *pool) take(restedAtMost, openedAfter time.Duration) *connection {
	for {
		candidate := p.pick(restedAtMost, openedAfter)
		if candidate == nil {
			return nil
		}
		if !candidate.silent.Load() && time.Now().Before(candidate.expires) && candidate.reader.Buffered() == 0 && network.CheckIdle(candidate.net) == nil {
			return candidate
		}
		candidate.close()
	}
}

// pick takes a connection out that fulfils the conditions of take but for its soundness.
func (p *pool) pick(restedAtMost, openedAfter time.Duration) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for index, candidate := range slices.Backward(p.idle) {
		if time.Since(candidate.restedSince) > restedAtMost {
			return nil
		}
		if openedAfter == 0 || candidate.opened >= openedAfter {
			p.idle = slices.Delete(p.idle, index, index+1)
			return candidate
		}
	}
	return nil
}

// put keeps a connection after an answer, for as long as the server allows.
func (p *pool) put(c *connection, rest time.Duration) {
	c.used++
	c.carrying.Store(false)
	p.add(c, rest)
}

// add keeps a connection for later.
func (p *pool) add(c *connection, rest time.Duration) {
	c.restedSince = time.Now()
	c.expires = c.restedSince.Add(rest)
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
		if now.After(idle.expires) || idle.silent.Load() {
			idle.close()
			continue
		}
		kept = append(kept, idle)
	}
	p.idle = kept
}
