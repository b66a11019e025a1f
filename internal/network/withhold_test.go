package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
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

// timedConnection calls a function after each write.
type timedConnection struct {
	net.Conn
	written func()
}

func (c timedConnection) Write(bytes []byte) (int, error) {
	count, err := c.Conn.Write(bytes)
	c.written()
	return count, err
}

// BenchmarkWithheldWrite measures the time from the last look of a check until the request is with the kernel.
func BenchmarkWithheldWrite(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var looked time.Time
	windows := make(chan time.Duration, 1)
	client := NewClient(ClientOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := Dialer(time.Second).DialContext(ctx, network, address)
		return timedConnection{Conn: connection, written: func() { windows <- time.Since(looked) }}, err
	}})
	call := Call{Method: http.MethodPost, URL: server.URL, Body: []byte("order"), Timeout: time.Second, MaxBytes: 1 << 10, SendOnce: true}
	call.BeforeWrite = func() error {
		looked = time.Now()
		return nil
	}
	var measured []time.Duration
	for b.Loop() {
		if _, err := client.Do(b.Context(), call); err != nil {
			b.Fatal(err)
		}
		measured = append(measured, <-windows)
	}
	slices.Sort(measured)
	b.ReportMetric(float64(measured[len(measured)/2].Nanoseconds())/1000, "µs-p50")
	b.ReportMetric(float64(measured[len(measured)*99/100].Nanoseconds())/1000, "µs-p99")
	b.ReportMetric(float64(measured[len(measured)-1].Nanoseconds())/1000, "µs-longest")
}
