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

// Timeouts and sizes of connections to servers.
const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 600 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server names no timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxReuseIdle is how long a connection may have been idle to be reused. Servers may close one
	// earlier than they announce, and a request sent on it must then be sent again.
	maxReuseIdle = 1500 * time.Millisecond
	// maxIdleConnections bounds the idle connections kept for each server.
	maxIdleConnections = 24
	// silenceCheckPeriod is how often the silence of a connection is checked.
	silenceCheckPeriod = 200 * time.Millisecond
	readBufferBytes    = 4 << 10
	writeBufferBytes   = 2 << 10
	// maxHeadBytes bounds the head of an answer. net/http bounds the lines between chunks and the trailer by
	// readBufferBytes.
	maxHeadBytes = network.MaxHeadBytes
)

var (
	errStalled         = errors.New("suspect server does not respond")
	errDeadline        = errors.New("request deadline exceeded")
	errCallerLeft      = errors.New("caller disconnected")
	errVersionDeadline = errors.New("deadline of the server's version reached")
	errSilent          = errors.New("connection is silent")
	errHeadTooLong     = errors.New("head of the answer is too long")
	errOverdue         = errors.New("answer is overdue: it takes many times the typical wait")
)

// silenceCheck returns the evidence that a server has fallen silent after it has returned nothing
// for a time, given the typical wait, or nil if there is none.
type silenceCheck func(silent, typical time.Duration) error

// guard decides whether an attempt goes on.
type guard interface {
	// beforeSend is called right before the request is written.
	beforeSend() error
	// whileSilent is called from time to time while the server returns nothing. The attempt ends
	// with the error, or goes on if that is nil.
	whileSilent(c *connection, silent time.Duration) error
}

// connection is a persistent connection to a server. It carries one request at a time, and no
// request is sent twice on it.
type connection struct {
	watchState
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the last request ended; idleUntil is when the idle timeout expires.
	idleSince time.Time
	idleUntil time.Time
	// requestsCarried counts the earlier requests.
	requestsCarried int
	// answeredAt is when the expected server first answered on the connection, zero before. The connection is known
	// to be that server's own from then on.
	answeredAt time.Time

	// The fields below belong to the request being carried.
	ctx      context.Context
	deadline time.Time
	guard    guard
	lastRead time.Time
	received atomic.Int64
	// interrupted is set to have the guard called at once.
	interrupted atomic.Bool
	// minOverdue is the minimum silence after which the answer can be overdue.
	minOverdue time.Duration
	// expectedStart is how long the answer is expected to take to begin.
	expectedStart time.Duration
	// reads counts the reads that returned bytes.
	reads int
	// readingHead is set while the head of an answer is read, and headBytes counts the bytes that have arrived
	// meanwhile.
	readingHead bool
	headBytes   int
}

// dial connects to a server. A lost SYN packet costs a fraction of dialTimeout, not all of it.
func dial(ctx context.Context, address string, deadline time.Time) (*connection, error) {
	timeout := min(dialTimeout, time.Until(deadline))
	if timeout <= 0 {
		return nil, errDeadline
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := network.HedgedDialer(timeout)(bounded, "tcp", address)
	if err != nil && ctx.Err() != nil {
		return nil, cancellation(ctx)
	}
	if err != nil {
		return nil, err
	}
	c := &connection{net: raw}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriterSize(raw, writeBufferBytes)
	return c, nil
}

// begin assigns the connection to a request. A nil guard lets the attempt go on until the deadline.
func (c *connection) begin(ctx context.Context, deadline time.Time, guard guard) (release func()) {
	c.ctx, c.deadline, c.guard = ctx, deadline, guard
	c.interrupted.Store(false)
	c.lastRead = time.Now()
	c.received.Store(0)
	c.reads = 0
	if c.watcher != nil {
		c.requestedAt.Store(int64(c.watcher.now()))
		c.awaiting.Store(true)
	}
	_ = c.net.SetWriteDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(time.Unix(1, 0)) })
	return func() { stop() }
}

// Read implements io.Reader and observes the deadline, context and guard of the current request.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		now := time.Now()
		_ = c.net.SetReadDeadline(minTime(c.deadline, c.nextSilenceCheck(now)))
		if c.ctx.Err() != nil {
			return 0, cancellation(c.ctx)
		}
		if err := c.headError(nil); err != nil {
			return 0, err
		}
		if !c.interrupted.Swap(false) {
			count, err := c.net.Read(buffer)
			if count > 0 {
				c.recordRead(count)
				return c.countHead(count)
			}
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				return 0, err
			}
		}
		if err := c.checkWait(time.Now()); err != nil {
			return 0, err
		}
	}
}

// beginHead bounds the bytes that are read until endHead.
func (c *connection) beginHead() { c.readingHead, c.headBytes = true, 0 }

func (c *connection) endHead() { c.readingHead = false }

// countHead counts the bytes that have arrived while a head is read, and delivers them unless the head has become
// too long: net/http would keep all of it, and take a line that is cut after its carriage return for the end.
func (c *connection) countHead(count int) (int, error) {
	if !c.readingHead {
		return count, nil
	}
	c.headBytes += count
	if err := c.headError(nil); err != nil {
		return 0, err
	}
	return count, nil
}

// headError returns errHeadTooLong if the head being read has become too long, and the given error otherwise.
// net/http may report a line that is cut by the bound as malformed, or not at all.
func (c *connection) headError(err error) error {
	if c.readingHead && c.headBytes > maxHeadBytes {
		return errHeadTooLong
	}
	return err
}

// checkWait returns why the request stops waiting for bytes, or nil if it goes on.
func (c *connection) checkWait(now time.Time) error {
	switch {
	case c.ctx.Err() != nil:
		return cancellation(c.ctx)
	case !now.Before(c.deadline):
		return errDeadline
	case c.guard != nil:
		return c.guard.whileSilent(c, now.Sub(c.lastRead))
	case c.silent.Load():
		return errSilent
	}
	return nil
}

// interrupt has the guard called at once. It may be called while the connection is read.
func (c *connection) interrupt() {
	c.interrupted.Store(true)
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
}

// nextSilenceCheck is when a silent connection is checked next: after silenceCheckPeriod, or when
// its answer is overdue, whichever comes first.
func (c *connection) nextSilenceCheck(now time.Time) time.Time {
	next := now.Add(silenceCheckPeriod)
	typical := time.Duration(c.typicalWait.Load())
	if typical == 0 {
		return next
	}
	if due := c.lastRead.Add(overdueAfter(c.minOverdue, typical)); due.After(now) {
		return minTime(next, due)
	}
	return next
}

// recordRead records that bytes have arrived. From the second part of an answer on, the longest
// pause so far is the typical wait.
func (c *connection) recordRead(count int) {
	now := time.Now()
	pause := now.Sub(c.lastRead)
	switch parts := c.reads; {
	case parts == 0:
		c.expected.Store(int64(c.expectedStart))
	case parts == 1:
		c.typicalWait.Store(int64(pause))
	case parts > 1:
		c.typicalWait.Store(max(c.typicalWait.Load(), int64(pause)))
	}
	c.reads++
	c.lastRead = now
	c.silent.Store(false)
	c.received.Add(int64(count))
	if c.watcher != nil {
		c.readAt.Store(int64(c.watcher.now()))
	}
}

// minTypicalWait stands for a typical wait that is known to be short; 0 means that it is unknown.
const minTypicalWait = time.Millisecond

// trackPauses makes the longest pause between the parts from now on the typical wait.
func (c *connection) trackPauses() {
	c.typicalWait.Store(int64(minTypicalWait))
	c.reads = 1
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *connection) close() {
	c.awaiting.Store(false)
	if c.watcher != nil {
		c.watcher.remove(c)
	}
	_ = c.net.Close()
}

// pool keeps the idle connections to one server.
type pool struct {
	mutex  sync.Mutex
	idle   []*connection
	closed bool
}

// get returns the most recently used idle connection that is healthy, has been idle for at most
// maxIdle and was opened after openedAfter, or nil.
func (p *pool) get(maxIdle, openedAfter time.Duration) *connection {
	return p.getWhere(maxIdle, func(candidate *connection) bool { return openedAfter == 0 || candidate.opened >= openedAfter })
}

// getAnswered is get for a connection on which the server had answered before a time.
func (p *pool) getAnswered(maxIdle time.Duration, before time.Time) *connection {
	return p.getWhere(maxIdle, func(candidate *connection) bool {
		return !candidate.answeredAt.IsZero() && candidate.answeredAt.Before(before)
	})
}

// getWhere returns the most recently used idle connection that is healthy, has been idle for at most maxIdle
// and meets a condition, or nil.
func (p *pool) getWhere(maxIdle time.Duration, condition func(*connection) bool) *connection {
	for {
		candidate := p.pick(maxIdle, condition)
		if candidate == nil {
			return nil
		}
		if !candidate.silent.Load() && time.Now().Before(candidate.idleUntil) && candidate.reader.Buffered() == 0 && network.CheckIdle(candidate.net) == nil {
			return candidate
		}
		candidate.close()
	}
}

// pick removes and returns a connection that meets the conditions of getWhere, except that its health is
// not checked.
func (p *pool) pick(maxIdle time.Duration, condition func(*connection) bool) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for index, candidate := range slices.Backward(p.idle) {
		if time.Since(candidate.idleSince) > maxIdle {
			return nil
		}
		if condition(candidate) {
			p.idle = slices.Delete(p.idle, index, index+1)
			return candidate
		}
	}
	return nil
}

// put returns a connection to the pool after an answer, for as long as the server allows.
func (p *pool) put(c *connection, keepFor time.Duration) {
	c.requestsCarried++
	c.awaiting.Store(false)
	p.add(c, keepFor)
}

// add adds a connection to the pool.
func (p *pool) add(c *connection, keepFor time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(keepFor)
	// The deadlines of the last request would fail the health check of the idle connection.
	_ = c.net.SetDeadline(time.Time{})
	c.ctx, c.guard = context.Background(), nil
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle) >= maxIdleConnections {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes the idle connections and stops the pool from keeping others.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		idle.close()
	}
	p.idle = nil
}

// sweep closes the connections whose idle timeout has expired.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[:0]
	for _, idle := range p.idle {
		if now.After(idle.idleUntil) || idle.silent.Load() {
			idle.close()
			continue
		}
		kept = append(kept, idle)
	}
	p.idle = kept
}
