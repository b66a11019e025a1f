package rollout

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
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

// peerClient makes calls to other agents.
type peerClient struct {
	client *http.Client
	port   int
}

func newPeerClient(port int) *peerClient {
	transport := &http.Transport{
		DialContext: network.Dialer(peerDialTimeout).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
		DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
	return &peerClient{client: &http.Client{Transport: transport}, port: port}
}

func (p *peerClient) call(ctx context.Context, timeout time.Duration, machine dissemination.MachineID, method, path string, body []byte, limit int64) ([]byte, error) {
	data, _, err := p.timedCall(ctx, timeout, machine, method, path, body, limit)
	return data, err
}

// timedCall also returns how long the answer's body took, without the time that
// the peer let the call wait.
func (p *peerClient) timedCall(ctx context.Context, timeout time.Duration, machine dissemination.MachineID, method, path string, body []byte, limit int64) ([]byte, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := net.JoinHostPort(string(machine), strconv.Itoa(p.port))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &fault.Unavailable{Target: target, Operation: method + " " + path, Cause: err}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, 0, &fault.Unavailable{Target: target, Operation: method + " " + path, Cause: err}
	}
	began := time.Now()
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return nil, 0, &fault.Unavailable{Target: target, Operation: method + " " + path, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, 0, &fault.Unavailable{Target: target, Operation: method + " " + path, Status: response.StatusCode}
	}
	return data, time.Since(began), nil
}

func ask[T any](ctx context.Context, p *peerClient, machine dissemination.MachineID, path string) (T, error) {
	var answer T
	data, err := p.call(ctx, offerTimeout, machine, http.MethodGet, path, nil, maximumManifestBytes)
	if err != nil {
		return answer, err
	}
	if err := cbor.Unmarshal(data, &answer); err != nil {
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
	reply, err := p.call(ctx, offerTimeout, machine, http.MethodPost, offerPath, data, maximumOfferBytes)
	if err != nil {
		return answer, err
	}
	if err := cbor.Unmarshal(reply, &answer); err != nil {
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

func writeCBOR(writer http.ResponseWriter, value any) {
	data, err := cbor.Marshal(value)
	if err != nil {
		http.Error(writer, "can't encode the answer", http.StatusInternalServerError)
		return
	}
	_, _ = writer.Write(data)
}

func (a *Agent) handleOffer(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maximumOfferBytes))
	if err != nil {
		http.Error(writer, "body too large", http.StatusRequestEntityTooLarge)
		return
	}
	var incoming offer
	if err := cbor.Unmarshal(body, &incoming); err != nil {
		http.Error(writer, "not a valid offer", http.StatusBadRequest)
		return
	}
	if !a.serverSound() {
		http.Error(writer, "the server does not answer", http.StatusServiceUnavailable)
		return
	}
	writeCBOR(writer, a.takeOffer(incoming))
}

func (a *Agent) serveInventory(writer http.ResponseWriter, _ *http.Request, t *transfer) {
	writeCBOR(writer, inventory{Pieces: t.heldPieces()})
}

func (a *Agent) serveManifest(writer http.ResponseWriter, request *http.Request, t *transfer) {
	manifest, known := t.awaitManifest(request.Context())
	if !known {
		http.Error(writer, "not here yet", http.StatusNotFound)
		return
	}
	writeCBOR(writer, manifestMessage{
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
	if err := a.uploads.wait(request.Context(), height, index, manifest.PieceBytes); err != nil {
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
