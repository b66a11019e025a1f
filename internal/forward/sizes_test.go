package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
)

// A prompt that a caller declares larger than the service's cache has an unknown size.
func TestOversizedPromptHasUnknownSize(t *testing.T) {
	configuration := &fleet.Configuration{Services: map[string]fleet.Service{"m": {Engine: &fleet.Engine{CacheTokens: 317000}}}}
	t1 := &targets{core: dispatch.New(dispatch.Options{}), engines: enginesOf(configuration)}
	for declared, known := range map[int]int{317000: 317000, 317001: 0, -1: 0} {
		criteria := dispatch.Request{Service: "m", Prompt: declared}
		t1.fillEngine(&criteria)
		assert.Equal(t, known, criteria.Prompt)
	}
}

// Outcomes are counted by size, in classes around the typical one of the service.
func TestSizeLabels(t *testing.T) {
	for ofTypical, label := range map[float64]string{0: sizeUnderHalf, 0.49: sizeUnderHalf, 0.5: sizeUnderTypical, 1: sizeUnderDouble, 2: sizeOverDouble} {
		assert.Equal(t, label, sizeLabel(ofTypical))
	}
}
