package weights

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
)

func smallWeights() Synthetic {
	return Synthetic{Model: "m", Version: "1", Bytes: 10_000, ChunkBytes: 4096, ChangedFraction: 0.5}
}

func TestManifestEncodeDecodeRoundTrip(t *testing.T) {
	manifest := smallWeights().Manifest()
	data, digest, err := manifest.Encode()
	require.NoError(t, err)
	decoded, err := Decode(data, digest)
	require.NoError(t, err)
	assert.Equal(t, manifest, decoded)
	assert.Len(t, decoded.Chunks, 3)
}

func TestManifestWithWrongDigestIsRejected(t *testing.T) {
	data, digest, err := smallWeights().Manifest().Encode()
	require.NoError(t, err)
	data[10] ^= 1
	_, err = Decode(data, digest)
	var corrupt *fault.Corrupt
	assert.True(t, errors.As(err, &corrupt))
}

func TestInvalidManifestsAreRejected(t *testing.T) {
	cases := map[string]string{
		"no chunks":      `{"model":"m","version":"1","total_bytes":0,"chunks":[]}`,
		"no model":       `{"version":"1","total_bytes":1,"chunks":[{"digest":"` + strings.Repeat("a", 64) + `","size":1}]}`,
		"wrong total":    `{"model":"m","version":"1","total_bytes":5,"chunks":[{"digest":"` + strings.Repeat("a", 64) + `","size":1}]}`,
		"negative size":  `{"model":"m","version":"1","total_bytes":-1,"chunks":[{"digest":"` + strings.Repeat("a", 64) + `","size":-1}]}`,
		"enormous chunk": `{"model":"m","version":"1","total_bytes":999999999999,"chunks":[{"digest":"` + strings.Repeat("a", 64) + `","size":999999999999}]}`,
		"bad digest":     `{"model":"m","version":"1","total_bytes":1,"chunks":[{"digest":"xyz","size":1}]}`,
		"not JSON":       `{`,
	}
	for name, data := range cases {
		_, err := Parse([]byte(data))
		var invalid *fault.InvalidManifest
		assert.True(t, errors.As(err, &invalid), name)
	}
}

func TestVerifierRejectsCorruptShortAndLongContent(t *testing.T) {
	content := []byte("chunk content")
	chunk := Chunk{Digest: Sum(content), Size: int64(len(content))}
	read := func(data []byte) error {
		_, err := io.ReadAll(NewVerifier(bytes.NewReader(data), chunk, "test"))
		return err
	}
	assert.NoError(t, read(content))
	for name, data := range map[string][]byte{
		"corrupt": []byte("chunk contenT"), "short": content[:5], "long": append([]byte("x"), content...), "empty": nil,
	} {
		var corrupt *fault.Corrupt
		assert.True(t, errors.As(read(data), &corrupt), name)
	}
}

func TestVersionsShareChunks(t *testing.T) {
	first, second := smallWeights(), smallWeights()
	first.Bytes, second.Bytes = 400_000, 400_000
	second.Version = "2"
	a, b := first.Manifest(), second.Manifest()
	shared := 0
	for i := range a.Chunks {
		if a.Chunks[i] == b.Chunks[i] {
			shared++
		}
	}
	assert.Positive(t, shared)
	assert.Less(t, shared, len(a.Chunks))
	assert.NotEqual(t, a.Identity(), b.Identity())
}

func TestExampleManifestsMatchTheirDocuments(t *testing.T) {
	for path, synthetic := range map[string]Synthetic{
		"yaad-voices/models/dialect.yaml": {Model: "dialect", Version: "2026-11", Bytes: 24 << 20, ChunkBytes: 256 << 10, ChangedFraction: 1},
		"toapa/models/marker.yaml":        {Model: "marker", Version: "2026-11", Bytes: 24 << 20, ChunkBytes: 256 << 10, ChangedFraction: 0.4},
	} {
		_, digest, err := synthetic.Manifest().Encode()
		require.NoError(t, err)
		data, err := os.ReadFile(filepath.Join("..", "..", "examples", path))
		require.NoError(t, err)
		assert.Contains(t, string(data), string(digest))
	}
}

func FuzzParseManifest(f *testing.F) {
	data, _, err := smallWeights().Manifest().Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		manifest, err := Parse(data)
		if err == nil && (len(manifest.Chunks) == 0 || manifest.TotalBytes <= 0) {
			t.Fatal("an empty manifest was accepted")
		}
	})
}
