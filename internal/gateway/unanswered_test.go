package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
)

// logLines collects log lines.
type logLines struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

// with returns the lines that contain a text.
func (l *logLines) with(text string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []string
	for line := range strings.SplitSeq(l.text.String(), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// servingGateway is a gateway that listens, with a forwarder of the test.
type servingGateway struct {
	*Gateway
	address string
	server  *http.Server
	lines   logLines
	// registry holds the gateway's metrics.
	registry *prometheus.Registry
}

const (
	unansweredMetric = "pinevane_unanswered_requests_total"
	panicsMetric     = "pinevane_handler_panics_total"
)

// counted returns the sum of a counter over its label values, or only for one of them.
func (g *servingGateway) counted(t *testing.T, name, label string) float64 {
	t.Helper()
	families, err := g.registry.Gather()
	require.NoError(t, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			if label == "" || metric.GetLabel()[0].GetValue() == label {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// forwardFunction stands for the forwarder.
type forwardFunction func(ctx context.Context, writer http.ResponseWriter, request *forward.Request) *fault.Refusal

func startGateway(t *testing.T, forwarder forwardFunction) *servingGateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startGatewayOn(t, listener, forwarder)
}

// testChunkTimeout is the time that callers have for each chunk of a response.
const testChunkTimeout = 250 * time.Millisecond

func startGatewayOn(t *testing.T, listener net.Listener, forwarder forwardFunction) *servingGateway {
	t.Helper()
	served := &servingGateway{address: listener.Addr().String()}
	configuration := &fleet.Configuration{Routes: []fleet.Route{
		{Name: "all", Host: "h", Prefix: "/", Kind: fleet.AtMostOnce, Timeout: 5 * time.Second, Attempts: 1},
	}}
	configuration.Index()
	view := &catalog.View{Configuration: configuration}
	served.registry = prometheus.NewRegistry()
	g := &Gateway{
		log: logging.NewBounded(zapcore.InfoLevel, "test", &served.lines), dialect: platform.Dialect{}, metrics: newMetrics(served.registry), memory: newMemory(0), chunkTimeout: testChunkTimeout,
		forward: forwarder, view: func() *catalog.View { return view },
	}
	g.serving, g.endRequests = context.WithCancelCause(context.Background())
	g.callers = newCallerListener(listener, g.recordUnwritten)
	served.Gateway = g
	served.server = &http.Server{Handler: http.HandlerFunc(g.serve), ConnState: g.callers.trackState, ReadHeaderTimeout: testGrace}
	go func() { _ = served.server.Serve(g.callers) }()
	t.Cleanup(func() { _ = served.server.Close() })
	return served
}

// assertUnanswered requires that the ending of one request without a complete response is counted and
// logged, with a cause; an empty cause means that there is none.
func (g *servingGateway) assertUnanswered(t *testing.T, cause unansweredCause) {
	t.Helper()
	if cause != "" {
		logged := func() []string {
			g.log.Sync()
			return g.lines.with(`"event":"PV4111"`)
		}
		require.Eventually(t, func() bool { return len(logged()) > 0 }, 2*time.Second, time.Millisecond, cause)
		lines := logged()
		require.Len(t, lines, 1)
		assert.Contains(t, lines[0], `"cause":"`+string(cause)+`"`)
		assert.EqualValues(t, 1, g.counted(t, unansweredMetric, string(cause)))
		return
	}
	g.log.Sync()
	assert.Empty(t, g.lines.with(`"event":"PV4111"`))
	assert.Zero(t, g.counted(t, unansweredMetric, ""))
}

// Guards against a handler that panics and leaves its caller without an answer, unlogged. The process
// serves on.
func TestPanicIsAnsweredWithInternalError(t *testing.T) {
	panics := true
	g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		if panics {
			writer.Header().Set("Response-Seal", "seal")
			writer.Header().Set("Content-Length", "1000")
			panic("fault of the test")
		}
		return fault.NotRun(fault.ReasonOverloaded, "later")
	})
	connection := sendRequest(t, g.address, "GET / HTTP/1.1", "")
	response := readHead(t, connection)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
	assert.Contains(t, string(body), `"reason":"internal","execution":"unknown"`)
	assert.Empty(t, response.Header.Get("Response-Seal"), "the response is the entry's own")
	assert.Empty(t, response.Header.Get("Retry-After"))
	g.assertUnanswered(t, "")
	assert.EqualValues(t, 1, g.counted(t, panicsMetric, ""))
	lines := g.lines.with(`"event":"PV4112"`)
	require.Len(t, lines, 1)
	assert.Contains(t, lines[0], `"level":"error"`)
	assert.Contains(t, lines[0], "fault of the test")
	panics = false
	status, _ := readResponse(t, sendRequest(t, g.address, "GET / HTTP/1.1", ""))
	assert.Equal(t, http.StatusServiceUnavailable, status, "the process serves on")
}

// Guards against a response that looks complete though its handler has panicked in the middle of it.
func TestPanicInResponseClosesConnection(t *testing.T) {
	g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		_, _ = io.WriteString(writer, "begun")
		writer.(http.Flusher).Flush()
		panic("fault of the test")
	})
	response := readHead(t, sendRequest(t, g.address, "GET / HTTP/1.1", ""))
	_, err := io.ReadAll(response.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	g.assertUnanswered(t, causePanic)
	assert.EqualValues(t, 1, g.counted(t, panicsMetric, ""))
}

// Guards against a response that is cut and looks complete to a caller of HTTP/1.0, which knows no chunks.
func TestAbortResetsConnectionWithoutChunks(t *testing.T) {
	g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		_, _ = io.WriteString(writer, "begun")
		writer.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	connection := sendRequest(t, g.address, "GET / HTTP/1.0", "")
	_, err := io.ReadAll(connection)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against an intended abort that is taken for a panic, and against one that hides its cause.
func TestAbortIsCountedByCause(t *testing.T) {
	abort := func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		_, _ = io.WriteString(writer, "begun")
		writer.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	t.Run("aborted", func(t *testing.T) {
		g := startGateway(t, abort)
		sendRequest(t, g.address, "GET / HTTP/1.1", "")
		g.assertUnanswered(t, causeAborted)
		assert.Zero(t, g.counted(t, panicsMetric, ""))
	})
	abortWhenCanceled := func(ctx context.Context, _ http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	t.Run("stop", func(t *testing.T) {
		g := startGateway(t, abortWhenCanceled)
		sendRequest(t, g.address, "GET / HTTP/1.1", "")
		g.endRequests(forward.ErrStopping)
		g.assertUnanswered(t, causeStop)
	})
	t.Run("caller left", func(t *testing.T) {
		g := startGateway(t, abortWhenCanceled)
		connection := sendRequest(t, g.address, "GET / HTTP/1.1", "")
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, connection.Close())
		g.assertUnanswered(t, causeCallerLeft)
	})
}

// Guards against responses that end unlogged because their callers have stopped reading: in the middle
// of a response, whose handler may abort it, and at its end, which the HTTP library writes.
func TestCallerThatStopsReadingIsCounted(t *testing.T) {
	write := func(ignoreErrors bool) forwardFunction {
		return func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
			if _, err := writer.Write(make([]byte, longResponse)); err != nil && !ignoreErrors {
				panic(http.ErrAbortHandler)
			}
			return nil
		}
	}
	t.Run("handler returns", func(t *testing.T) {
		g := startGateway(t, write(true))
		sendRequest(t, g.address, "GET / HTTP/1.1", "")
		g.assertUnanswered(t, causeWriteTimeout)
	})
	t.Run("handler aborts", func(t *testing.T) {
		g := startGateway(t, write(false))
		sendRequest(t, g.address, "GET / HTTP/1.1", "")
		g.assertUnanswered(t, causeWriteTimeout)
	})
	t.Run("end of the response", func(t *testing.T) {
		listener := &pipeListener{accepted: make(chan net.Conn, 1), closed: make(chan struct{})}
		g := startGatewayOn(t, listener, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
			_, _ = io.WriteString(writer, "response")
			return nil
		})
		near, far := net.Pipe()
		listener.accepted <- far
		_, err := io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n\r\n")
		require.NoError(t, err)
		g.assertUnanswered(t, causeWriteTimeout)
	})
}

// Guards against requests whose bodies can't be read and whose callers get no answer although they are
// still there, and against callers that have disconnected and are counted under another cause.
func TestUnreadableBodiesAreRefused(t *testing.T) {
	forwarded := func(context.Context, http.ResponseWriter, *forward.Request) *fault.Refusal {
		return fault.NotRun(fault.ReasonOverloaded, "forwarded")
	}
	for what, body := range map[string]string{
		"chunk length": "zz\r\n", "chunk end": "2\r\nabcdef\r\n", "chunk extension": "2;" + strings.Repeat("x", 8<<10) + "\r\n",
	} {
		t.Run(what, func(t *testing.T) {
			g := startGateway(t, forwarded)
			connection := sendRequest(t, g.address, "POST / HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n"+body)
			response := readHead(t, connection)
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusBadRequest, response.StatusCode)
			assert.True(t, response.Close)
			assert.Contains(t, string(text), `"reason":"bad-request","execution":"not-run"`)
			g.assertUnanswered(t, "")
		})
	}
	t.Run("caller left", func(t *testing.T) {
		g := startGateway(t, forwarded)
		connection := sendRequest(t, g.address, "POST / HTTP/1.1", "Content-Length: 10\r\n\r\nabc")
		require.Eventually(t, func() bool { return g.callers.openRequests() == 1 }, time.Second, time.Millisecond)
		require.NoError(t, connection.Close())
		g.assertUnanswered(t, causeCallerLeft)
	})
}

// Guards against a stop that closes the connection of a caller that is still sending its body.
func TestStopRefusesRequestsWhoseBodiesAreIncomplete(t *testing.T) {
	g := startGateway(t, nil)
	connection := sendRequest(t, g.address, "POST / HTTP/1.1", "Content-Length: 10\r\n\r\nabc")
	require.Eventually(t, func() bool { return g.callers.openRequests() == 1 }, time.Second, time.Millisecond)
	g.endRequests(forward.ErrStopping)
	status, body := readResponse(t, connection)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Contains(t, body, `"reason":"leaving","execution":"not-run"`)
}

// Guards against a response that the exit of the process cuts short and that is counted not at all, or
// once more when its write fails.
func TestResponseOpenAtExitIsCountedOnce(t *testing.T) {
	ended := make(chan struct{})
	g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		defer close(ended)
		if _, err := writer.Write(make([]byte, longResponse)); err != nil {
			panic(http.ErrAbortHandler)
		}
		return nil
	})
	g.chunkTimeout = time.Minute
	sendRequest(t, g.address, "GET / HTTP/1.1", "")
	require.Eventually(t, func() bool { return g.callers.openRequests() == 1 }, time.Second, time.Millisecond)
	g.drain(planSignaledAgo(readinessDelay))
	require.NoError(t, g.server.Close())
	<-ended
	require.Eventually(t, func() bool { return g.callers.count() == 0 }, time.Second, time.Millisecond)
	g.assertUnanswered(t, causeStop)
	g.log.Sync()
	require.Len(t, g.lines.with(`"event":"PV1003"`), 1)
	assert.Contains(t, g.lines.with(`"event":"PV1003"`)[0], `"open":1`)
}

// Guards against a complete response that is counted as unanswered.
func TestCompleteResponsesAreNotCounted(t *testing.T) {
	g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		_, _ = io.WriteString(writer, "response")
		return nil
	})
	for _, rest := range []string{"", "Connection: close\r\n\r\n"} {
		connection := sendRequest(t, g.address, "GET / HTTP/1.1", rest)
		_, body := readResponse(t, connection)
		assert.Equal(t, "response", body)
		require.NoError(t, connection.Close())
	}
	require.Eventually(t, func() bool { return g.callers.count() == 0 }, time.Second, time.Millisecond)
	g.assertUnanswered(t, "")
}

// sendRequest sends a request, given its request line and what follows its Request-Id.
func sendRequest(t *testing.T, address, line, rest string) net.Conn {
	t.Helper()
	return sendRequestOver(t, &net.Dialer{}, address, line, rest)
}

func sendRequestOver(t *testing.T, dialer *net.Dialer, address, line, rest string) net.Conn {
	t.Helper()
	connection, err := dialer.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	if rest == "" {
		rest = "\r\n"
	}
	_, err = io.WriteString(connection, line+"\r\nHost: h\r\nRequest-Id: r-1\r\n"+rest)
	require.NoError(t, err)
	return connection
}

func readHead(t *testing.T, connection net.Conn) *http.Response {
	t.Helper()
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	return response
}

// Guards against a request whose body arrives across the stop signal and that is taken as if there were
// no stop: until after the end of the process, or so late that it can't be answered.
func TestBodyThatArrivesAfterTheSignalIsLimitedToTheStop(t *testing.T) {
	for name, one := range map[string]struct {
		signaledAgo time.Duration
		status      int
	}{
		"in time":  {status: http.StatusOK},
		"too late": {signaledAgo: readinessDelay + time.Millisecond, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			deadlines := make(chan time.Time, 1)
			g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, request *forward.Request) *fault.Refusal {
				deadlines <- request.Deadline
				_, _ = io.WriteString(writer, "response")
				return nil
			})
			connection := sendRequest(t, g.address, "POST / HTTP/1.1", "Content-Length: 10\r\n\r\nabc")
			require.Eventually(t, func() bool { return g.callers.openRequests() == 1 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			plan := planSignaledAgo(one.signaledAgo)
			g.stop.Store(plan)
			_, err := io.WriteString(connection, "defghij")
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			assert.Equal(t, one.status, response.StatusCode)
			assert.True(t, response.Close, "the caller's next request goes elsewhere")
			if one.status == http.StatusOK {
				assert.Equal(t, plan.lastDeadline, <-deadlines)
			}
			assert.Empty(t, deadlines)
		})
	}
}
