package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/compression"
)

func TestLargeRecordsAreCompressed(t *testing.T) {
	var value strings.Builder
	for index := range 1400 {
		fmt.Fprintf(&value, `{"name":"r-%d","host":"a.example","pathPrefix":"/p%d/","timeoutMs":6000,"maxAttempts":2},`, index, index)
	}
	record := mirror.Record{Key: "op/config", Value: []byte(value.String()), Revision: 7}
	var one packCache
	packed, err := one.pack(record)
	require.NoError(t, err)
	assert.Less(t, len(packed), len(record.Value)/5)
	again, err := one.pack(record)
	require.NoError(t, err)
	assert.Same(t, &packed[0], &again[0], "it is compressed once for all requests")
	back, err := compression.Decode[mirror.Record](packed)
	require.NoError(t, err)
	assert.Equal(t, record, back)
}
