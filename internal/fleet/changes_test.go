package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What a running process keeps and what it names as needing a restart are the same fields; all
// others are taken over.
func TestFieldsThatNeedARestartAreKept(t *testing.T) {
	before := Settings{Name: "a", Zone: "z", IP: "10.0.0.1", Callers: "c", Ready: "r", Control: "k", InternalPort: 1, StoreAddress: "s", ServerAddress: "m", Service: "v"}
	fresh := Settings{
		Name: "b", Zone: "y", IP: "10.0.0.2", Callers: "d", Ready: "q", Control: "l", InternalPort: 2, StoreAddress: "t", ServerAddress: "n", Service: "w",
		Region: "north", Bounds: Bounds{Drain: time.Second}, MemoryBytes: 7, LinkBytesPerSecond: 8, Seeds: []string{"10.0.0.3"},
	}
	assert.Len(t, before.RestartNeeded(fresh), 7)
	kept := before.MergeReloadable(fresh)
	assert.Empty(t, before.RestartNeeded(kept))
	assert.Equal(t, fresh.Bounds, kept.Bounds)
	assert.Equal(t, fresh.MemoryBytes, kept.MemoryBytes)
	assert.Equal(t, fresh.Seeds, kept.Seeds)
}
