package network

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testQuiet is the silence after which calls of the tests are hedged.
const testQuiet = 100 * time.Millisecond

// mutable makes connections that can be made to bring nothing any more, as if everything sent
// on them were acknowledged and passed on to nobody.
type mutable struct {
	mutex   sync.Mutex
	open    []*mutableConnection
	dialled atomic.Int64
}

type mutableConnection struct {
	net.Conn
	mute chan struct{}
	gone chan struct{}
	once sync.Once
}

func (m *mutable) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	made, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	m.dialled.Add(1)
	one := &mutableConnection{Conn: made, mute: make(chan struct{}), gone: make(chan struct{})}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.open = append(m.open, one)
	return one, nil
}

// silence has all connections that are open now fall mute.
func (m *mutable) silence() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, one := range m.open {
		close(one.mute)
	}
	m.open = nil
}

func (c *mutableConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	select {
	case <-c.mute:
		<-c.gone
		return 0, io.EOF
	default:
		return count, err
	}
}

func (c *mutableConnection) Write(data []byte) (int, error) {
	select {
	case <-c.mute:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

func (c *mutableConnection) Close() error {
	c.once.Do(func() { close(c.gone) })
	return c.Conn.Close()
}

func newTestClient(t *testing.T, handler http.HandlerFunc) (*Client, *mutable, *atomic.Int64, Call) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	connections, silences := &mutable{}, &atomic.Int64{}
	client := NewClient(ClientOptions{
		Dial: connections.dial, MaxIdle: 4, IdleTimeout: time.Minute, MinHedgeDelay: testQuiet, MaxHedgeDelay: testQuiet,
		OnSilent: func(time.Duration) { silences.Add(1) },
	})
	return client, connections, silences, Call{Method: http.MethodGet, URL: server.URL, Timeout: 2 * time.Second, MaxBytes: 1 << 10}
}

// Calls that are under way on several connections when these go silent are all answered about
// one quiet time later, and one of them finds it out for all.
func TestCallsOverSilentConnectionsAreHedged(t *testing.T) {
	const calls = 4
	var held atomic.Bool
	var arrived sync.WaitGroup
	arrived.Add(calls)
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if held.Load() {
			arrived.Done()
			arrived.Wait()
		}
		_, _ = writer.Write([]byte("answer"))
	})
	all := func() {
		var running sync.WaitGroup
		for range calls {
			running.Go(func() {
				answer, err := client.Do(context.Background(), call)
				assert.NoError(t, err)
				assert.Equal(t, "answer", string(answer.Body))
			})
		}
		running.Wait()
	}
	held.Store(true)
	all()
	held.Store(false)
	require.Equal(t, int64(calls), connections.dialled.Load())
	connections.silence()
	began := time.Now()
	all()
	assert.Less(t, time.Since(began), 4*testQuiet)
	assert.Equal(t, int64(1), silences.Load())
	assert.LessOrEqual(t, connections.dialled.Load(), int64(2*calls))
	before := connections.dialled.Load()
	began = time.Now()
	all()
	assert.Less(t, time.Since(began), testQuiet, "no call waits for a silent connection any more")
	assert.LessOrEqual(t, connections.dialled.Load(), before+calls)
}

// A call over a silent connection whose answer may be held back for long is answered as soon as something
// else shows a silence, and not only after that time.
func TestSuspectedCallsAreHedgedAtOnce(t *testing.T) {
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("answer"))
	})
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	connections.silence()
	call.MaxHold = time.Second
	time.AfterFunc(2*testQuiet, client.HedgePending)
	began := time.Now()
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(answer.Body))
	assert.Less(t, time.Since(began), call.MaxHold)
	assert.Equal(t, int64(1), silences.Load())
}

// A suspected connection that works is kept, and its answer is used.
func TestSuspectedConnectionThatAnswersIsKept(t *testing.T) {
	var asked atomic.Int64
	first := make(chan struct{})
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		switch asked.Add(1) {
		case 2:
			<-first
		case 3:
			close(first)
			time.Sleep(2 * testQuiet)
		}
		_, _ = writer.Write([]byte("answer"))
	})
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	call.MaxHold = time.Second
	time.AfterFunc(testQuiet, client.HedgePending)
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Zero(t, silences.Load())
	before := connections.dialled.Load()
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, before, connections.dialled.Load(), "the kept connection serves on")
}

// A callee that answers late is not taken for silent: its answer is used, its connection kept.
func TestALateAnswerOverAKeptConnectionIsUsed(t *testing.T) {
	var number atomic.Int64
	client, _, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if number.Add(1) > 1 {
			time.Sleep(2 * testQuiet)
		}
		_, _ = writer.Write([]byte("answer"))
	})
	for range 3 {
		answer, err := client.Do(context.Background(), call)
		require.NoError(t, err)
		assert.Equal(t, "answer", string(answer.Body))
	}
	assert.Zero(t, silences.Load())
}

// An answer that stops midway is read again over a fresh connection.
func TestAnAnswerThatStopsMidwayIsReadAgain(t *testing.T) {
	var number atomic.Int64
	var connections *mutable
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("be"))
		writer.(http.Flusher).Flush()
		if number.Add(1) == 1 {
			time.Sleep(testQuiet / 2)
			connections.silence()
		}
		_, _ = writer.Write([]byte("gun"))
	})
	began := time.Now()
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, "begun", string(answer.Body))
	assert.Less(t, time.Since(began), bodyPause+4*testQuiet)
	assert.Equal(t, int64(1), silences.Load())
}

// A call that must not be sent twice is sent once, over a connection of its own.
func TestACallThatMustNotBeRepeatedGoesOverAFreshConnection(t *testing.T) {
	var runs atomic.Int64
	client, connections, _, call := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			runs.Add(1)
		}
		_, _ = writer.Write([]byte("answer"))
	})
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	connections.silence()
	call.Method, call.SendOnce = http.MethodPost, true
	began := time.Now()
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Less(t, time.Since(began), testQuiet)
	assert.Equal(t, int64(1), runs.Load())
}

// A callee that lets a call wait and says so now and then is not hedged.
func TestSignsOfAWaitAreHeard(t *testing.T) {
	var runs atomic.Int64
	client, _, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			for range 8 {
				time.Sleep(testQuiet / 2)
				writer.WriteHeader(http.StatusProcessing)
			}
		}
		_, _ = writer.Write([]byte("answer"))
	})
	for range 2 {
		_, err := client.Do(context.Background(), call)
		require.NoError(t, err)
	}
	assert.Equal(t, int64(2), runs.Load())
	assert.Zero(t, silences.Load())
}

// A connection that has carried no answer yet may lead to a callee that stands still: the call
// is not sent to it twice, and ends with its time.
func TestACalleeThatStandsStillIsNotHedged(t *testing.T) {
	var runs atomic.Int64
	client, _, silences, call := newTestClient(t, func(_ http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		<-request.Context().Done()
	})
	call.Timeout = 4 * testQuiet
	_, err := client.Do(context.Background(), call)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, int64(1), runs.Load())
	assert.Zero(t, silences.Load())
}

// The bound follows the answers' times and their spread.
func TestAnswerTimesAreBounded(t *testing.T) {
	var times answerTimes
	assert.Equal(t, time.Second, times.bound(time.Second))
	for range 50 {
		times.add(10 * time.Millisecond)
	}
	assert.Less(t, times.bound(time.Second), 15*time.Millisecond)
	times.add(100 * time.Millisecond)
	assert.Greater(t, times.bound(time.Second), 100*time.Millisecond)
}

// A PUT that its server takes up late, because it is slow and not silent, is overtaken by its
// hedge: the call does not end before it has been carried out, so that it can't overwrite what the
// next call writes.
func TestHedgedPutDoesNotOutlastItsCall(t *testing.T) {
	const heldUp = 600 * time.Millisecond
	var calls atomic.Int32
	var mutex sync.Mutex
	stored := ""
	client, _, _, call := newTestClient(t, func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if calls.Add(1) == 2 {
			time.Sleep(heldUp)
		}
		mutex.Lock()
		defer mutex.Unlock()
		stored = string(body)
	})
	call.Method = http.MethodPut
	for _, version := range []string{"version 1", "version 2", "version 3"} {
		call.Body = []byte(version)
		answer, err := client.Do(context.Background(), call)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
	assert.EqualValues(t, 4, calls.Load(), "the second is hedged")
	time.Sleep(heldUp + testQuiet)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, "version 3", stored)
}

// A PUT over a silent connection is done over another one, at its time limit at the latest.
func TestHedgedPutOverASilentConnectionIsDone(t *testing.T) {
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	})
	call.Method, call.Timeout = http.MethodPut, 500*time.Millisecond
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	connections.silence()
	began := time.Now()
	call.Body = []byte("piece")
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, "piece", string(answer.Body))
	assert.Less(t, time.Since(began), call.Timeout+testQuiet)
	assert.EqualValues(t, 1, silences.Load())
}
