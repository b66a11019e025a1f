// Package weights describes model weights as a manifest of content-addressed
// chunks. A configuration names the manifest by its digest, which is the root of
// trust: the manifest and all chunks are verified against it.
package weights

import (
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"

	"github.com/zeebo/blake3"

	"pinevane.example/pinevane/internal/fault"
)

// Limits of manifests, checked before memory is allocated for the weights.
const (
	MaximumManifestBytes = 64 << 20
	MaximumChunkBytes    = 256 << 20
	MaximumChunks        = 1 << 18
)

// Digest is a BLAKE3-256 digest in lower-case hexadecimal.
type Digest string

// digestLength is the number of hexadecimal digits of a Digest.
const digestLength = 64

// Valid reports whether the digest is well-formed.
func (d Digest) Valid() bool {
	if len(d) != digestLength {
		return false
	}
	_, err := hex.DecodeString(string(d))
	return err == nil
}

// Sum returns the digest of data.
func Sum(data []byte) Digest {
	sum := blake3.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Chunk is a part of the weights that is addressed by its digest.
type Chunk struct {
	Digest Digest `json:"digest"`
	// Size is in bytes.
	Size int64 `json:"size"`
}

// File is a file of the directory from which a manifest was created.
type File struct {
	Name string `json:"name"`
	// Size is in bytes; files follow each other in the chunks' byte stream.
	Size int64 `json:"size"`
}

// Manifest lists the chunks of a model version in order.
type Manifest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// TotalBytes is the sum of the chunks' sizes.
	TotalBytes int64    `json:"total_bytes"`
	Files      []File   `json:"files,omitempty"`
	Chunks     []Chunk  `json:"chunks"`
	Adapters   []string `json:"adapters,omitempty"`
}

// Encode returns the manifest's canonical bytes and their digest.
func (m *Manifest) Encode() ([]byte, Digest, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, "", &fault.InvalidManifest{Field: "manifest", Reason: err.Error()}
	}
	return data, Sum(data), nil
}

// Decode verifies the bytes of a manifest against the expected digest, and parses and
// validates the manifest.
func Decode(data []byte, expected Digest) (*Manifest, error) {
	if actual := Sum(data); actual != expected {
		return nil, &fault.Corrupt{Expected: string(expected), Actual: string(actual), Source: "manifest"}
	}
	return Parse(data)
}

// Parse decodes and validates a manifest whose digest is not known.
func Parse(data []byte) (*Manifest, error) {
	if len(data) > MaximumManifestBytes {
		return nil, &fault.InvalidManifest{Field: "manifest", Reason: "larger than 64 MiB"}
	}
	manifest := &Manifest{}
	if err := json.Unmarshal(data, manifest); err != nil {
		return nil, &fault.InvalidManifest{Field: "manifest", Reason: err.Error()}
	}
	if err := manifest.check(); err != nil {
		return nil, err
	}
	return manifest, nil
}

func (m *Manifest) check() error {
	if m.Model == "" || m.Version == "" {
		return &fault.InvalidManifest{Field: "model, version", Reason: "must not be empty"}
	}
	if len(m.Chunks) == 0 || len(m.Chunks) > MaximumChunks {
		return &fault.InvalidManifest{Field: "chunks", Reason: "count must be 1 to 262144"}
	}
	var total int64
	for _, chunk := range m.Chunks {
		if !chunk.Digest.Valid() {
			return &fault.InvalidManifest{Field: "chunks.digest", Reason: "must be 64 hexadecimal digits"}
		}
		if chunk.Size <= 0 || chunk.Size > MaximumChunkBytes {
			return &fault.InvalidManifest{Field: "chunks.size", Reason: "must be 1 byte to 256 MiB"}
		}
		total += chunk.Size
	}
	if total != m.TotalBytes {
		return &fault.InvalidManifest{Field: "total_bytes", Reason: "is not the sum of the chunk sizes"}
	}
	return nil
}

// Verifier is a reader that verifies the size and digest of a chunk while it is
// read.
type Verifier struct {
	reader   io.Reader
	hash     hash.Hash
	expected Chunk
	source   string
	received int64
}

// NewVerifier returns a Verifier for a chunk; source is named in errors.
func NewVerifier(reader io.Reader, expected Chunk, source string) *Verifier {
	return &Verifier{reader: reader, hash: blake3.New(), expected: expected, source: source}
}

// Read implements io.Reader. At the end of the stream it returns a
// *fault.Corrupt instead of io.EOF when size or digest differ.
func (v *Verifier) Read(buffer []byte) (int, error) {
	count, err := v.reader.Read(buffer)
	v.received += int64(count)
	_, _ = v.hash.Write(buffer[:count])
	if v.received > v.expected.Size {
		return 0, &fault.Corrupt{Expected: string(v.expected.Digest), Actual: "more bytes than declared", Source: v.source}
	}
	if err != io.EOF {
		return count, err
	}
	actual := Digest(hex.EncodeToString(v.hash.Sum(nil)))
	if v.received != v.expected.Size || actual != v.expected.Digest {
		return 0, &fault.Corrupt{Expected: string(v.expected.Digest), Actual: string(actual), Source: v.source}
	}
	return count, io.EOF
}

// Identity combines the digests of all chunks, in order, into one digest. It differs
// if an engine has loaded other bytes than those of the manifest.
func Identity(chunks []Digest) Digest {
	hasher := blake3.New()
	for _, digest := range chunks {
		_, _ = hasher.Write([]byte(digest))
	}
	return Digest(hex.EncodeToString(hasher.Sum(nil)))
}

// Identity returns the identity of correctly loaded weights.
func (m *Manifest) Identity() Digest {
	digests := make([]Digest, 0, len(m.Chunks))
	for _, chunk := range m.Chunks {
		digests = append(digests, chunk.Digest)
	}
	return Identity(digests)
}
