package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
)

// longResponse is larger than the socket buffers of both ends of a connection.
const longResponse = 64 << 20

// serveResponse starts a server whose response has the given length and a write timeout for each chunk. The
// result of the write is sent to ended.
func serveResponse(t *testing.T, length int, chunkTimeout time.Duration) (address string, ended chan error) {
	ended = make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		caller := newCallerWriter(writer, chunkTimeout)
		defer caller.extendDeadline()
		_, err := caller.Write(make([]byte, length))
		ended <- err
	}))
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), ended
}

func sendGet(t *testing.T, address string) net.Conn {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	return connection
}

// A caller that has stopped reading is cut off after the timeout of a chunk, instead of blocking the
// handler that writes to it until it disconnects.
func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	const chunkTimeout = 250 * time.Millisecond
	address, ended := serveResponse(t, longResponse, chunkTimeout)
	sendGet(t, address)
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(40 * chunkTimeout):
		assert.Fail(t, "the response is still being written")
	}
}

// A caller that keeps reading slowly gets its complete response, though that takes many times the
// timeout of a chunk.
func TestSlowReaderGetsItsCompleteResponse(t *testing.T) {
	const (
		length, pauses = 32 << 20, 16
		chunkTimeout   = 1500 * time.Millisecond
		// pause is a fifth of the timeout, as a margin for busy machines; all pauses together are
		// several timeouts.
		pause = chunkTimeout / 5
	)
	address, ended := serveResponse(t, length, chunkTimeout)
	connection := sendGet(t, address)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	read := int64(0)
	for range pauses {
		time.Sleep(pause)
		count, err := io.CopyN(io.Discard, response.Body, length/pauses)
		require.NoError(t, err)
		read += count
	}
	assert.Equal(t, int64(length), read)
	assert.NoError(t, <-ended)
}

// Guards against the cut of a caller that reads steadily, but so slowly that the kernel's buffers admit
// no further byte for many times the timeout of a chunk.
func TestSteadySlowReaderIsNotCutOff(t *testing.T) {
	const (
		chunkTimeout = time.Second
		readBytes    = 3200
		readPeriod   = 50 * time.Millisecond
		readFor      = 6 * time.Second
		// readBufferBytes lets the caller's kernel report room in small steps, as over a network.
		readBufferBytes = 4 << 10
	)
	// The buffer has its size before the first byte arrives: one that is made smaller later reports no room until
	// all that it holds beyond the new size has been read.
	dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(descriptor uintptr) {
			err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBufferBytes)
		})
		return errors.Join(controlErr, err)
	}}
	g := startGateway(t, func(_ context.Context, writer http.ResponseWriter, _ *forward.Request) *fault.Refusal {
		_, _ = writer.Write(make([]byte, longResponse))
		return nil
	})
	g.chunkTimeout = chunkTimeout
	connection := sendRequestOver(t, dialer, g.address, "GET / HTTP/1.1", "")
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, 16), nil)
	require.NoError(t, err)
	for began := time.Now(); time.Since(began) < readFor; {
		time.Sleep(readPeriod)
		_, err := io.CopyN(io.Discard, response.Body, readBytes)
		require.NoError(t, err)
	}
	g.assertUnanswered(t, "")
}

// serveBodies serves requests whose bodies are read as a Gateway reads them, within a deadline and a memory limit.
func serveBodies(tb testing.TB, within time.Duration, memoryBytes int64) string {
	memory := newMemory(memoryBytes)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		request := &forward.Request{Deadline: time.Now().Add(within), Memory: memory.Open("tenant")}
		defer request.Memory.Close()
		if refusal := readBody(writer, incoming, fleet.Limits{}, request, io.Discard); refusal != nil {
			http.Error(writer, string(refusal.Reason), statusOf(refusal))
			return
		}
		_, _ = fmt.Fprint(writer, len(request.Body))
	}))
	tb.Cleanup(server.CloseClientConnections)
	tb.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// sendBody sends a request that announces a body, and a part of the body.
func sendBody(tb testing.TB, address string, announced, sent int) net.Conn {
	connection, err := net.Dial("tcp", address)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", announced, make([]byte, sent))
	require.NoError(tb, err)
	return connection
}

func readResponse(t *testing.T, connection net.Conn) (int, string) {
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// A caller that stops in the middle of its body gets a refusal at the request's deadline, and its
// connection is closed.
func TestIncompleteBodyIsRefusedAtDeadline(t *testing.T) {
	const within = 200 * time.Millisecond
	connection := sendBody(t, serveBodies(t, within, 0), 1000, 10)
	began := time.Now()
	status, reason := readResponse(t, connection)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.Equal(t, "deadline-exceeded\n", reason)
	assert.Less(t, time.Since(began), within+500*time.Millisecond)
	_, err := connection.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// A body that arrives slowly, byte by byte, and the next one on the same connection are both read
// completely: the read deadline of the first does not remain set.
func TestSlowBodyIsReadCompletely(t *testing.T) {
	const within = 300 * time.Millisecond
	connection := sendBody(t, serveBodies(t, within, 0), 20, 0)
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		_, err := connection.Write([]byte{'x'})
		require.NoError(t, err)
	}
	status, body := readResponse(t, connection)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "20", body)
	time.Sleep(within)
	_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	status, _ = readResponse(t, connection)
	assert.Equal(t, http.StatusOK, status)
}

// When callers that never finish their bodies use up the memory, further large bodies are refused at
// once as not run, and small ones are still served.
func TestBodiesBeyondTheMemoryLimitAreRefusedAtOnce(t *testing.T) {
	const announced, sent = 1 << 20, 600 << 10
	address := serveBodies(t, 20*time.Second, 0)
	for range 3 {
		sendBody(t, address, announced, sent)
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	for range 3 {
		status, reason := readResponse(t, sendBody(t, address, 3<<20, 1<<20))
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Equal(t, "memory\n", reason)
	}
	assert.Less(t, time.Since(began), 3*time.Second)
	status, _ := readResponse(t, sendBody(t, address, 800, 800))
	assert.Equal(t, http.StatusOK, status)
}

// BenchmarkSlowCallers measures the memory of an entry to which 2,000 callers send bodies of 1 MB, of
// which one byte has arrived. The callers' own buffers are not counted, since they are in sockets.
func BenchmarkSlowCallers(b *testing.B) {
	const callers = 2000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		address := serveBodies(b, time.Minute, 0)
		for range callers {
			sendBody(b, address, 1<<20, 1)
		}
		time.Sleep(300 * time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/(1<<20), "MB")
	}
}
