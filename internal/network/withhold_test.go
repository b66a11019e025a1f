package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request that leaves although its sender has learned, while it was connecting, that it must not.
func TestRequestIsWithheldAfterConnecting(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	connected := false
	client := NewClient(ClientOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := Dialer(time.Second).DialContext(ctx, network, address)
		connected = true
		return connection, err
	}})
	errLate := errors.New("too late")
	call := Call{Method: http.MethodPost, URL: server.URL, Body: []byte("order"), Timeout: time.Second, MaxBytes: 1 << 10, SendOnce: true}
	call.BeforeWrite = func() error {
		require.True(t, connected, "the check follows the connection")
		return errLate
	}
	_, err := client.Do(t.Context(), call)
	assert.ErrorIs(t, err, errLate)
	call.BeforeWrite = func() error { return nil }
	answer, err := client.Do(t.Context(), call)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status)
	assert.Equal(t, int64(1), received.Load())
}
