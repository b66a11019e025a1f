package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
)

const testKey = "key"

// newTestEntry returns an entry that has a configuration with one tenant, and the output of its log.
func newTestEntry(t *testing.T) (*Entry, *logging.Logger, *bytes.Buffer) {
	t.Helper()
	output := &bytes.Buffer{}
	log := logging.NewBounded(zap.ErrorLevel, "entry", output)
	entry := New(Options{Node: node.Options{ID: "entry", Role: external.RoleEntry, Zone: "zone"}}, log)
	digest := sha256.Sum256([]byte(testKey))
	snapshot, err := configuration.Parse(monotonic.Version{Epoch: 1, Revision: 1}, map[string][]byte{
		"tenant.template": []byte("template: tenant\nkind: tenant\nbody:\n  keyDigests: [\"" + hex.EncodeToString(digest[:]) + "\"]\n  priority: 5\n  requestsPerSecond: 1000\n  tokensPerSecond: 1000\n  concurrency: 100\n"),
		"tenant":          []byte("instance: tenant\nfrom: tenant\n"),
	})
	require.NoError(t, err)
	blackboard.Write(entry.node.Board, node.SnapshotKey, snapshot)
	return entry, log, output
}

// request sends a request to a handler of an entry over a connection.
func request(t *testing.T, entry *Entry, next handler) *http.Response {
	t.Helper()
	server := httptest.NewServer(entry.authenticated(next))
	t.Cleanup(server.Close)
	outgoing, err := http.NewRequest(http.MethodPost, server.URL, nil)
	require.NoError(t, err)
	outgoing.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(outgoing)
	require.NoError(t, err, "the connection ended without an answer")
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// internalErrors returns how many requests the entry has counted as ended by an internal error.
func internalErrors(t *testing.T, entry *Entry) float64 {
	t.Helper()
	families, err := entry.node.Registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() != "pinevane_requests_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetValue() == string(fault.ReasonInternal) {
					return metric.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
}

// Guards against a request without an answer: a handler's panic closed the connection, and no line
// above debug and no metric told of it.
func TestPanicOfHandlerIsAnsweredLoggedAndCounted(t *testing.T) {
	entry, log, output := newTestEntry(t)
	response := request(t, entry, func(context.Context, http.ResponseWriter, *http.Request, *call) *fault.Refusal {
		panic("broken handler")
	})
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
	var body errorBody
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	assert.Equal(t, fault.ReasonInternal, body.Error.Code)
	assert.Equal(t, fault.ExecutionUnknown, body.Execution)
	assert.Equal(t, response.Header.Get(HeaderRequestID), body.RequestID)
	log.Sync()
	assert.Contains(t, output.String(), logging.HandlerPanicked.Number)
	assert.Contains(t, output.String(), "broken handler")
	assert.InDelta(t, 1, internalErrors(t, entry), 0)
	assert.Eventually(t, func() bool { return entry.requests.open() == 0 }, time.Second, time.Millisecond)
}

// Guards against a stream that ends without a word: the caller of a stream that has begun is sent an
// error event, and no end marker.
func TestPanicInStreamEndsItWithAnError(t *testing.T) {
	entry, _, _ := newTestEntry(t)
	response := request(t, entry, func(_ context.Context, writer http.ResponseWriter, _ *http.Request, c *call) *fault.Refusal {
		out := &streamingAnswer{writer: writer, call: c}
		assert.NoError(t, out.token("first", "1"))
		panic("broken handler")
	})
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Contains(t, string(body), string(fault.ReasonInternal))
	assert.NotContains(t, string(body), "[DONE]")
}

// Guards against a cut answer that looks complete: a panic after the header of an answer must end the
// connection, since no error can follow.
func TestPanicAfterHeaderAbortsTheConnection(t *testing.T) {
	entry, _, _ := newTestEntry(t)
	response := request(t, entry, func(_ context.Context, writer http.ResponseWriter, _ *http.Request, c *call) *fault.Refusal {
		c.headerWritten = true
		_, _ = writer.Write([]byte("part"))
		assert.NoError(t, http.NewResponseController(writer).Flush())
		panic("broken handler")
	})
	_, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.InDelta(t, 1, internalErrors(t, entry), 0)
}

// Guards against work left behind by a panic: the attempt's server would count it as open for good.
func TestAbandonedAttemptIsNotInFlight(t *testing.T) {
	entry, _, _ := newTestEntry(t)
	target := &replica{inFlight: 1}
	started := &runningAttempt{set: entry.replicas, target: target}
	started.end(true)
	started.abandon()
	assert.Zero(t, target.inFlight, "an attempt ends once")
}
