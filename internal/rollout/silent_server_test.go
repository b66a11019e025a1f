package rollout

import (
	"cmp"
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/coordination/liveness"
	"pinevane.example/pinevane/internal/daemon"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// silentServer is a machine's model server that holds pieces. While it is silent its calls fail, as they
// do at their timeout.
type silentServer struct {
	mutex  sync.Mutex
	pieces map[int][]byte
	// silentCalls is how many of the next calls fail, with cause or as at their timeout.
	silentCalls int
	cause       error
	sequence    uint64
}

var _ fleet.ModelServer = (*silentServer)(nil)

func (s *silentServer) silence(calls int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silentCalls = calls
}

func (s *silentServer) answers() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.silentCalls == 0 {
		return nil
	}
	s.silentCalls--
	return &fault.Unavailable{Target: "model server", Operation: "test", Cause: cmp.Or(s.cause, context.DeadlineExceeded)}
}

func (s *silentServer) Report(context.Context) (fleet.Report, error) {
	if err := s.answers(); err != nil {
		return fleet.Report{}, err
	}
	return fleet.Report{Sequence: s.sequence}, nil
}

func (s *silentServer) Start(context.Context, fleet.StartOrder, func() error) (fleet.OrderOutcome, error) {
	panic("no order is sent without a report")
}

func (s *silentServer) HeldPieces(context.Context, string) ([]int, error) {
	if err := s.answers(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var held []int
	for index := range s.pieces {
		held = append(held, index)
	}
	return held, nil
}

func (s *silentServer) Piece(_ context.Context, _ string, index int) ([]byte, error) {
	if err := s.answers(); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, held := s.pieces[index]
	if !held {
		return nil, &fault.Unavailable{Target: "model server", Operation: "piece", Status: http.StatusNotFound}
	}
	return content, nil
}

func (s *silentServer) Stage(_ context.Context, _ string, index int, content []byte) error {
	if err := s.answers(); err != nil {
		return err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pieces[index] = content
	return nil
}

func testPiece(index int) []byte { return []byte("piece " + strconv.Itoa(index)) }

// newTestTransfer returns the transfer of a version of a few pieces, of which the agent holds some that
// are staged at its server. Peers listen on a port.
func newTestTransfer(server fleet.ModelServer, held []bool, port int) *transfer {
	agent := &Agent{
		self: "a", metrics: newMetrics(prometheus.NewRegistry()), log: logging.Nop(), server: server, reachable: true,
		daemon: daemon.New(daemon.Options{Role: "agent", Log: logging.Nop()}), roundTrips: liveness.NewRoundTrips(probeInterval), cold: newColdState(), started: time.Now(),
		sinceBoot: sinceBoot, peers: newPeerClient(port, func(string, time.Duration) {}), wakeup: make(chan struct{}, 1), uploads: newUploadQueue(1 << 30),
	}
	manifest := &fleet.Manifest{Model: "m", Version: 2, PieceBytes: 64}
	for index := range held {
		manifest.Digests = append(manifest.Digests, sha256.Sum256(testPiece(index)))
	}
	one := &transfer{
		agent: agent, model: "m", startedAt: time.Now(), wakeup: make(chan struct{}, 1), manifest: manifest, limiter: newFetchLimiter(),
		originSlots: make(chan struct{}, originFetches), corrupt: map[int]int{}, cancel: func() {},
		plan: dissemination.NewPlan(dissemination.StrategyStar, dissemination.NewRoster([]dissemination.Machine{{ID: "a", Zone: "z", Region: "r"}})),
	}
	one.versionNumber.Store(manifest.Version)
	one.peersOnly.Store(true)
	one.fetcher = dissemination.NewFetcher(one.fetcherOptions(held))
	agent.current = one
	return one
}

func stagedServer(count int) *silentServer {
	server := &silentServer{pieces: map[int][]byte{}}
	for index := range count {
		server.pieces[index] = testPiece(index)
	}
	return server
}

// requestPiece asks an agent for a piece, as a peer does, and returns the status of its response.
func requestPiece(one *transfer, index int) int {
	router := chi.NewRouter()
	one.agent.mount(router)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, versionPath(piecePath, "m", one.version())+"/"+strconv.Itoa(index), nil))
	return recorder.Code
}

// Guards against a version that is late because its pieces are fetched once more: a server that is silent
// for a moment has not lost the pieces that are staged there.
func TestSilenceOfServerDoesNotMakePiecesCorrupt(t *testing.T) {
	server := stagedServer(2)
	one := newTestTransfer(server, []bool{true, true}, 0)
	ctx := context.Background()
	for name, read := range map[string]func(){
		"a peer asks for a piece":  func() { assert.Equal(t, http.StatusServiceUnavailable, requestPiece(one, 0)) },
		"the switch is due":        func() { one.agent.switchTo(ctx, one, 1) },
		"the server has restarted": func() { one.reverify(ctx) },
		"the agent starts":         func() { assert.Equal(t, []bool{true, true}, one.verifyHeld(ctx, *one.manifest)) },
	} {
		server.silence(1)
		read()
		complete, missing := one.state()
		assert.True(t, complete, "%s: %d pieces are fetched again", name, missing)
		server.silence(0)
		assert.Equal(t, http.StatusOK, requestPiece(one, 0), name)
	}
}

// Guards against the reverse: what the server has lost or holds corrupt is fetched again.
func TestLostAndCorruptPiecesAreFetchedAgain(t *testing.T) {
	server := stagedServer(2)
	delete(server.pieces, 0)
	server.pieces[1] = []byte("corrupt")
	one := newTestTransfer(server, []bool{true, true}, 0)
	assert.Equal(t, http.StatusNotFound, requestPiece(one, 0))
	assert.Equal(t, http.StatusNotFound, requestPiece(one, 1))
	_, missing := one.state()
	assert.Equal(t, 2, missing)
}

// Guards against a peer that is avoided, and a verified piece that is fetched again, because the own
// server was silent when the piece was to be staged.
func TestVerifiedPieceIsStagedAfterSilenceOfServer(t *testing.T) {
	var served atomic.Int64
	peer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		_, _ = writer.Write(testPiece(0))
	}))
	defer peer.Close()
	_, port, err := net.SplitHostPort(peer.Listener.Addr().String())
	require.NoError(t, err)
	number, err := strconv.Atoi(port)
	require.NoError(t, err)
	server := stagedServer(0)
	server.silence(2)
	one := newTestTransfer(server, []bool{false}, number)
	one.fetcher.Start(0)
	one.fetcher.RecordOffer("127.0.0.1", 0, 0)
	actions := one.fetcher.TakeActions()
	require.Len(t, actions, 1)
	one.fetch(context.Background(), one.fetcher, actions[0])
	complete, _ := one.state()
	assert.True(t, complete)
	assert.Equal(t, testPiece(0), server.pieces[0])
	assert.Equal(t, int64(1), served.Load())
}

// Guards against weights of two versions in one server: until it is known whether a silent server has
// executed an order, nothing else may be staged there.
func TestOutcomeOfOrderIsAwaitedWhileServerIsSilent(t *testing.T) {
	const silentCalls = 30
	server := stagedServer(0)
	server.silence(silentCalls)
	one := newTestTransfer(server, []bool{false}, 0)
	began := time.Now()
	one.agent.awaitOrderOutcome(context.Background(), fleet.StartOrder{Model: "m", Version: 2})
	assert.Zero(t, server.silentCalls, "given up after %s", time.Since(began))
}

// Guards against an agent that waits for the outcome of an order at a server that has ended, which
// can't execute it any more, or beyond its own stop.
func TestOutcomeOfOrderIsNotAwaitedInVain(t *testing.T) {
	server := stagedServer(0)
	one := newTestTransfer(server, []bool{false}, 0)
	server.silence(1 << 30)
	server.cause = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	one.agent.awaitOrderOutcome(context.Background(), fleet.StartOrder{Model: "m", Version: 2})
	server.cause = nil
	ctx, cancel := context.WithCancel(context.Background())
	one.agent.staging.Lock()
	go func() {
		defer one.agent.staging.Unlock()
		one.agent.awaitOrderOutcome(ctx, fleet.StartOrder{Model: "m", Version: 2})
	}()
	began := time.Now()
	one.agent.finishOrder(cancel)
	assert.InDelta(t, orderOutcomeTimeout.Seconds(), time.Since(began).Seconds(), 1)
}
