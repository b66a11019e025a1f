package turnover

import (
	"slices"
	"time"
)

// SwitchOffsetWithEvacuation returns when a member's turn is while some zones are sent no requests.
// Their servers change over at the beginning of the window, since nobody waits for them; the
// others divide the window among themselves, because they are all that serves.
func SwitchOffsetWithEvacuation(key string, members []Member, self Member, emptied func(zone string) bool, window Window) time.Duration {
	if emptied(self.Zone) {
		return min(window.Start, window.End)
	}
	serving := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return emptied(member.Zone) })
	return SwitchOffset(Order(key, serving), self.ID, window)
}
