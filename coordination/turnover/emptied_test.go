package turnover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// While a zone is emptied, the servers of the others are as far from each other as the window
// allows, and those of the emptied one go first.
func TestTurnsBesideAnEmptiedZone(t *testing.T) {
	var members []Member
	for index := range 6 {
		members = append(members, Member{ID: fmt.Sprintf("m%d", index), Zone: fmt.Sprintf("z%d", index%3)})
	}
	window := Window{Start: time.Second, End: 4 * time.Second}
	nobody := func(string) bool { return false }
	emptied := func(zone string) bool { return zone == "z1" }
	turns := map[time.Duration]bool{}
	for _, self := range members {
		assert.Equal(t, SwitchOffset(Order("v", members), self.ID, window), SwitchOffsetWithEvacuation("v", members, self, nobody, window))
		turn := SwitchOffsetWithEvacuation("v", members, self, emptied, window)
		if self.Zone == "z1" {
			assert.Equal(t, window.Start, turn)
			continue
		}
		turns[turn] = true
	}
	assert.Equal(t, map[time.Duration]bool{time.Second: true, 2 * time.Second: true, 3 * time.Second: true, 4 * time.Second: true}, turns)
	assert.Len(t, members, 6, "the list is left as it was")
	inverted := Window{Start: 5 * time.Second, End: 4 * time.Second}
	assert.Equal(t, inverted.End, SwitchOffsetWithEvacuation("v", members, members[1], emptied, inverted))
}
