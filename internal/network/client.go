package network

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// An open connection may go silent for good, without a reset, while new ones work. Nothing on
// the connection itself distinguishes that from a slow server; a new connection does. A Client
// therefore hedges a call that has received nothing over a pooled connection for longer than
// answers typically take: it sends the call again over a new connection and uses the first
// answer. If that is the hedge's, all connections of the silent one's pool are retired: they get
// no further calls, and the calls in flight on them are hedged at once.

// defaultMaxPause is the pause within an answer after which the call is hedged. Packets are
// delayed by over half a second on links that carry pieces of weights.
const defaultMaxPause = time.Second

// ClientOptions configures a Client.
type ClientOptions struct {
	// Dial makes connections; at most MaxIdle of them are kept open for IdleTimeout.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	MaxIdle     int
	IdleTimeout time.Duration
	// ReadBuffer and WriteBuffer are the buffer sizes of a connection in bytes.
	ReadBuffer  int
	WriteBuffer int
	// MinHedgeDelay and MaxHedgeDelay bound the silence after which a call is hedged. Within
	// these bounds the delay follows the measured answer times.
	MinHedgeDelay time.Duration
	MaxHedgeDelay time.Duration
	// MaxPause is the pause within an answer after which the call is hedged, defaultMaxPause if 0.
	MaxPause time.Duration
	// HedgeNewConnections also hedges calls over connections that have carried no answer yet.
	HedgeNewConnections bool
	// OnSilent is called for each connection that a hedge has shown to be silent. It may be nil.
	OnSilent func(silent time.Duration)
}

// Call is an HTTP request with its time limits and its hedging rules.
type Call struct {
	Method      string
	URL         string
	Body        []byte
	ContentType string
	// Timeout bounds the time until the answer begins and each pause in it. The whole call may
	// take ExtraTime longer than Timeout.
	Timeout   time.Duration
	ExtraTime time.Duration
	// MaxBytes bounds the body of the answer. A longer one counts as truncated.
	MaxBytes int64
	// MaxHold is how long the server may hold back its answer, as in long polling.
	MaxHold time.Duration
	// MinHedgeDelay overrides the client's MinHedgeDelay for this call if it is longer.
	MinHedgeDelay time.Duration
	// HedgeURL replaces URL in a hedge, if set.
	HedgeURL string
	// ProbeURL, if set, is requested first when the call is to be hedged: the call is sent again
	// only if the probe is answered before more of the call's answer arrives. It is for answers
	// so large that several at once fill a link: the probe's answer then queues behind the call's.
	ProbeURL string
	// SendOnce forbids a second send. Such a call goes over a new connection, which can't have
	// gone silent before.
	SendOnce bool
	// BeforeWrite, if set, is asked right before the request is written to its connection; an error
	// keeps the request back and becomes the call's error. It is for calls with SendOnce.
	BeforeWrite func() error
}

// Answer is the result of a call. Status is 0 if no answer has begun.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyTime is how long the body took once the answer had begun.
	BodyTime time.Duration
}

// connectionPool holds the connections made since the last one was found silent.
type connectionPool struct {
	transport *http.Transport
	// silent is closed when one of the connections is found silent.
	silent chan struct{}
}

// Client makes HTTP calls to one address over pooled connections. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	mutex  sync.Mutex
	active *connectionPool
	// candidate carries the hedges. It replaces active if a hedge shows that active is silent.
	candidate   *connectionPool
	answerTimes answerTimes
	// hedgeNow is closed and replaced when HedgePending is called.
	hedgeNow chan struct{}
	// suspected is closed and replaced when Suspect is called.
	suspected chan struct{}
}

// NewClient returns a client that has no connections yet.
func NewClient(options ClientOptions) *Client {
	options.MaxPause = cmp.Or(options.MaxPause, defaultMaxPause)
	c := &Client{options: options, hedgeNow: make(chan struct{}), suspected: make(chan struct{})}
	c.active = c.newPool()
	return c
}

// SetOnSilent sets ClientOptions.OnSilent. It must be called before the first call.
func (c *Client) SetOnSilent(function func(silent time.Duration)) { c.options.OnSilent = function }

// HedgePending hedges all calls that await an answer now. It is for when connections to other
// processes have been found silent. Later calls are not affected.
func (c *Client) HedgePending() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.hedgeNow)
	c.hedgeNow = make(chan struct{})
}

// Suspect is for when another connection of this process has been found silent: the same fault may
// have struck this client's. Idle connections are closed, so that the next calls go over new ones, and
// calls in flight are hedged once they have been silent for the minimum, whatever is typical. Later calls
// are not affected.
func (c *Client) Suspect() {
	c.mutex.Lock()
	active := c.active
	close(c.suspected)
	c.suspected = make(chan struct{})
	c.mutex.Unlock()
	active.transport.CloseIdleConnections()
}

func (c *Client) newPool() *connectionPool {
	return &connectionPool{
		transport: &http.Transport{
			DialContext: c.options.Dial, MaxIdleConnsPerHost: c.options.MaxIdle, IdleConnTimeout: c.options.IdleTimeout,
			DisableKeepAlives: c.options.MaxIdle == 0, DisableCompression: true,
			ReadBufferSize: c.options.ReadBuffer, WriteBufferSize: c.options.WriteBuffer, MaxResponseHeaderBytes: MaxHeadBytes,
		},
		silent: make(chan struct{}),
	}
}

// Do makes a call and reads the complete answer. A truncated answer is returned with its status
// and an error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+call.ExtraTime)
	defer cancel()
	if call.SendOnce {
		return c.sendOnce(ctx, call)
	}
	first := c.start(ctx, call, call.URL, c.activePool())
	for {
		if result, ended := c.awaitResult(call, first); ended {
			return result.answer, result.err
		}
		if call.ProbeURL == "" || c.probeOvertakes(ctx, call, first) {
			return c.hedge(ctx, call, first)
		}
	}
}

// sendOnce makes a call over a connection of its own.
func (c *Client) sendOnce(ctx context.Context, call Call) (Answer, error) {
	pool := c.newPool()
	defer pool.transport.CloseIdleConnections()
	if call.BeforeWrite == nil {
		result := <-c.start(ctx, call, call.URL, pool).done
		return result.answer, result.err
	}
	dialer := &withholdingDialer{dial: c.options.Dial, check: call.BeforeWrite}
	pool.transport.DialContext = dialer.DialContext
	result := <-c.start(ctx, call, call.URL, pool).done
	if result.err != nil {
		result.err = dialer.err(result.err)
	}
	return result.answer, result.err
}

// probeOvertakes reports whether a probe that is sent now is answered before anything more of the
// call's answer arrives. A failed probe shows nothing.
func (c *Client) probeOvertakes(ctx context.Context, call Call, first *attempt) bool {
	received := first.receivedAt.Load()
	probe := c.start(ctx, call, call.ProbeURL, c.hedgePool(first.connectionPool))
	select {
	case result := <-first.done:
		first.done <- result
		return false
	case result := <-probe.done:
		if result.err != nil {
			return false
		}
	}
	time.Sleep(probeGrace)
	return first.receivedAt.Load() == received
}

// probeGrace is how much later than the probe's answer the call's may still arrive: they use
// separate connections, and packets of either may be delayed by some milliseconds.
const probeGrace = 50 * time.Millisecond

func (c *Client) activePool() *connectionPool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.active
}

// awaitResult waits for a call's result. It reports false when the call is to be hedged.
func (c *Client) awaitResult(call Call, first *attempt) (callResult, bool) {
	limits := c.hedgeLimits(call)
	timer := time.NewTimer(limits.answer - call.MaxHold)
	defer timer.Stop()
	hedgeNow, suspected := c.hedgeSignals()
	for {
		select {
		case result := <-first.done:
			c.recordTime(call, first)
			return result, true
		case <-first.connectionPool.silent:
			return callResult{}, false
		case <-hedgeNow:
			return callResult{}, false
		case <-suspected:
			suspected, limits = nil, c.shortestLimits(call)
		case <-timer.C:
		}
		remaining := first.hedgeDelayRemaining(limits, c.options.HedgeNewConnections)
		if remaining <= 0 {
			return callResult{}, false
		}
		timer.Reset(remaining)
	}
}

// hedgeSignals returns the channels that HedgePending and Suspect close.
func (c *Client) hedgeSignals() (hedgeNow, suspected <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hedgeNow, c.suspected
}

// hedge sends a call again and returns the first result that is not an error, or the last error.
// A write, which is a call with PUT, waits for both sends to end: one that is executed after the
// call has returned could overwrite what a later call wrote.
func (c *Client) hedge(ctx context.Context, call Call, first *attempt) (Answer, error) {
	url := call.URL
	if call.HedgeURL != "" {
		url = call.HedgeURL
	}
	second := c.start(ctx, call, url, c.hedgePool(first.connectionPool))
	write := call.Method == http.MethodPut
	var result callResult
	select {
	case result = <-first.done:
		if result.err == nil {
			c.recordSlowAnswer(call, first)
			return result.awaitOther(second, write)
		}
		result = <-second.done
	case result = <-second.done:
		if result.err != nil {
			result = <-first.done
			break
		}
		if silent := first.silentFor(); silent >= c.options.MinHedgeDelay {
			c.replacePool(first.connectionPool, second.connectionPool, silent)
		}
		return result.awaitOther(first, write)
	}
	return result.answer, result.err
}

// awaitOther returns the result of a read at once, and that of a write when the other send has
// ended too, which the call's time limit bounds.
func (r callResult) awaitOther(other *attempt, write bool) (Answer, error) {
	if write {
		<-other.done
	}
	return r.answer, r.err
}

// hedgePool returns the pool for the hedge of a call: one newer than the suspected pool.
func (c *Client) hedgePool(suspected *connectionPool) *connectionPool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active != suspected {
		return c.active
	}
	if c.candidate == nil {
		c.candidate = c.newPool()
	}
	return c.candidate
}

// replacePool retires a pool in which a connection is silent.
func (c *Client) replacePool(silent, successor *connectionPool, after time.Duration) {
	c.mutex.Lock()
	if c.active != silent {
		c.mutex.Unlock()
		return
	}
	c.active, c.candidate = successor, nil
	c.mutex.Unlock()
	close(silent.silent)
	silent.transport.CloseIdleConnections()
	if c.options.OnSilent != nil {
		c.options.OnSilent(after)
	}
}

// recordSlowAnswer records that a suspected connection has answered before the hedge.
func (c *Client) recordSlowAnswer(call Call, first *attempt) {
	c.recordTime(call, first)
	c.mutex.Lock()
	candidate := c.candidate
	c.candidate = nil
	c.mutex.Unlock()
	if candidate != nil {
		candidate.transport.CloseIdleConnections()
	}
}

// hedgeLimits are the silences after which a call is hedged: before the answer begins, and within it.
type hedgeLimits struct {
	answer time.Duration
	pause  time.Duration
}

// hedgeLimits returns the limits of a call.
func (c *Client) hedgeLimits(call Call) hedgeLimits {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	typical := c.answerTimes.upperBound(c.options.MaxHedgeDelay)
	delay := max(call.MinHedgeDelay, min(max(typical, c.options.MinHedgeDelay), c.options.MaxHedgeDelay))
	return hedgeLimits{answer: call.MaxHold + delay, pause: max(delay, c.options.MaxPause)}
}

// shortestLimits returns the limits of a call whose connection may have gone silent.
func (c *Client) shortestLimits(call Call) hedgeLimits {
	delay := max(call.MinHedgeDelay, c.options.MinHedgeDelay)
	return hedgeLimits{answer: call.MaxHold + delay, pause: delay}
}

// recordTime updates the estimate with the time until a call's answer began, beyond MaxHold. An
// answer that came within MaxHold is skipped: it shows nothing about the server's speed.
func (c *Client) recordTime(call Call, first *attempt) {
	took, begun := first.answerTime()
	if !begun || took < call.MaxHold {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answerTimes.add(took - call.MaxHold)
}

// callResult is the result of one attempt.
type callResult struct {
	answer Answer
	err    error
}

// attempt is one send of a call.
type attempt struct {
	connectionPool *connectionPool
	done           chan callResult
	startedAt      time.Time

	// connected is set when the attempt has a connection, reused if that has carried a call before.
	connected atomic.Bool
	reused    atomic.Bool
	// receivedAt is when something was last received or the request was written, answeredAt
	// when the answer began (0 before). Both are in nanoseconds since startedAt.
	receivedAt atomic.Int64
	answeredAt atomic.Int64
	// upload tells when the request has been written, if it has a body.
	upload *Upload
}

func (a *attempt) recordActivity() { a.receivedAt.Store(int64(time.Since(a.startedAt))) }

func (a *attempt) silentFor() time.Duration {
	return time.Since(a.startedAt) - time.Duration(a.receivedAt.Load())
}

func (a *attempt) answerTime() (time.Duration, bool) {
	at := a.answeredAt.Load()
	return time.Duration(at), at != 0
}

// hedgeDelayRemaining returns how much longer the attempt may be silent before it is hedged.
func (a *attempt) hedgeDelayRemaining(limits hedgeLimits, hedgeNewConnections bool) time.Duration {
	if a.answeredAt.Load() != 0 {
		return limits.pause - a.silentFor()
	}
	if !a.connected.Load() || (!a.reused.Load() && !hedgeNewConnections) {
		return limits.answer
	}
	return limits.answer - a.silentFor()
}

// start sends a call over a pool's connections.
func (c *Client) start(ctx context.Context, call Call, url string, connections *connectionPool) *attempt {
	a := &attempt{connectionPool: connections, done: make(chan callResult, 1), startedAt: time.Now(), upload: NewUpload()}
	go func() {
		answer, err := a.run(ctx, call, url)
		a.done <- callResult{answer: answer, err: err}
	}()
	return a
}

// run sends the call and reads its answer. An attempt that received nothing for the call's timeout
// ends with context.DeadlineExceeded.
func (a *attempt) run(outer context.Context, call Call, url string) (Answer, error) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	stallTimer := time.AfterFunc(call.Timeout, cancel)
	defer stallTimer.Stop()
	answer, err := a.exchange(ctx, call, url, stallTimer)
	if err != nil && ctx.Err() != nil && !errors.Is(outer.Err(), context.Canceled) {
		err = context.DeadlineExceeded
	}
	return answer, err
}

func (a *attempt) exchange(ctx context.Context, call Call, url string, stallTimer *time.Timer) (Answer, error) {
	request, err := newRequest(httptrace.WithClientTrace(ctx, a.trace()), call, url)
	if err != nil {
		return Answer{}, err
	}
	response, err := CheckHeads(a.connectionPool.transport).RoundTrip(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a.recordActivity()
	began := time.Now()
	body := progressReader{body: response.Body, owner: a, stallTimer: stallTimer, timeout: call.Timeout}
	data, err := io.ReadAll(io.LimitReader(body, call.MaxBytes+1))
	if int64(len(data)) > call.MaxBytes {
		data, err = data[:call.MaxBytes], &AnswerTooLong{MaxBytes: call.MaxBytes}
	}
	if err == nil && response.StatusCode/100 == 2 && request.Body != nil {
		err = a.upload.Await(ctx)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: data, BodyTime: time.Since(began)}, err
}

func newRequest(ctx context.Context, call Call, url string) (*http.Request, error) {
	if call.Method == http.MethodGet {
		return http.NewRequestWithContext(ctx, call.Method, url, nil)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http can't send the request a second time.
	request.GetBody = nil
	request.Close = call.SendOnce
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// trace records the activity on the attempt's connection.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			a.reused.Store(got.Reused)
			a.recordActivity()
			a.connected.Store(true)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			a.recordActivity()
			a.upload.wrote(info)
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			a.recordActivity()
			return nil
		},
		GotFirstResponseByte: func() {
			a.answeredAt.CompareAndSwap(0, max(1, int64(time.Since(a.startedAt))))
			a.recordActivity()
		},
	}
}

// progressReader is a body that resets its call's stall timer on every read.
type progressReader struct {
	body       io.Reader
	owner      *attempt
	stallTimer *time.Timer
	timeout    time.Duration
}

// Read implements io.Reader.
func (p progressReader) Read(into []byte) (int, error) {
	count, err := p.body.Read(into)
	if count > 0 {
		p.owner.recordActivity()
		// If ExtraTime is 0 the call's context ends at the first timeout anyway.
		p.stallTimer.Reset(p.timeout)
	}
	return count, err
}

// answerTimes estimates how long answers take, as RFC 6298 does for acknowledgements: a mean
// and a mean deviation, with its weights.
type answerTimes struct {
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// The newest time counts with the weight 1/meanWeight in the mean and 1/deviationWeight in the
// deviation. The upper bound is deviationFactor deviations above the mean.
const (
	meanWeight      = 8
	deviationWeight = 4
	deviationFactor = 4
)

func (t *answerTimes) add(took time.Duration) {
	if !t.known {
		*t = answerTimes{known: true, mean: took, deviation: took / 2}
		return
	}
	t.deviation += ((took - t.mean).Abs() - t.deviation) / deviationWeight
	t.mean += (took - t.mean) / meanWeight
}

// upperBound returns a time that answers rarely exceed, or unknown before the first answer.
func (t *answerTimes) upperBound(unknown time.Duration) time.Duration {
	if !t.known {
		return unknown
	}
	return t.mean + deviationFactor*t.deviation
}
