package sharing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func membersOf(zone string, count int) []Member {
	members := make([]Member, 0, count)
	for number := range count {
		members = append(members, Member{ID: fmt.Sprint(zone, "-", number), Zone: zone})
	}
	return members
}

func TestStartingMemberAssumesOthers(t *testing.T) {
	m := New(Member{ID: "a-0", Zone: "a"})
	assert.Equal(t, AssumedMembers, m.Count(start, 0))
	m.Update(membersOf("a", 3)[1:], start)
	assert.Equal(t, AssumedMembers, m.Count(start, SettleTime-1))
	assert.Equal(t, 3, m.Count(start, SettleTime))
	m.Update(membersOf("a", 40)[1:], start)
	assert.Equal(t, 40, m.Count(start, 0), "more are known than assumed")
}

func TestMemberKeepsItsShareForTheTTL(t *testing.T) {
	m := New(Member{ID: "a-0", Zone: "a"})
	m.Update(membersOf("a", 2)[1:], start)
	m.Update(nil, start.Add(MemberTTL))
	assert.Equal(t, 2, m.Count(start.Add(MemberTTL), MemberTTL))
	m.Update(nil, start.Add(MemberTTL+1))
	assert.Equal(t, 1, m.Count(start, MemberTTL+1))
}

// Guards against members that start while their zone is cut off, know few others, and take larger parts of a limit
// than they should: whatever zones are cut off from each other, the parts of all members sum to the limit at most.
func TestPartsOfZonesCutOffFromEachOtherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 9).Draw(t, "zones")
		var names []string
		all := map[string][]Member{}
		for zone := range zones {
			name := fmt.Sprint("z", zone)
			names = append(names, name)
			all[name] = membersOf(name, rapid.IntRange(1, 40).Draw(t, "members"))
		}
		// Zones of the same side know each other.
		side := map[string]int{}
		for _, name := range names {
			side[name] = rapid.IntRange(0, 2).Draw(t, "side")
		}
		parts := 0.0
		for _, name := range names {
			for _, self := range all[name] {
				m := New(self)
				m.SetZones(names)
				var known []Member
				for _, other := range names {
					for _, member := range all[other] {
						if side[other] == side[name] && member != self {
							known = append(known, member)
						}
					}
				}
				m.Update(known, start)
				parts += 1 / float64(m.Count(start, SettleTime))
			}
		}
		assert.LessOrEqual(t, parts, 1+1e-9)
	})
}

// Guards against members that start alone, each cut off from all others, and take half of a limit each.
func TestMemberThatIsAloneAssumesOthers(t *testing.T) {
	m := New(Member{ID: "a-0", Zone: "a"})
	m.SetZones([]string{"a", "b", "c"})
	m.Update(nil, start)
	assert.Equal(t, AssumedMembers, m.Count(start, time.Hour))
	m.Update([]Member{{ID: "b-0", Zone: "b"}, {ID: "c-0", Zone: "c"}}, start)
	assert.Equal(t, 3, m.Count(start, time.Hour))
}

// Guards against many members that are each cut off from all others for longer than the TTL and then divide a limit
// among few.
func TestMembersCutOffForLongKeepTheLargestCount(t *testing.T) {
	m := New(Member{ID: "a-0", Zone: "a"})
	m.SetZones([]string{"a", "b"})
	m.Update(append(membersOf("a", 20)[1:], membersOf("b", 20)...), start)
	assert.Equal(t, 40, m.Count(start, time.Hour))
	later := start.Add(2 * MemberTTL)
	m.Update(nil, later)
	assert.Equal(t, 40, m.Count(later, time.Hour), "nobody of the other zone is known")
	m.Update(append(membersOf("a", 3)[1:], membersOf("b", 2)...), later)
	assert.Equal(t, 5, m.Count(later, time.Hour), "the others have left")
}
