package rollout

import (
	"context"
	"io"
	"net"
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

// silentListener accepts connections, of which it leaves the first ones without an answer.
type silentListener struct {
	net.Listener
	silent int
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil || l.silent == 0 {
			return connection, err
		}
		l.silent--
		go func() {
			defer func() { _ = connection.Close() }()
			_, _ = io.Copy(io.Discard, connection)
		}()
	}
}

// startPeer serves a handler at a loopback address and returns the port. The first connections are
// silent.
func startPeer(t *testing.T, address string, silent int, handler http.HandlerFunc) int {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(&silentListener{Listener: listener, silent: silent}) }()
	return listener.Addr().(*net.TCPAddr).Port
}

// A piece that is requested over a connection that goes silent before it has carried any answer
// arrives long before the call's time limit.
//
// Observed: an agent waited 1.5 s for two pieces, and staged a version 1.65 s after all connections
// had gone silent.
func TestPieceArrivesAfterItsNewConnectionWentSilent(t *testing.T) {
	const piece = "piece"
	port := startPeer(t, "127.0.0.1:0", 1, func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(piece)) })
	reported := make(chan string, 1)
	peers := newPeerClient(port, func(target string, _ time.Duration) { reported <- target })
	began := time.Now()
	content, _, err := peers.piece(context.Background(), "127.0.0.1", versionPath(piecePath, "m", 2)+"/0", len(piece))
	require.NoError(t, err)
	assert.Equal(t, piece, string(content))
	assert.Less(t, time.Since(began), pieceMinSilence+(pieceTimeout-pieceMinSilence)/2)
	assert.Equal(t, "127.0.0.1", <-reported)
}

// Once the connections to one machine have turned out to be silent, a piece is not requested over an
// idle connection to another machine.
//
// Observed: a fetch that began 0.4 s after an agent had found a connection silent waited 0.7 s at another
// machine, so that a version was staged 1.35 s after all connections had gone silent.
func TestSilenceClosesIdleConnectionsToOtherMachines(t *testing.T) {
	const piece = "piece"
	var silenced atomic.Bool
	answer := func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(piece)) }
	port := startPeer(t, "127.0.0.1:0", 1, answer)
	var firstConnection atomic.Value
	startPeer(t, net.JoinHostPort("127.0.0.2", itoa(port)), 0, func(writer http.ResponseWriter, request *http.Request) {
		firstConnection.CompareAndSwap(nil, request.RemoteAddr)
		if silenced.Load() && firstConnection.Load() == request.RemoteAddr {
			<-request.Context().Done()
			return
		}
		answer(writer, request)
	})
	var peers *peerClient
	peers = newPeerClient(port, func(string, time.Duration) { peers.suspect() })
	path := versionPath(piecePath, "m", 2) + "/0"
	_, _, err := peers.piece(context.Background(), "127.0.0.2", path, len(piece))
	require.NoError(t, err)
	silenced.Store(true)
	_, _, err = peers.piece(context.Background(), "127.0.0.1", path, len(piece))
	require.NoError(t, err)
	began := time.Now()
	_, _, err = peers.piece(context.Background(), "127.0.0.2", path, len(piece))
	require.NoError(t, err)
	assert.Less(t, time.Since(began), pieceMinSilence/2)
}
