package rollout

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dissemination"
)

// A request that waits for its turn must get interim responses at the rate that callers rely on.
// One that need not wait gets none.
func TestPieceWaitSendsInterimResponses(t *testing.T) {
	const responses = 2
	for name, wait := range map[string]time.Duration{"at once": 0, "after a wait": responses*progressInterval + progressInterval/2} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				assert.NoError(t, waitWithProgress(writer, func() error {
					time.Sleep(wait)
					return nil
				}))
				_, _ = writer.Write([]byte("piece"))
			}))
			defer server.Close()
			var received atomic.Int64
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
				Got1xxResponse: func(int, textproto.MIMEHeader) error {
					received.Add(1)
					return nil
				},
			})
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, int64(wait/progressInterval), received.Load())
		})
	}
	assert.Less(t, 2*progressInterval, pieceMinSilence, "an interim response may be lost and sent again")
}

// The client of a machine that was not called for peerClientTTL is removed.
func TestUnusedPeerClientsAreRemoved(t *testing.T) {
	peers := newPeerClient(1, func(string, time.Duration) {})
	unused, kept := peers.client("gone"), peers.client("kept")
	past := time.Now().Add(-2 * peerClientTTL)
	peers.prunedAt, peers.clients["gone"].lastUsed = past, past
	assert.Same(t, kept, peers.client("kept"))
	assert.NotContains(t, peers.clients, dissemination.MachineID("gone"))
	assert.NotSame(t, unused, peers.client("gone"))
}
