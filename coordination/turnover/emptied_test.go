package turnover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// While a zone is evacuated, the servers of the other zones switch as far apart as the window
// allows, and those of the evacuated zone switch first.
func TestSwitchOffsetsWithAnEvacuatedZone(t *testing.T) {
	var members []Member
	for index := range 6 {
		members = append(members, Member{ID: fmt.Sprintf("m%d", index), Zone: fmt.Sprintf("z%d", index%3)})
	}
	window := Window{Start: time.Second, End: 4 * time.Second}
	none := func(string) bool { return false }
	evacuated := func(zone string) bool { return zone == "z1" }
	offsets := map[time.Duration]bool{}
	for _, self := range members {
		assert.Equal(t, SwitchOffset(Order("v", members), self.ID, window), SwitchOffsetWithEvacuation("v", members, self, none, window))
		offset := SwitchOffsetWithEvacuation("v", members, self, evacuated, window)
		if self.Zone == "z1" {
			assert.Equal(t, window.Start, offset)
			continue
		}
		offsets[offset] = true
	}
	assert.Equal(t, map[time.Duration]bool{time.Second: true, 2 * time.Second: true, 3 * time.Second: true, 4 * time.Second: true}, offsets)
	assert.Len(t, members, 6, "the list is not changed")
	inverted := Window{Start: 5 * time.Second, End: 4 * time.Second}
	assert.Equal(t, inverted.End, SwitchOffsetWithEvacuation("v", members, members[1], evacuated, inverted))
}
