package external

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// breakingServer starts a server that answers its first request, and resets the connection without
// an answer on every later one.
func breakingServer(t *testing.T, received *atomic.Int64) string {
	t.Helper()
	firstRequest := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		select {
		case firstRequest <- struct{}{}:
			return
		default:
		}
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close()
		}
	}))
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// net/http resends a GET, and any request with an Idempotency-Key, when a reused connection breaks.
// This test shows with a plain client that breakingServer provokes it.
func TestPlainClientResends(t *testing.T) {
	var received atomic.Int64
	address := breakingServer(t, &received)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		require.NoError(t, err)
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	assert.Greater(t, received.Load(), int64(2), "the second request was sent more than once")
}

func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		var received atomic.Int64
		service := NewHTTPService(breakingServer(t, &received))
		for range 2 {
			_, _ = service.Call(context.Background(), ServiceCall{ID: "1", Method: method, Path: "/", Repeatable: false})
		}
		assert.Equal(t, int64(2), received.Load(), method)
	}
}
