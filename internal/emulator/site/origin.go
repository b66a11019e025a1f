package site

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Weights describes a model's synthetic weights, which are generated for every version.
type Weights struct {
	Model      string
	Pieces     int
	PieceBytes int
	Layers     int
}

// Piece returns a synthetic piece.
func (w Weights) Piece(version uint64, index int) []byte {
	random := rand.New(rand.NewPCG(version, uint64(index)))
	content := make([]byte, w.PieceBytes)
	for at := range content {
		content[at] = byte(random.Uint32())
	}
	return content
}

// Digest returns the SHA-256 digest of a piece.
func (w Weights) Digest(version uint64, index int) [32]byte {
	return sha256.Sum256(w.Piece(version, index))
}

// Origin emulates the weight origin.
type Origin struct {
	weights Weights

	mutex sync.Mutex
	// newest is the latest announced version.
	newest    uint64
	sentBytes int64
	// corruptPieces is the number of upcoming pieces to send corrupt.
	corruptPieces int
	// corruptManifest puts a wrong digest into the next manifest.
	corruptManifest bool
	// down closes every connection without an answer.
	down bool
	// withheld are pieces whose requests are aborted.
	withheld map[int]bool
}

// NewOrigin returns an origin whose latest version is 1.
func NewOrigin(weights Weights) *Origin { return &Origin{weights: weights, newest: 1} }

// Announce makes a version the latest.
func (o *Origin) Announce(version uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.newest = version
}

// CorruptPieces sends the next pieces with a wrong byte.
func (o *Origin) CorruptPieces(pieces int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.corruptPieces = pieces
}

// CorruptManifest puts a wrong digest into the next manifest.
func (o *Origin) CorruptManifest() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.corruptManifest = true
}

// SetDown makes the origin close every connection without an answer, or restores it.
func (o *Origin) SetDown(down bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.down = down
}

// Withhold aborts the requests for the given pieces; without arguments it withholds none.
func (o *Origin) Withhold(pieces ...int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.withheld = map[int]bool{}
	for _, piece := range pieces {
		o.withheld[piece] = true
	}
}

func (o *Origin) withholds(piece int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.withheld[piece]
}

func (o *Origin) isDown() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.down
}

// Copies returns how many complete copies of the weights were sent, as a fraction.
func (o *Origin) Copies() float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return float64(o.sentBytes) / float64(o.weights.Pieces*o.weights.PieceBytes)
}

// Handler serves the origin.
func (o *Origin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/manifest/{model}", o.serveManifest)
	mux.HandleFunc("GET /-/piece/{model}", o.servePiece)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if o.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(writer, request)
	})
}

// versionOf returns the requested version and whether it is available: only the two latest
// versions are.
func (o *Origin) versionOf(request *http.Request) (uint64, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	version := o.newest
	if text := request.URL.Query().Get("version"); text != "" {
		version, _ = strconv.ParseUint(text, 10, 64)
	}
	return version, version > 0 && version <= o.newest && version+2 > o.newest
}

func (o *Origin) serveManifest(writer http.ResponseWriter, request *http.Request) {
	version, present := o.versionOf(request)
	if !present || request.PathValue("model") != o.weights.Model {
		writer.WriteHeader(http.StatusGone)
		return
	}
	digests := make([]string, o.weights.Pieces)
	for index := range digests {
		sum := o.weights.Digest(version, index)
		digests[index] = hex.EncodeToString(sum[:])
	}
	o.mutex.Lock()
	if o.corruptManifest {
		o.corruptManifest = false
		digests[0] = strings.Repeat("0", len(digests[0]))
	}
	o.mutex.Unlock()
	writeJSON(writer, map[string]any{
		"model": o.weights.Model, "version": version, "chunkBytes": o.weights.PieceBytes, "layers": o.weights.Layers, "digests": digests,
	})
}

func (o *Origin) servePiece(writer http.ResponseWriter, request *http.Request) {
	version, present := o.versionOf(request)
	index, err := strconv.Atoi(request.URL.Query().Get("numItems"))
	if !present || err != nil || index < 0 || index >= o.weights.Pieces {
		writer.WriteHeader(http.StatusGone)
		return
	}
	if o.withholds(index) {
		panic(http.ErrAbortHandler)
	}
	content := o.weights.Piece(version, index)
	o.mutex.Lock()
	o.sentBytes += int64(len(content))
	if o.corruptPieces > 0 {
		o.corruptPieces--
		content[len(content)/2] ^= 1
	}
	o.mutex.Unlock()
	_, _ = writer.Write(content)
}
