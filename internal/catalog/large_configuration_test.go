package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/platform"
)

// slowDecoder blocks in decoding a configuration until the test releases it.
type slowDecoder struct {
	platform.Decoder
	begun chan struct{}
	end   chan struct{}
}

func (d slowDecoder) Configuration(value []byte) (*fleet.Configuration, error) {
	close(d.begun)
	<-d.end
	return d.Decoder.Configuration(value)
}

// A configuration of ten thousand routes takes many milliseconds to decode. In the meantime every
// request reads the number of entries, and agents' reports arrive: neither waits for the decoding.
func TestRequestsDoNotWaitForALargeConfiguration(t *testing.T) {
	c := newTestCatalog()
	decoder := slowDecoder{begun: make(chan struct{}), end: make(chan struct{})}
	c.options.Decoder = decoder
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		c.applyWatched([]mirror.Record{{Key: "op/config", Value: []byte(`{"version":7}`), Revision: 5}})
	}()
	<-decoder.begun
	counted := make(chan int, 1)
	go func() { counted <- c.EntryCount() }()
	select {
	case <-counted:
	case <-time.After(time.Second):
		t.Error("a request waits until the configuration is decoded")
	}
	assert.Nil(t, c.View().Configuration, "it is not in force before it is decoded")
	close(decoder.end)
	<-taken
	assert.NotNil(t, c.View().Configuration)
	assert.EqualValues(t, 7, c.View().Configuration.Version)
}
