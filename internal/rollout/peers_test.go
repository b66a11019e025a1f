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

// A call that waits for its turn is told so at a pace that a caller can rely on, and one that
// need not wait is told nothing.
func TestAWaitForAPieceGivesSigns(t *testing.T) {
	const signs = 2
	for name, wait := range map[string]time.Duration{"at once": 0, "after a wait": signs*progressInterval + progressInterval/2} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				assert.NoError(t, waitWithProgress(writer, func() error {
					time.Sleep(wait)
					return nil
				}))
				_, _ = writer.Write([]byte("piece"))
			}))
			defer server.Close()
			var heard atomic.Int64
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
				Got1xxResponse: func(int, textproto.MIMEHeader) error {
					heard.Add(1)
					return nil
				},
			})
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, int64(wait/progressInterval), heard.Load())
		})
	}
	assert.Less(t, 2*progressInterval, pieceMinSilence, "a sign may be lost and sent again")
}

// The client of a machine that has not been called for a minute is forgotten.
func TestClientsOfMachinesThatAreGoneAreForgotten(t *testing.T) {
	peers := newPeerClient(1, func(string, time.Duration) {})
	gone, kept := peers.client("gone"), peers.client("kept")
	past := time.Now().Add(-2 * peerClientTTL)
	peers.prunedAt, peers.clients["gone"].lastUsed = past, past
	assert.Same(t, kept, peers.client("kept"))
	assert.NotContains(t, peers.clients, dissemination.MachineID("gone"))
	assert.NotSame(t, gone, peers.client("gone"))
}
