package compression

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
)

func TestValuesComeBack(t *testing.T) {
	value := map[string][]byte{"zeros": make([]byte, 100_000)}
	packed, err := Encode(value)
	require.NoError(t, err)
	assert.Less(t, len(packed), 1000)
	back, err := Decode[map[string][]byte](packed)
	require.NoError(t, err)
	assert.Equal(t, value, back)
}

func TestDecodeRefusesWhatEncodeHasNotWritten(t *testing.T) {
	bomb, err := Encode(make([]byte, maximumBytes+1))
	require.NoError(t, err)
	for name, data := range map[string][]byte{"noise": {1, 2, 3}, "nothing": nil, "too large": bomb} {
		_, err := Decode[[]byte](data)
		var invalid *fault.InvalidFrame
		assert.ErrorAs(t, err, &invalid, name)
	}
}
