package agent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/weights"
)

// Guards against staged versions of one model whose order changes from one publication to the next.
func TestStagedVersionsHaveOneOrder(t *testing.T) {
	staged := map[weights.Digest]StagedVersion{}
	var want []string
	for number := range 9 {
		version := fmt.Sprint("v", number)
		want = append(want, version)
		staged[weights.Digest(version)] = StagedVersion{Model: "m", Version: version, Digest: weights.Digest(version)}
	}
	for range 20 {
		var order []string
		for _, version := range sortedVersions(staged) {
			order = append(order, version.Version)
		}
		assert.Equal(t, want, order)
	}
}
