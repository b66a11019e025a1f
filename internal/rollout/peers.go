package rollout

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/network"
)

// Paths of requests between agents.
const (
	offerPath     = "/v1/weights/offer"
	inventoryPath = "/v1/weights/inventory"
	manifestPath  = "/v1/weights/manifest"
	piecePath     = "/v1/weights/piece"
)

// heightParameter carries the number of levels of machines in the plan below the one that asks for
// a piece.
const heightParameter = "height"

// Size limits and timeouts of requests between agents.
const (
	maxOfferBytes    = 64 << 10
	maxManifestBytes = 8 << 20
	peerDialTimeout  = 700 * time.Millisecond
	offerTimeout     = 1200 * time.Millisecond
)

// offer announces to a peer which pieces the sender holds, or queries it for some.
type offer struct {
	From    dissemination.MachineID `cbor:"1,keyasint"`
	Model   string                  `cbor:"2,keyasint"`
	Version uint64                  `cbor:"3,keyasint"`
	Pieces  []int                   `cbor:"4,keyasint"`
	Query   bool                    `cbor:"5,keyasint,omitempty"`
}

// inventory lists the verified pieces of a version that an agent holds.
type inventory struct {
	Pieces []int `cbor:"1,keyasint"`
}

// manifestMessage carries a manifest between agents.
type manifestMessage struct {
	Model      string     `cbor:"1,keyasint"`
	Version    uint64     `cbor:"2,keyasint"`
	Layers     int        `cbor:"3,keyasint"`
	PieceBytes int        `cbor:"4,keyasint"`
	Digests    [][32]byte `cbor:"5,keyasint"`
}

// Silence on a kept connection after which a call to a peer is hedged.
const (
	// peerMinSilence is half of inventoryTimeout, so that a hedge has the other half.
	peerMinSilence = 150 * time.Millisecond
	peerMaxSilence = 600 * time.Millisecond
	// pieceMinSilence applies to pieces, which occupy much of a link. It exceeds the half second
	// that packets wait while pieces move, and two progress intervals.
	pieceMinSilence = 700 * time.Millisecond
	// progressInterval is how often a peer that lets a request wait for its piece sends an interim
	// response.
	progressInterval = 250 * time.Millisecond
)

// Limits of the connections kept to a peer. During a transfer peers exchange messages all the time.
// A connection that was idle for longer may have gone silent unnoticed, and a new one costs only a
// round trip.
const (
	maxIdlePeerConnections = 2
	peerIdleTimeout        = time.Second
	peerBufferBytes        = 4 << 10
	// peerClientTTL is how long the client of a machine is kept without calls: far longer than its
	// connections, so that removed machines take no memory.
	peerClientTTL = time.Minute
)

// peerClient calls other agents, with one client for each machine.
type peerClient struct {
	port     int
	onSilent func(target string, silent time.Duration)

	mutex   sync.Mutex
	clients map[dissemination.MachineID]*cachedClient
	// prunedAt is when unused clients were last removed.
	prunedAt time.Time
}

// cachedClient is a machine's client and the time of its last use.
type cachedClient struct {
	client   *network.Client
	lastUsed time.Time
}

func newPeerClient(port int, onSilent func(target string, silent time.Duration)) *peerClient {
	return &peerClient{port: port, onSilent: onSilent, clients: map[dissemination.MachineID]*cachedClient{}}
}

// client returns the client of a machine.
func (p *peerClient) client(machine dissemination.MachineID) *network.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.prune(now)
	known, made := p.clients[machine]
	if !made {
		known = &cachedClient{client: network.NewClient(network.ClientOptions{
			Dial: network.Dialer(peerDialTimeout).DialContext, MaxIdle: maxIdlePeerConnections, IdleTimeout: peerIdleTimeout,
			ReadBuffer: peerBufferBytes, WriteBuffer: peerBufferBytes, MinHedgeDelay: peerMinSilence, MaxHedgeDelay: peerMaxSilence,
			// During a transfer most connections are new, and a call without a hedge would wait for its own timeout.
			HedgeNewConnections: true,
			OnSilent:            func(silent time.Duration) { p.onSilent(string(machine), silent) },
		})}
		p.clients[machine] = known
	}
	known.lastUsed = now
	return known.client
}

// suspect distrusts the connections to all machines. It is called when any connection of this process
// has gone silent: an idle one that is as old may have gone silent too, which a piece would show only
// after pieceMinSilence. A new one costs a round trip.
func (p *peerClient) suspect() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, known := range p.clients {
		known.client.Suspect()
	}
}

// prune removes the clients that were not used for peerClientTTL; their idle connections have been
// closed by then. The caller holds the mutex.
func (p *peerClient) prune(now time.Time) {
	if now.Sub(p.prunedAt) < peerClientTTL {
		return
	}
	p.prunedAt = now
	maps.DeleteFunc(p.clients, func(_ dissemination.MachineID, one *cachedClient) bool { return now.Sub(one.lastUsed) > peerClientTTL })
}

// call makes a call to a machine. All calls between agents are idempotent, so they may be hedged.
func (p *peerClient) call(ctx context.Context, machine dissemination.MachineID, path string, call network.Call) (network.Answer, error) {
	target := net.JoinHostPort(string(machine), strconv.Itoa(p.port))
	operation := call.Method + " " + path
	call.URL = "http://" + target + path
	answer, err := p.client(machine).Do(ctx, call)
	if err != nil {
		return answer, &fault.Unavailable{Target: target, Operation: operation, Cause: err}
	}
	if answer.Status != http.StatusOK {
		return answer, &fault.Unavailable{Target: target, Operation: operation, Status: answer.Status}
	}
	return answer, nil
}

// piece fetches a piece from a machine. It also returns the transfer time of the body, without the
// time that the request waited in the machine's upload queue.
func (p *peerClient) piece(ctx context.Context, machine dissemination.MachineID, path string, size int) ([]byte, time.Duration, error) {
	answer, err := p.call(ctx, machine, path, network.Call{
		Method: http.MethodGet, Timeout: pieceTimeout, MaxBytes: int64(size) + 1, MinHedgeDelay: pieceMinSilence,
	})
	if err != nil {
		return nil, 0, err
	}
	return answer.Body, answer.BodyTime, nil
}

// query gets a value from a machine, which may hold the query for a time.
func query[T any](ctx context.Context, p *peerClient, machine dissemination.MachineID, path string, hold time.Duration) (T, error) {
	var answer T
	reply, err := p.call(ctx, machine, path, network.Call{
		Method: http.MethodGet, Timeout: offerTimeout, MaxBytes: maxManifestBytes, MaxHold: hold,
	})
	if err != nil {
		return answer, err
	}
	if err := cbor.Unmarshal(reply.Body, &answer); err != nil {
		return answer, &fault.InvalidFrame{Field: path, Reason: err.Error()}
	}
	return answer, nil
}

func (p *peerClient) offer(ctx context.Context, machine dissemination.MachineID, body offer) (dissemination.QueryReply, error) {
	var answer dissemination.QueryReply
	data, err := cbor.Marshal(body)
	if err != nil {
		return answer, &fault.InvalidFrame{Field: "offer", Reason: err.Error()}
	}
	reply, err := p.call(ctx, machine, offerPath, network.Call{Method: http.MethodPost, Body: data, Timeout: offerTimeout, MaxBytes: maxOfferBytes})
	if err != nil {
		return answer, err
	}
	if err := cbor.Unmarshal(reply.Body, &answer); err != nil {
		return answer, &fault.InvalidFrame{Field: "offer answer", Reason: err.Error()}
	}
	return answer, nil
}

func versionPath(base, model string, version uint64) string {
	return base + "/" + model + "/" + strconv.FormatUint(version, 10)
}

// mount registers the handlers for other agents.
func (a *Agent) mount(router chi.Router) {
	router.Post(offerPath, a.handleOffer)
	router.Get(inventoryPath+"/{model}/{version}", a.withTransfer(a.serveInventory))
	router.Get(manifestPath+"/{model}/{version}", a.withTransfer(a.serveManifest))
	router.Get(piecePath+"/{model}/{version}/{index}", a.withTransfer(a.servePiece))
}

type transferHandler func(writer http.ResponseWriter, request *http.Request, t *transfer)

// withTransfer finds the transfer that a request names; version 0 stands for the current one.
func (a *Agent) withTransfer(next transferHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		version, err := strconv.ParseUint(chi.URLParam(request, "version"), 10, 64)
		if err != nil {
			http.Error(writer, "not a version", http.StatusBadRequest)
			return
		}
		found := a.findTransfer(chi.URLParam(request, "model"), version)
		if found == nil || !a.serverReachable() {
			http.Error(writer, "no such version", http.StatusNotFound)
			return
		}
		next(writer, request, found)
	}
}

func (a *Agent) handleOffer(writer http.ResponseWriter, request *http.Request) {
	incoming, _, ok := network.ReadCBOR[offer](writer, request, maxOfferBytes)
	if !ok {
		return
	}
	if !a.serverReachable() {
		http.Error(writer, "the server does not answer", http.StatusServiceUnavailable)
		return
	}
	network.WriteCBOR(writer, a.applyOffer(incoming))
}

func (a *Agent) serveInventory(writer http.ResponseWriter, _ *http.Request, t *transfer) {
	network.WriteCBOR(writer, inventory{Pieces: t.heldPieces()})
}

func (a *Agent) serveManifest(writer http.ResponseWriter, request *http.Request, t *transfer) {
	manifest, known := t.awaitManifest(request.Context())
	if !known {
		http.Error(writer, "not here yet", http.StatusNotFound)
		return
	}
	network.WriteCBOR(writer, manifestMessage{
		Model: manifest.Model, Version: manifest.Version, Layers: manifest.Layers, PieceBytes: manifest.PieceBytes, Digests: manifest.Digests,
	})
}

// servePiece sends a piece to a peer, verified again on the way out, at a rate that leaves the
// server's answers their part of the link.
func (a *Agent) servePiece(writer http.ResponseWriter, request *http.Request, t *transfer) {
	index, err := strconv.Atoi(chi.URLParam(request, "index"))
	if err != nil {
		http.Error(writer, "not a piece", http.StatusBadRequest)
		return
	}
	manifest, known := t.knownManifest()
	if !known {
		http.Error(writer, "not here yet", http.StatusNotFound)
		return
	}
	// A malformed height counts as 0: no machine waits for the caller.
	height, _ := strconv.Atoi(request.URL.Query().Get(heightParameter))
	wait := func() error { return a.uploads.wait(request.Context(), height, index, manifest.PieceBytes) }
	if err := waitWithProgress(writer, wait); err != nil {
		http.Error(writer, "the wait was given up", http.StatusServiceUnavailable)
		return
	}
	content, err := t.readPiece(request.Context(), index)
	switch {
	case isCorrupt(err):
		t.refetchPiece(request.Context(), index)
		http.Error(writer, "no such piece", http.StatusNotFound)
		return
	case err != nil:
		http.Error(writer, "the server does not answer", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = writer.Write(content)
}

// waitWithProgress waits, and sends interim responses meanwhile, so that the caller can tell the
// wait from a silent connection.
func waitWithProgress(writer http.ResponseWriter, wait func() error) error {
	done := make(chan error, 1)
	go func() { done <- wait() }()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			writer.WriteHeader(http.StatusProcessing)
		}
	}
}
