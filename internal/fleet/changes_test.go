package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// MergeReloadable must retain exactly the fields that RestartNeeded names, and adopt all others.
func TestMergeReloadableRetainsRestartFields(t *testing.T) {
	before := Settings{Name: "a", Zone: "z", IP: "10.0.0.1", Callers: "c", Ready: "r", Control: "k", InternalPort: 1, StoreAddress: "s", ServerAddress: "m", Service: "v"}
	fresh := Settings{
		Name: "b", Zone: "y", IP: "10.0.0.2", Callers: "d", Ready: "q", Control: "l", InternalPort: 2, StoreAddress: "t", ServerAddress: "n", Service: "w",
		Region: "north", Bounds: Bounds{Drain: time.Second}, MemoryBytes: 7, LinkBytesPerSecond: 8, Seeds: []string{"10.0.0.3"},
	}
	assert.Len(t, before.RestartNeeded(fresh), 7)
	merged := before.MergeReloadable(fresh)
	assert.Empty(t, before.RestartNeeded(merged))
	assert.Equal(t, fresh.Bounds, merged.Bounds)
	assert.Equal(t, fresh.MemoryBytes, merged.MemoryBytes)
	assert.Equal(t, fresh.Seeds, merged.Seeds)
}
