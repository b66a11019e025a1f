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

// Paths between agents.
const (
	offerPath     = "/v1/weights/offer"
	inventoryPath = "/v1/weights/inventory"
	manifestPath  = "/v1/weights/manifest"
	piecePath     = "/v1/weights/piece"
)

// heightParameter tells how many levels of machines wait behind the one that asks.
const heightParameter = "height"

// Bounds of what agents send each other.
const (
	maximumOfferBytes    = 64 << 10
	maximumManifestBytes = 8 << 20
	peerDialTimeout      = 700 * time.Millisecond
	offerTimeout         = 1200 * time.Millisecond
)

// offer tells a peer which pieces are here, or asks it for some.
type offer struct {
	From    dissemination.MachineID `cbor:"1,keyasint"`
	Model   string                  `cbor:"2,keyasint"`
	Version uint64                  `cbor:"3,keyasint"`
	Pieces  []int                   `cbor:"4,keyasint"`
	Ask     bool                    `cbor:"5,keyasint,omitempty"`
}

// inventory lists the verified pieces of a version at an agent.
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

// Times after which a call to a peer over a kept connection that stays silent is hedged.
const (
	// peerLeastQuiet is half of inventoryTimeout, so that a hedge has the other half.
	peerLeastQuiet = 150 * time.Millisecond
	peerMostQuiet  = 600 * time.Millisecond
	// pieceQuiet is that of a piece, which takes up much of a link: more than the half second
	// that packets wait while pieces move, and more than two signs of a wait.
	pieceQuiet = 700 * time.Millisecond
	// waitSign is the pace at which a peer that lets a call wait for its piece says so.
	waitSign = 250 * time.Millisecond
)

// Connections to a peer that are kept. In a transfer peers speak all the time; one that has been
// idle for longer may have gone silent unnoticed, and a new one costs a round trip.
const (
	peerConnections = 2
	peerIdleTimeout = time.Second
	peerBuffer      = 4 << 10
	// peerMemory is for how long a machine's client is kept that makes no calls: far longer
	// than its connections, so that a machine that is gone costs nothing.
	peerMemory = time.Minute
)

// peerClient makes calls to other agents, with a client for each.
type peerClient struct {
	port     int
	onSilent func(target string, silent time.Duration)

	mutex   sync.Mutex
	clients map[dissemination.MachineID]*keptClient
	// pruned is when unused clients were last forgotten.
	pruned time.Time
}

// keptClient is a machine's client and when it was last used.
type keptClient struct {
	client *network.Client
	used   time.Time
}

func newPeerClient(port int, onSilent func(target string, silent time.Duration)) *peerClient {
	return &peerClient{port: port, onSilent: onSilent, clients: map[dissemination.MachineID]*keptClient{}}
}

// client returns the client of a machine.
func (p *peerClient) client(machine dissemination.MachineID) *network.Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	p.prune(now)
	known, made := p.clients[machine]
	if !made {
		known = &keptClient{client: network.NewClient(network.ClientOptions{
			Dial: network.Dialer(peerDialTimeout).DialContext, MaxIdle: peerConnections, IdleTimeout: peerIdleTimeout,
			ReadBuffer: peerBuffer, WriteBuffer: peerBuffer, MinHedgeDelay: peerLeastQuiet, MaxHedgeDelay: peerMostQuiet,
			OnSilent: func(silent time.Duration) { p.onSilent(string(machine), silent) },
		})}
		p.clients[machine] = known
	}
	known.used = now
	return known.client
}

// prune forgets the clients that have not been used for long; their connections have rested for
// too long by then and are closed. The mutex is held.
func (p *peerClient) prune(now time.Time) {
	if now.Sub(p.pruned) < peerMemory {
		return
	}
	p.pruned = now
	maps.DeleteFunc(p.clients, func(_ dissemination.MachineID, one *keptClient) bool { return now.Sub(one.used) > peerMemory })
}

// call makes a call to a machine. All calls between agents may be made twice.
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

// piece asks a machine for a piece. It also returns how long the piece itself took to come,
// without the time for which the machine let the call wait.
func (p *peerClient) piece(ctx context.Context, machine dissemination.MachineID, path string, size int) ([]byte, time.Duration, error) {
	answer, err := p.call(ctx, machine, path, network.Call{
		Method: http.MethodGet, Timeout: pieceTimeout, MaxBytes: int64(size) + 1, MinHedgeDelay: pieceQuiet,
	})
	if err != nil {
		return nil, 0, err
	}
	return answer.Body, answer.BodyTime, nil
}

// ask asks a machine for a value, with the time for which it may hold the question.
func ask[T any](ctx context.Context, p *peerClient, machine dissemination.MachineID, path string, hold time.Duration) (T, error) {
	var answer T
	reply, err := p.call(ctx, machine, path, network.Call{
		Method: http.MethodGet, Timeout: offerTimeout, MaxBytes: maximumManifestBytes, MaxHold: hold,
	})
	if err != nil {
		return answer, err
	}
	if err := cbor.Unmarshal(reply.Body, &answer); err != nil {
		return answer, &fault.InvalidFrame{Field: path, Reason: err.Error()}
	}
	return answer, nil
}

func (p *peerClient) offer(ctx context.Context, machine dissemination.MachineID, body offer) (dissemination.Answer, error) {
	var answer dissemination.Answer
	data, err := cbor.Marshal(body)
	if err != nil {
		return answer, &fault.InvalidFrame{Field: "offer", Reason: err.Error()}
	}
	reply, err := p.call(ctx, machine, offerPath, network.Call{Method: http.MethodPost, Body: data, Timeout: offerTimeout, MaxBytes: maximumOfferBytes})
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

// mount serves other agents.
func (a *Agent) mount(router chi.Router) {
	router.Post(offerPath, a.handleOffer)
	router.Get(inventoryPath+"/{model}/{version}", a.withTransfer(a.serveInventory))
	router.Get(manifestPath+"/{model}/{version}", a.withTransfer(a.serveManifest))
	router.Get(piecePath+"/{model}/{version}/{index}", a.withTransfer(a.servePiece))
}

type transferHandler func(writer http.ResponseWriter, request *http.Request, t *transfer)

// withTransfer finds the transfer that a request names; version 0 stands for the
// present one.
func (a *Agent) withTransfer(next transferHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		version, err := strconv.ParseUint(chi.URLParam(request, "version"), 10, 64)
		if err != nil {
			http.Error(writer, "not a version", http.StatusBadRequest)
			return
		}
		found := a.transferOf(chi.URLParam(request, "model"), version)
		if found == nil || !a.serverSound() {
			http.Error(writer, "no such version", http.StatusNotFound)
			return
		}
		next(writer, request, found)
	}
}

func (a *Agent) handleOffer(writer http.ResponseWriter, request *http.Request) {
	incoming, _, ok := network.ReadCBOR[offer](writer, request, maximumOfferBytes)
	if !ok {
		return
	}
	if !a.serverSound() {
		http.Error(writer, "the server does not answer", http.StatusServiceUnavailable)
		return
	}
	network.WriteCBOR(writer, a.takeOffer(incoming))
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

// servePiece sends a piece to a peer, verified again as it leaves, at the pace
// that the machine's link leaves beside the server's own answers.
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
	// A height that can't be read is that of a machine nobody waits behind.
	height, _ := strconv.Atoi(request.URL.Query().Get(heightParameter))
	wait := func() error { return a.uploads.wait(request.Context(), height, index, manifest.PieceBytes) }
	if err := waitWithSigns(writer, wait); err != nil {
		http.Error(writer, "the wait was given up", http.StatusServiceUnavailable)
		return
	}
	content, held := t.readPiece(request.Context(), index)
	if !held {
		t.noteSpoilt(request.Context(), index)
		http.Error(writer, "no such piece", http.StatusNotFound)
		return
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = writer.Write(content)
}

// waitWithSigns waits, and tells the caller now and then that its call is being worked on, so
// that it can tell a wait from a connection that has gone silent.
func waitWithSigns(writer http.ResponseWriter, wait func() error) error {
	done := make(chan error, 1)
	go func() { done <- wait() }()
	ticker := time.NewTicker(waitSign)
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
