package turnover

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func members(counts ...int) []Member {
	var all []Member
	for zone, count := range counts {
		for index := range count {
			all = append(all, Member{ID: fmt.Sprintf("s%d-%d", zone, index), Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	return all
}

func TestOrderDoesNotDependOnTheListOrder(t *testing.T) {
	all := members(4, 7, 3)
	shuffled := members(4, 7, 3)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	assert.Equal(t, Order("m/2", all), Order("m/2", shuffled))
	assert.Len(t, Order("m/2", all), 14)
}

// At every point of the order each zone has switched its proportional number of servers,
// plus or minus one.
func TestOrderInterleavesZones(t *testing.T) {
	all := members(4, 8, 4)
	zoneOf := map[string]string{}
	size := map[string]int{}
	for _, member := range all {
		zoneOf[member.ID] = member.Zone
		size[member.Zone]++
	}
	done := map[string]int{}
	for index, id := range Order("m/2", all) {
		done[zoneOf[id]]++
		for zone, count := range done {
			proportional := float64(index+1) / float64(len(all)) * float64(size[zone])
			assert.InDelta(t, proportional, count, 1.01, "after %d of %d", index+1, len(all))
		}
	}
}

func TestSwitchOffsetsFillTheWindow(t *testing.T) {
	window := Window{Start: 3 * time.Second, End: 7 * time.Second}
	ordered := []string{"a", "b", "c", "d", "e"}
	assert.Equal(t, 3*time.Second, SwitchOffset(ordered, "a", window))
	assert.Equal(t, 5*time.Second, SwitchOffset(ordered, "c", window))
	assert.Equal(t, 7*time.Second, SwitchOffset(ordered, "e", window))
	assert.Equal(t, 7*time.Second, SwitchOffset(ordered, "unknown", window), "a member that is not listed still switches in time")
	assert.Equal(t, time.Second, SwitchOffset(ordered, "a", Window{Start: 3 * time.Second, End: time.Second}), "a start after the end gives the end")
}
