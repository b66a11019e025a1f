package node

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
)

// startNode starts a process that serves a handler, and returns a function that begins its stop and one
// that waits for its end.
func startNode(t *testing.T, options Options, handler http.HandlerFunc) (started *Node, beginStop, wait func()) {
	t.Helper()
	options.ID, options.Role, options.Zone, options.Listen = "entry", external.RoleEntry, "zone", "127.0.0.1:0"
	options.ConfigurationAddress, options.MembershipAddress = "127.0.0.1:1", "127.0.0.1:1"
	started = New(options, logging.Nop())
	started.Router.HandleFunc("/work", handler)
	require.NoError(t, started.Listen())
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		assert.NoError(t, started.Run(stop))
	}()
	return started, func() { close(stop) }, func() {
		select {
		case <-done:
		case <-time.After(20 * time.Second):
			t.Fatal("the process does not end")
		}
	}
}

type outcome struct {
	status int
	body   string
	closed bool
	err    error
}

func get(client *http.Client, url string) outcome {
	response, err := client.Get(url)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, body: string(body), closed: response.Close, err: err}
}

// Guards against an answer that is lost at the end of a stop: a request that was read, but is not
// counted as open yet or any more, still has its answer in the buffers of the HTTP library.
func TestEndOfStopSendsAnswersOfUncountedRequests(t *testing.T) {
	begun := make(chan struct{})
	started, beginStop, wait := startNode(t, Options{}, func(writer http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(300 * time.Millisecond)
		_, _ = writer.Write([]byte("answer"))
	})
	results := make(chan outcome, 1)
	go func() {
		results <- get(&http.Client{Transport: &http.Transport{}}, "http://"+started.Address()+"/work")
	}()
	<-begun
	beginStop()
	result := <-results
	wait()
	require.NoError(t, result.err)
	assert.Equal(t, "answer", result.body)
}

// Guards against a request that is sent over an idle connection while the process closes it: callers
// are told with each answer of a stopping process that its connection ends.
func TestStoppingProcessEndsConnectionsWithTheirAnswers(t *testing.T) {
	var open atomic.Int64
	open.Store(1)
	started, beginStop, wait := startNode(t, Options{}, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("answer"))
	})
	started.SetOpenCount(func() int { return int(open.Load()) })
	client := &http.Client{Transport: &http.Transport{}}
	before := get(client, "http://"+started.Address()+"/work")
	require.NoError(t, before.err)
	assert.False(t, before.closed)
	beginStop()
	require.Eventually(t, started.Leaving, time.Second, time.Millisecond)
	during := get(client, "http://"+started.Address()+"/work")
	open.Store(0)
	wait()
	require.NoError(t, during.err)
	assert.Equal(t, "answer", during.body)
	assert.True(t, during.closed)
}

// Guards against a request that was read last in a stop and is cut with neither answer nor refusal
// because it takes longer than the process waits: it is refused in time.
func TestRequestThatArrivesLastInStopIsRefused(t *testing.T) {
	t.Parallel()
	begun, refused := make(chan struct{}), make(chan struct{})
	started, beginStop, wait := startNode(t, Options{}, func(writer http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-refused
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	started.OnGraceOver(func() { close(refused) })
	results := make(chan outcome, 1)
	go func() {
		results <- get(&http.Client{Transport: &http.Transport{}}, "http://"+started.Address()+"/work")
	}()
	<-begun
	beginStop()
	result := <-results
	wait()
	require.NoError(t, result.err)
	assert.Equal(t, http.StatusServiceUnavailable, result.status)
}
