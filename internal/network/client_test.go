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

// testHedgeDelay is the silence after which the calls in these tests are hedged.
const testHedgeDelay = 100 * time.Millisecond

// silenceableDialer makes connections that can be silenced: from then on they receive nothing, and
// everything sent over them is accepted and dropped.
type silenceableDialer struct {
	mutex   sync.Mutex
	open    []*silenceableConnection
	dialled atomic.Int64
}

type silenceableConnection struct {
	net.Conn
	silenced chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func (d *silenceableDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	made, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.dialled.Add(1)
	connection := &silenceableConnection{Conn: made, silenced: make(chan struct{}), closed: make(chan struct{})}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open = append(d.open, connection)
	return connection, nil
}

// silence silences all connections that are open now.
func (d *silenceableDialer) silence() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, connection := range d.open {
		close(connection.silenced)
	}
	d.open = nil
}

func (c *silenceableConnection) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	select {
	case <-c.silenced:
		<-c.closed
		return 0, io.EOF
	default:
		return count, err
	}
}

func (c *silenceableConnection) Write(data []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

func (c *silenceableConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func newTestClient(t *testing.T, handler http.HandlerFunc) (*Client, *silenceableDialer, *atomic.Int64, Call) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	connections, silences := &silenceableDialer{}, &atomic.Int64{}
	client := NewClient(ClientOptions{
		Dial: connections.dial, MaxIdle: 4, IdleTimeout: time.Minute, MinHedgeDelay: testHedgeDelay, MaxHedgeDelay: testHedgeDelay,
		OnSilent: func(time.Duration) { silences.Add(1) },
	})
	return client, connections, silences, Call{Method: http.MethodGet, URL: server.URL, Timeout: 2 * time.Second, MaxBytes: 1 << 10}
}

// Calls over several connections that have all gone silent are answered about one hedge delay
// later, and the silence is reported once.
func TestCallsOverSilentConnectionsAreHedged(t *testing.T) {
	const calls = 4
	var blocking atomic.Bool
	var arrived sync.WaitGroup
	arrived.Add(calls)
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if blocking.Load() {
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
	blocking.Store(true)
	all()
	blocking.Store(false)
	require.Equal(t, int64(calls), connections.dialled.Load())
	connections.silence()
	began := time.Now()
	all()
	assert.Less(t, time.Since(began), 4*testHedgeDelay)
	assert.Equal(t, int64(1), silences.Load())
	assert.LessOrEqual(t, connections.dialled.Load(), int64(2*calls))
	before := connections.dialled.Load()
	began = time.Now()
	all()
	assert.Less(t, time.Since(began), testHedgeDelay, "no call waits for a silent connection")
	assert.LessOrEqual(t, connections.dialled.Load(), before+calls)
}

// A call whose answer may be held back for MaxHold is hedged at once when HedgePending is called,
// not only after that time.
func TestHedgePendingHedgesAtOnce(t *testing.T) {
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("answer"))
	})
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	connections.silence()
	call.MaxHold = time.Second
	time.AfterFunc(2*testHedgeDelay, client.HedgePending)
	began := time.Now()
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(answer.Body))
	assert.Less(t, time.Since(began), call.MaxHold)
	assert.Equal(t, int64(1), silences.Load())
}

// A connection that answers after its call was hedged is kept, and its answer is used.
func TestHedgedConnectionThatAnswersIsKept(t *testing.T) {
	var received atomic.Int64
	first := make(chan struct{})
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		switch received.Add(1) {
		case 2:
			<-first
		case 3:
			close(first)
			time.Sleep(2 * testHedgeDelay)
		}
		_, _ = writer.Write([]byte("answer"))
	})
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	call.MaxHold = time.Second
	time.AfterFunc(testHedgeDelay, client.HedgePending)
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Zero(t, silences.Load())
	before := connections.dialled.Load()
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, before, connections.dialled.Load(), "the kept connection is reused")
}

// A server that answers late does not count as silent: its answer is used, its connection kept.
func TestLateAnswerOverPooledConnectionIsUsed(t *testing.T) {
	var number atomic.Int64
	client, _, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if number.Add(1) > 1 {
			time.Sleep(2 * testHedgeDelay)
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

// An answer that stops midway is read again over a new connection.
func TestTruncatedAnswerIsReadAgain(t *testing.T) {
	var number atomic.Int64
	var connections *silenceableDialer
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("be"))
		writer.(http.Flusher).Flush()
		if number.Add(1) == 1 {
			time.Sleep(testHedgeDelay / 2)
			connections.silence()
		}
		_, _ = writer.Write([]byte("gun"))
	})
	began := time.Now()
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, "begun", string(answer.Body))
	assert.Less(t, time.Since(began), defaultMaxPause+4*testHedgeDelay)
	assert.Equal(t, int64(1), silences.Load())
}

// Once silence is suspected, an answer that stops midway is read again after the minimum delay, not after
// the pause that a busy link explains, and idle connections are not used any more.
func TestSuspectShortensPauseAndClosesIdleConnections(t *testing.T) {
	var number atomic.Int64
	var connections *silenceableDialer
	client, connections, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("be"))
		writer.(http.Flusher).Flush()
		if number.Add(1) == 1 {
			time.Sleep(testHedgeDelay / 2)
			connections.silence()
		}
		_, _ = writer.Write([]byte("gun"))
	})
	time.AfterFunc(2*testHedgeDelay, client.Suspect)
	began := time.Now()
	answer, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, "begun", string(answer.Body))
	assert.Less(t, time.Since(began), defaultMaxPause/2)
	assert.Equal(t, int64(1), silences.Load())
	connections.silence()
	client.Suspect()
	began = time.Now()
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Less(t, time.Since(began), testHedgeDelay)
	assert.Equal(t, int64(1), silences.Load(), "no silent connection was used")
}

// A call in flight is not sent again at once when silence is suspected: its connection may be sound.
func TestSuspectLeavesRecentCallsAlone(t *testing.T) {
	var received atomic.Int64
	client, _, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if received.Add(1) > 1 {
			time.Sleep(testHedgeDelay / 2)
		}
		_, _ = writer.Write([]byte("answer"))
	})
	_, err := client.Do(context.Background(), call)
	require.NoError(t, err)
	time.AfterFunc(testHedgeDelay/4, client.Suspect)
	_, err = client.Do(context.Background(), call)
	require.NoError(t, err)
	assert.Equal(t, int64(2), received.Load())
	assert.Zero(t, silences.Load())
}

// A call with SendOnce is sent once, over a connection of its own.
func TestSendOnceUsesNewConnection(t *testing.T) {
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
	assert.Less(t, time.Since(began), testHedgeDelay)
	assert.Equal(t, int64(1), runs.Load())
}

// A call is not hedged while the server sends interim (1xx) responses.
func TestInterimResponsesPreventHedge(t *testing.T) {
	var runs atomic.Int64
	client, _, silences, call := newTestClient(t, func(writer http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			for range 8 {
				time.Sleep(testHedgeDelay / 2)
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

// A new connection may lead to a server that hangs: the call is not sent twice, and ends with its
// timeout.
func TestCallOverNewConnectionIsNotHedged(t *testing.T) {
	var runs atomic.Int64
	client, _, silences, call := newTestClient(t, func(_ http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		<-request.Context().Done()
	})
	call.Timeout = 4 * testHedgeDelay
	_, err := client.Do(context.Background(), call)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, int64(1), runs.Load())
	assert.Zero(t, silences.Load())
}

// The upper bound follows the mean and the deviation of the answer times.
func TestAnswerTimesUpperBound(t *testing.T) {
	var times answerTimes
	assert.Equal(t, time.Second, times.upperBound(time.Second))
	for range 50 {
		times.add(10 * time.Millisecond)
	}
	assert.Less(t, times.upperBound(time.Second), 15*time.Millisecond)
	times.add(100 * time.Millisecond)
	assert.Greater(t, times.upperBound(time.Second), 100*time.Millisecond)
}

// Guards against lost writes: a PUT that a slow server delays is overtaken by its hedge. The call
// must not return before the server has executed the delayed one too, which would otherwise
// overwrite what the next call writes.
func TestHedgedPutEndsBeforeCallReturns(t *testing.T) {
	const delay = 600 * time.Millisecond
	var calls atomic.Int32
	var mutex sync.Mutex
	stored := ""
	client, _, _, call := newTestClient(t, func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if calls.Add(1) == 2 {
			time.Sleep(delay)
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
	time.Sleep(delay + testHedgeDelay)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, "version 3", stored)
}

// A PUT over a silent connection is sent over another one and returns by its timeout.
func TestPutOverSilentConnectionIsHedged(t *testing.T) {
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
	assert.Less(t, time.Since(began), call.Timeout+testHedgeDelay)
	assert.EqualValues(t, 1, silences.Load())
}
