package emulator

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/weights"
)

// writeBlockBytes is the block size of a rate-limited transfer.
const writeBlockBytes = 16 << 10

// Shaper limits the throughput of a link; a rate of zero means no limit.
type Shaper struct{ limiter *rate.Limiter }

// NewShaper returns a shaper with a limit in bytes per second.
func NewShaper(bytesPerSecond int64) *Shaper {
	if bytesPerSecond <= 0 {
		return &Shaper{limiter: rate.NewLimiter(rate.Inf, 0)}
	}
	return &Shaper{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), 4*writeBlockBytes)}
}

// write sends content at the limited rate. At offset stallAt, unless negative, the transfer hangs
// until the client disconnects.
func (s *Shaper) write(writer http.ResponseWriter, request *http.Request, content []byte, stallAt int) {
	for offset := 0; offset < len(content); offset += writeBlockBytes {
		if stallAt >= 0 && offset >= stallAt {
			<-request.Context().Done()
			return
		}
		block := content[offset:min(offset+writeBlockBytes, len(content))]
		if err := s.limiter.WaitN(request.Context(), len(block)); err != nil {
			return
		}
		if _, err := writer.Write(block); err != nil {
			return
		}
	}
}

// Origin emulates the weight origin. It serves synthetic weights and counts the bytes it sends.
type Origin struct {
	faults    faultState
	shaper    *Shaper
	sentBytes atomic.Int64

	mutex     sync.RWMutex
	manifests map[weights.Digest][]byte
	chunks    map[weights.Digest]chunkSource
}

type chunkSource struct {
	synthetic weights.Synthetic
	index     int
}

// NewOrigin returns an origin whose link has the given rate.
func NewOrigin(bytesPerSecond int64) *Origin {
	return &Origin{
		shaper:    NewShaper(bytesPerSecond),
		manifests: map[weights.Digest][]byte{},
		chunks:    map[weights.Digest]chunkSource{},
	}
}

// Add publishes synthetic weights and returns their manifest and its digest.
func (o *Origin) Add(synthetic weights.Synthetic) (*weights.Manifest, weights.Digest, error) {
	manifest := synthetic.Manifest()
	data, digest, err := manifest.Encode()
	if err != nil {
		return nil, "", err
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.manifests[digest] = data
	for index, chunk := range manifest.Chunks {
		o.chunks[chunk.Digest] = chunkSource{synthetic: synthetic, index: index}
	}
	return manifest, digest, nil
}

// SetFaults replaces the injected faults.
func (o *Origin) SetFaults(faults Faults) { o.faults.set(faults) }

// SentBytes returns the number of chunk bytes sent.
func (o *Origin) SentBytes() int64 { return o.sentBytes.Load() }

// OriginRecord is the origin's record of what it sent.
type OriginRecord struct {
	// SentBytes counts the chunk bytes sent, including those of interrupted transfers.
	SentBytes int64 `json:"drawn_bytes"`
}

// Handler serves the origin.
func (o *Origin) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(o.faults.rejectWhenDown)
	o.faults.mount(router)
	router.Get("/records", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, OriginRecord{SentBytes: o.SentBytes()})
	})
	router.Get("/v1/manifests/{digest}", o.manifest)
	router.Get("/v1/chunks/{digest}", o.chunk)
	return router
}

func (o *Origin) manifest(writer http.ResponseWriter, request *http.Request) {
	o.mutex.RLock()
	data, found := o.manifests[weights.Digest(chi.URLParam(request, "digest"))]
	o.mutex.RUnlock()
	if !found {
		http.Error(writer, "no such manifest", http.StatusNotFound)
		return
	}
	_, _ = writer.Write(data)
}

func (o *Origin) chunk(writer http.ResponseWriter, request *http.Request) {
	o.mutex.RLock()
	source, found := o.chunks[weights.Digest(chi.URLParam(request, "digest"))]
	o.mutex.RUnlock()
	if !found {
		http.Error(writer, "no such chunk", http.StatusNotFound)
		return
	}
	faults := o.faults.get()
	content := source.synthetic.Content(source.index)
	corruptRandomly(content, faults.CorruptShare)
	stallAt := -1
	if faults.Stalled {
		stallAt = len(content) / 2
	}
	counted := &countingWriter{ResponseWriter: writer, count: &o.sentBytes}
	o.shaper.write(counted, request, content, stallAt)
}

func corruptRandomly(content []byte, probability float64) {
	if probability > 0 && rand.Float64() < probability {
		content[len(content)/2] ^= 0xff
	}
}

type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	written, err := w.ResponseWriter.Write(data)
	w.count.Add(int64(written))
	return written, err
}

// Store emulates a machine's weight store in memory.
type Store struct {
	shaper *Shaper

	mutex  sync.RWMutex
	chunks map[weights.Digest][]byte
}

// NewStore returns a store with a limited write rate in bytes per second.
func NewStore(bytesPerSecond int64) *Store {
	return &Store{shaper: NewShaper(bytesPerSecond), chunks: map[weights.Digest][]byte{}}
}

// Content returns a stored chunk.
func (s *Store) Content(digest weights.Digest) ([]byte, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	content, found := s.chunks[digest]
	return content, found
}

// Wipe deletes every chunk, as happens when a machine is replaced.
func (s *Store) Wipe() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.chunks = map[weights.Digest][]byte{}
}

func (s *Store) list() []weights.Digest {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	digests := make([]weights.Digest, 0, len(s.chunks))
	for digest := range s.chunks {
		digests = append(digests, digest)
	}
	return digests
}

func (s *Store) mount(router chi.Router) {
	router.Get("/v1/chunks", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, s.list()) })
	router.Put("/v1/chunks/{digest}", s.put)
	router.Get("/v1/chunks/{digest}", s.get)
	router.Delete("/v1/chunks/{digest}", func(writer http.ResponseWriter, request *http.Request) {
		s.mutex.Lock()
		delete(s.chunks, weights.Digest(chi.URLParam(request, "digest")))
		s.mutex.Unlock()
		writer.WriteHeader(http.StatusNoContent)
	})
}

// put stores a complete body; a truncated one is discarded.
func (s *Store) put(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, weights.MaximumChunkBytes))
	if err != nil {
		http.Error(writer, "body was cut", http.StatusBadRequest)
		return
	}
	if err := s.waitForWriteRate(request, len(content)); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.mutex.Lock()
	s.chunks[weights.Digest(chi.URLParam(request, "digest"))] = content
	s.mutex.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

func (s *Store) waitForWriteRate(request *http.Request, size int) error {
	for remaining := size; remaining > 0; remaining -= writeBlockBytes {
		if err := s.shaper.limiter.WaitN(request.Context(), min(remaining, writeBlockBytes)); err != nil {
			return &fault.Unavailable{Target: "weight store", Operation: "put", Cause: err}
		}
	}
	return nil
}

func (s *Store) get(writer http.ResponseWriter, request *http.Request) {
	content, found := s.Content(weights.Digest(chi.URLParam(request, "digest")))
	if !found {
		http.Error(writer, "no such chunk", http.StatusNotFound)
		return
	}
	_, _ = writer.Write(content)
}
