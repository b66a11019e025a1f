package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// testedRequest returns a plain request to a test server.
func testedRequest(t *testing.T, url string) callerRequest {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+site.OncePrefix, strings.NewReader("words"))
	require.NoError(t, err)
	request.Header.Set("Deadline-Ms", "6000")
	return callerRequest{Request: request, method: http.MethodPost, path: site.OncePrefix, body: "words"}
}

// An exchange records what its caller saw: whether the request was sent as a whole, the status, and whether the
// answer is complete. Only a complete answer leaves the connection open, unless the server says that it closes
// it.
func TestExchangesRecordTheirEnding(t *testing.T) {
	for _, test := range []struct {
		name              string
		answer            http.HandlerFunc
		status            int
		complete, correct bool
		reusable          bool
	}{
		{"answered", func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(writer, "POST %s words", site.OncePrefix)
		}, 200, true, true, true},
		{"refused", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }, 503, true, false, true},
		{"the server closes afterwards", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Connection", "close")
			_, _ = fmt.Fprintf(writer, "POST %s words", site.OncePrefix)
		}, 200, true, true, false},
		{"cut in the answer", func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(writer, "POST")
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}, 200, false, false, false},
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false, false, false},
	} {
		server := httptest.NewServer(test.answer)
		opened, err := dialEntry(strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		assert.True(t, opened.isOpen(), test.name)
		attempt := Attempt{ID: "a", Kind: CallOnce}
		reusable := opened.exchange(testedRequest(t, server.URL), &attempt)
		assert.Equal(t, test.reusable, reusable, test.name)
		assert.False(t, attempt.Written.Before(attempt.Sent) || attempt.Ended.Before(attempt.Written), test.name)
		assert.Equal(t, 6*time.Second, attempt.Deadline.Sub(attempt.Sent), test.name)
		assert.Equal(t, test.status, attempt.Status, test.name)
		assert.Equal(t, test.complete, attempt.Complete, test.name)
		assert.Equal(t, test.correct, attempt.Correct, test.name)
		_ = opened.Close()
		server.Close()
	}
}

// A caller notices before it sends a request that its connection was closed, or that it holds an answer to nothing.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for _, test := range []struct {
		name string
		end  func(net.Conn)
	}{
		{"closed", func(accepted net.Conn) { _ = accepted.Close() }},
		{"unasked answer", func(accepted net.Conn) { _, _ = fmt.Fprint(accepted, "HTTP/1.1 408 Request Timeout\r\n\r\n") }},
	} {
		opened, err := dialEntry(listener.Addr().String())
		require.NoError(t, err)
		accepted, err := listener.Accept()
		require.NoError(t, err)
		assert.True(t, opened.isOpen(), test.name)
		test.end(accepted)
		assert.Eventually(t, func() bool { return !opened.isOpen() }, time.Second, time.Millisecond, test.name)
		_, _ = opened.Close(), accepted.Close()
	}
}

// Callers that keep their connections send many requests on each, also to an entry that refuses them; the others
// open one for each request.
func TestCallersKeepTheirConnections(t *testing.T) {
	emulated, err := site.Start(siteOptions())
	require.NoError(t, err)
	defer emulated.Close()
	var opened, requests atomic.Int64
	listener, err := net.Listen("tcp", emulated.EntryAddress(0, 0))
	require.NoError(t, err)
	entry := &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			writer.WriteHeader(http.StatusServiceUnavailable)
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		},
	}
	go func() { _ = entry.Serve(listener) }()
	defer func() { _ = entry.Close() }()
	for _, test := range []struct {
		caller int
		kind   RequestKind
		keeps  bool
	}{{0, CallStream, true}, {2, CallStream, true}, {4, CallOnce, true}, {6, CallOnce, false}} {
		opened.Store(0)
		requests.Store(0)
		sent := &callers{site: emulated}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		sent.runOnConnections(ctx, "kept", 0, test.caller, rand.New(rand.NewPCG(1, 1)))
		cancel()
		require.GreaterOrEqual(t, len(sent.allAttempts()), 3, test.caller)
		assert.EqualValues(t, len(sent.allAttempts()), requests.Load(), test.caller)
		assert.Equal(t, test.kind, sent.allAttempts()[0].Kind, test.caller)
		if test.keeps {
			assert.EqualValues(t, 1, opened.Load(), test.caller)
		} else {
			assert.Equal(t, requests.Load(), opened.Load(), test.caller)
		}
	}
}
