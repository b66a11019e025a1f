package compression

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	value := map[string][]byte{"zeros": make([]byte, 100_000)}
	encoded, err := Encode(value)
	require.NoError(t, err)
	assert.Less(t, len(encoded), 1000)
	decoded, err := Decode[map[string][]byte](encoded)
	require.NoError(t, err)
	assert.Equal(t, value, decoded)
}

func TestDecodeRejectsInvalidInput(t *testing.T) {
	bomb, err := Encode(make([]byte, maxDecodedBytes+1))
	require.NoError(t, err)
	for name, data := range map[string][]byte{"noise": {1, 2, 3}, "nothing": nil, "too large": bomb} {
		_, err := Decode[[]byte](data)
		var invalid *fault.InvalidFrame
		assert.ErrorAs(t, err, &invalid, name)
	}
}
