package network

import (
	"bytes"
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
// the connection itself tells that from a callee that takes its time; a fresh connection does.
// A Client therefore hedges a call that has heard nothing over a kept connection for longer than
// answers take: it sends the call once more over a fresh connection, and uses the answer that
// comes first. When that is the hedge's, all connections as old as the silent one are distrusted:
// none takes a further call, and the calls that are under way on them are hedged at once.

// bodyPause is the pause in an answer that has begun, after which the call is hedged: packets
// wait over half a second on links on which pieces of weights move.
const bodyPause = time.Second

// ClientOptions describe a Client.
type ClientOptions struct {
	// Dial makes connections; Idle of them are kept, for IdleTimeout at most.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	MaxIdle     int
	IdleTimeout time.Duration
	// ReadBuffer and WriteBuffer are the bytes buffered for a connection.
	ReadBuffer  int
	WriteBuffer int
	// MinHedgeDelay and MostQuiet bound the silence after which a call is hedged. Between them
	// it follows the times that answers take.
	MinHedgeDelay time.Duration
	MaxHedgeDelay time.Duration
	// HedgeNewConnections also hedges calls over connections that have carried no answer yet.
	HedgeNewConnections bool
	// OnSilent is told of each silence that a hedge has shown. It may be nil.
	OnSilent func(silent time.Duration)
}

// Call is one HTTP call.
type Call struct {
	Method      string
	URL         string
	Body        []byte
	ContentType string
	// Timeout bounds the time until the answer begins and each pause in it; Longer is by how
	// much the whole call may exceed it.
	Timeout   time.Duration
	ExtraTime time.Duration
	// MaxBytes bounds the bytes of the answer that are read.
	MaxBytes int64
	// MaxHold is how long the callee may keep back an answer that it has.
	MaxHold time.Duration
	// MinHedgeDelay is the least silence after which this call is hedged, where that is more
	// than the client's.
	MinHedgeDelay time.Duration
	// HedgeURL is what a hedge asks for, if not the same.
	HedgeURL string
	// ProbeURL, if set, is asked first when the call is to be hedged: the call is sent again only if
	// the probe is answered before anything is heard of the call. It is for answers so large that
	// several of them at once fill a link: there the probe's answer waits behind the call's.
	ProbeURL string
	// SendOnce forbids a second send. Such a call goes over a fresh connection, which no silence
	// has struck before.
	SendOnce bool
}

// Answer is what a call has brought. Status is 0 when no answer has begun.
type Answer struct {
	Status int
	Body   []byte
	// BodyTime is how long the body took once the answer had begun.
	BodyTime time.Duration
}

// generation is the connections made since the last silence.
type generation struct {
	transport *http.Transport
	// distrusted is closed when one of the connections turned out to be silent.
	distrusted chan struct{}
}

// Client makes HTTP calls to one address over kept connections. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	mutex   sync.Mutex
	trusted *generation
	// candidate is what hedges go over, which replaces trusted if one of them shows it silent.
	candidate *generation
	times     answerTimes
	// suspected is closed, and replaced, when something else shows that open connections may be silent.
	suspected chan struct{}
}

// NewClient returns a client without connections.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options, suspected: make(chan struct{})}
	c.trusted = c.newGeneration()
	return c
}

// SetOnSilent sets the function that is told of silences, before the first call.
func (c *Client) SetOnSilent(function func(silent time.Duration)) { c.options.OnSilent = function }

// HedgePending has the calls that wait for an answer hedged now, because connections to other processes have
// turned out to be silent. Calls that are begun later are not concerned.
func (c *Client) HedgePending() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.suspected)
	c.suspected = make(chan struct{})
}

func (c *Client) newGeneration() *generation {
	return &generation{
		transport: &http.Transport{
			DialContext: c.options.Dial, MaxIdleConnsPerHost: c.options.MaxIdle, IdleConnTimeout: c.options.IdleTimeout,
			DisableKeepAlives: c.options.MaxIdle == 0, DisableCompression: true,
			ReadBufferSize: c.options.ReadBuffer, WriteBufferSize: c.options.WriteBuffer,
		},
		distrusted: make(chan struct{}),
	}
}

// Do makes a call and reads its answer whole. An answer that breaks off is returned with its
// status and an error.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+call.ExtraTime)
	defer cancel()
	if call.SendOnce {
		once := c.newGeneration()
		defer once.transport.CloseIdleConnections()
		result := <-c.begin(ctx, call, call.URL, once).done
		return result.answer, result.err
	}
	first := c.begin(ctx, call, call.URL, c.current())
	for {
		if result, ended := c.awaitQuiet(call, first); ended {
			return result.answer, result.err
		}
		if call.ProbeURL == "" || c.outrun(ctx, call, first) {
			return c.hedge(ctx, call, first)
		}
	}
}

// outrun reports whether a probe that is sent now is answered before anything more is heard of a
// call. A probe that fails tells nothing.
func (c *Client) outrun(ctx context.Context, call Call, first *attempt) bool {
	heard := first.heardAt.Load()
	probe := c.begin(ctx, call, call.ProbeURL, c.fresh(first.generation))
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
	return first.heardAt.Load() == heard
}

// probeGrace is how long a call may come after the probe that was sent behind it: both travel over
// connections of their own, and packets of either may be delayed by some milliseconds.
const probeGrace = 50 * time.Millisecond

func (c *Client) current() *generation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.trusted
}

// awaitQuiet waits for a call's result, and reports false when the call is to be hedged.
func (c *Client) awaitQuiet(call Call, first *attempt) (callResult, bool) {
	quiet := c.quiet(call)
	timer := time.NewTimer(quiet)
	defer timer.Stop()
	suspected := c.suspicion()
	for {
		select {
		case result := <-first.done:
			c.noteTime(call, first)
			return result, true
		case <-first.generation.distrusted:
			return callResult{}, false
		case <-suspected:
			return callResult{}, false
		case <-timer.C:
			left := first.untilQuiet(call.MaxHold+quiet, c.options.HedgeNewConnections)
			if left <= 0 {
				return callResult{}, false
			}
			timer.Reset(left)
		}
	}
}

func (c *Client) suspicion() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.suspected
}

// hedge sends a call once more and returns the result that comes first, unless it is an error
// and the other one is still to come. A write, a call with PUT, waits for the end of both sends:
// one that is carried out after the call has returned could overwrite what a later call wrote.
func (c *Client) hedge(ctx context.Context, call Call, first *attempt) (Answer, error) {
	url := call.URL
	if call.HedgeURL != "" {
		url = call.HedgeURL
	}
	second := c.begin(ctx, call, url, c.fresh(first.generation))
	write := call.Method == http.MethodPut
	var result callResult
	select {
	case result = <-first.done:
		if result.err == nil {
			c.noteSlow(call, first)
			return result.afterOther(second, write)
		}
		result = <-second.done
	case result = <-second.done:
		if result.err != nil {
			result = <-first.done
			break
		}
		if silent := first.silence(); silent >= c.options.MinHedgeDelay {
			c.distrust(first.generation, second.generation, silent)
		}
		return result.afterOther(first, write)
	}
	return result.answer, result.err
}

// afterOther returns a result at once, or that of a write once the other send has ended too, as
// it does at the call's time limit at the latest.
func (r callResult) afterOther(other *attempt, write bool) (Answer, error) {
	if write {
		<-other.done
	}
	return r.answer, r.err
}

// fresh is where a hedge of a call goes: over connections made after a generation.
func (c *Client) fresh(suspected *generation) *generation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.trusted != suspected {
		return c.trusted
	}
	if c.candidate == nil {
		c.candidate = c.newGeneration()
	}
	return c.candidate
}

// distrust ends the use of a generation of which a connection is silent.
func (c *Client) distrust(silent, successor *generation, after time.Duration) {
	c.mutex.Lock()
	if c.trusted != silent {
		c.mutex.Unlock()
		return
	}
	c.trusted, c.candidate = successor, nil
	c.mutex.Unlock()
	close(silent.distrusted)
	silent.transport.CloseIdleConnections()
	if c.options.OnSilent != nil {
		c.options.OnSilent(after)
	}
}

// noteSlow notes that a suspected connection has answered before the hedge.
func (c *Client) noteSlow(call Call, first *attempt) {
	c.noteTime(call, first)
	c.mutex.Lock()
	candidate := c.candidate
	c.candidate = nil
	c.mutex.Unlock()
	if candidate != nil {
		candidate.transport.CloseIdleConnections()
	}
}

// quiet is the silence after which a call is hedged.
func (c *Client) quiet(call Call) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	usual := c.times.bound(c.options.MaxHedgeDelay)
	return max(call.MinHedgeDelay, min(max(usual, c.options.MinHedgeDelay), c.options.MaxHedgeDelay))
}

// noteTime learns from the time that the answer to a call took to begin. What came before the
// callee had to answer tells nothing.
func (c *Client) noteTime(call Call, first *attempt) {
	took, begun := first.answerTime()
	if !begun || took < call.MaxHold {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.times.add(took - call.MaxHold)
}

// callResult is what became of one attempt.
type callResult struct {
	answer Answer
	err    error
}

// attempt is one send of a call.
type attempt struct {
	generation *generation
	done       chan callResult
	began      time.Time

	// connected is set when there is a connection, reused when it has carried a call before.
	connected atomic.Bool
	reused    atomic.Bool
	// heardAt is when something was heard last, in nanoseconds since began, or the request
	// was written; answeredAt is when the answer began, 0 before.
	heardAt    atomic.Int64
	answeredAt atomic.Int64
}

func (a *attempt) hear() { a.heardAt.Store(int64(time.Since(a.began))) }

func (a *attempt) silence() time.Duration {
	return time.Since(a.began) - time.Duration(a.heardAt.Load())
}

func (a *attempt) answerTime() (time.Duration, bool) {
	at := a.answeredAt.Load()
	return time.Duration(at), at != 0
}

// untilQuiet is how long the attempt may still be silent until it is suspected.
func (a *attempt) untilQuiet(quiet time.Duration, suspectsNew bool) time.Duration {
	answered := a.answeredAt.Load() != 0
	if answered {
		return max(quiet, bodyPause) - a.silence()
	}
	if !a.connected.Load() || (!a.reused.Load() && !suspectsNew) {
		return quiet
	}
	return quiet - a.silence()
}

// begin sends a call over a generation's connections.
func (c *Client) begin(ctx context.Context, call Call, url string, over *generation) *attempt {
	a := &attempt{generation: over, done: make(chan callResult, 1), began: time.Now()}
	go func() {
		answer, err := a.run(ctx, call, url)
		a.done <- callResult{answer: answer, err: err}
	}()
	return a
}

// run sends the call and reads its answer. An attempt that is given up because nothing came for
// the call's time limit ends with context.DeadlineExceeded.
func (a *attempt) run(outer context.Context, call Call, url string) (Answer, error) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	stalled := time.AfterFunc(call.Timeout, cancel)
	defer stalled.Stop()
	answer, err := a.exchange(ctx, call, url, stalled)
	if err != nil && ctx.Err() != nil && !errors.Is(outer.Err(), context.Canceled) {
		err = context.DeadlineExceeded
	}
	return answer, err
}

func (a *attempt) exchange(ctx context.Context, call Call, url string, stalled *time.Timer) (Answer, error) {
	request, err := newRequest(httptrace.WithClientTrace(ctx, a.trace()), call, url)
	if err != nil {
		return Answer{}, err
	}
	response, err := a.generation.transport.RoundTrip(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a.hear()
	began := time.Now()
	body := progress{from: response.Body, of: a, stalled: stalled, timeout: call.Timeout}
	data, err := io.ReadAll(io.LimitReader(body, call.MaxBytes))
	return Answer{Status: response.StatusCode, Body: data, BodyTime: time.Since(began)}, err
}

func newRequest(ctx context.Context, call Call, url string) (*http.Request, error) {
	if call.Method == http.MethodGet {
		return http.NewRequestWithContext(ctx, call.Method, url, nil)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the library can't send the request a second time.
	request.GetBody = nil
	request.Close = call.SendOnce
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	return request, nil
}

// trace notes what is heard on the attempt's connection.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			a.reused.Store(got.Reused)
			a.hear()
			a.connected.Store(true)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { a.hear() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			a.hear()
			return nil
		},
		GotFirstResponseByte: func() {
			a.answeredAt.CompareAndSwap(0, max(1, int64(time.Since(a.began))))
			a.hear()
		},
	}
}

// progress is a body whose reading puts off the end of its call.
type progress struct {
	from    io.Reader
	of      *attempt
	stalled *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (p progress) Read(into []byte) (int, error) {
	count, err := p.from.Read(into)
	if count > 0 {
		p.of.hear()
		// Without a longer bound the call's context ends at the first timeout anyway.
		p.stalled.Reset(p.timeout)
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

// Weights of the newest time, and the deviations above the mean that are waited for.
const (
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4
)

func (t *answerTimes) add(took time.Duration) {
	if !t.known {
		*t = answerTimes{known: true, mean: took, deviation: took / 2}
		return
	}
	t.deviation += ((took - t.mean).Abs() - t.deviation) / deviationWeight
	t.mean += (took - t.mean) / meanWeight
}

// bound is what answers rarely exceed; before the first one it is a given time.
func (t *answerTimes) bound(unknown time.Duration) time.Duration {
	if !t.known {
		return unknown
	}
	return t.mean + deviations*t.deviation
}
