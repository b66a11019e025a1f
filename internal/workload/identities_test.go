package workload

import (
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/weights"
)

// Add must be safe while other versions are looked up; the race detector finds a missing lock.
func TestIdentitiesAreSafeForConcurrentUse(t *testing.T) {
	identities := NewIdentities()
	var lookups sync.WaitGroup
	lookups.Go(func() {
		for range 200 {
			identities.get("m", "1")
		}
	})
	for version := range 200 {
		identities.Add(&weights.Manifest{Model: "m", Version: strconv.Itoa(version)})
	}
	lookups.Wait()
	_, known := identities.get("m", "1")
	assert.True(t, known)
}
