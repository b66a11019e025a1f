package weights

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Synthetic specifies generated weights for emulators. The same specification
// produces the same bytes everywhere.
type Synthetic struct {
	Model   string `yaml:"model" json:"model"`
	Version string `yaml:"version" json:"version"`
	// Bytes is the total size.
	Bytes int64 `yaml:"bytes" json:"bytes"`
	// ChunkBytes is the size of each chunk except the last.
	ChunkBytes int64 `yaml:"chunkBytes" json:"chunk_bytes"`
	// ChangedFraction is the fraction of chunks, 0 to 1, that differ from the model's
	// other versions.
	ChangedFraction float64 `yaml:"changedShare" json:"changed_share"`
}

// ChunkCount returns the number of chunks.
func (s Synthetic) ChunkCount() int {
	return int((s.Bytes + s.ChunkBytes - 1) / s.ChunkBytes)
}

// Content returns the bytes of one chunk.
func (s Synthetic) Content(index int) []byte {
	size := min(s.ChunkBytes, s.Bytes-int64(index)*s.ChunkBytes)
	generator := rand.NewChaCha8(s.seed(index))
	content := make([]byte, size)
	// ChaCha8.Read never fails.
	_, _ = generator.Read(content)
	return content
}

func (s Synthetic) seed(index int) [32]byte {
	variant := "base"
	if s.changed(index) {
		variant = s.Version
	}
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[0:], xxhash.Sum64String(s.Model))
	binary.LittleEndian.PutUint64(seed[8:], xxhash.Sum64String(variant))
	binary.LittleEndian.PutUint64(seed[16:], uint64(index))
	return seed
}

func (s Synthetic) changed(index int) bool {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(index))
	hashed := xxhash.Sum64String(s.Version + string(buffer[:]))
	return float64(hashed%1_000_000)/1_000_000 < s.ChangedFraction
}

// Manifest computes the manifest of the generated weights.
func (s Synthetic) Manifest() *Manifest {
	manifest := &Manifest{Model: s.Model, Version: s.Version, TotalBytes: s.Bytes}
	for index := range s.ChunkCount() {
		content := s.Content(index)
		manifest.Chunks = append(manifest.Chunks, Chunk{Digest: Sum(content), Size: int64(len(content))})
	}
	return manifest
}
