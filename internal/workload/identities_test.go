package workload

import (
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/weights"
)

// A version may be added while answers to others are judged; the race detector watches.
func TestIdentitiesAreAddedWhileOthersAreLookedUp(t *testing.T) {
	identities := NewIdentities()
	var looking sync.WaitGroup
	looking.Go(func() {
		for range 200 {
			identities.get("m", "1")
		}
	})
	for version := range 200 {
		identities.Add(&weights.Manifest{Model: "m", Version: strconv.Itoa(version)})
	}
	looking.Wait()
	_, known := identities.get("m", "1")
	assert.True(t, known)
}
