package turnover

import (
	"slices"
	"time"
)

// SwitchOffsetWithEvacuation returns when a member switches while some zones are evacuated.
// Servers in evacuated zones receive no requests and switch at the start of the window; the
// others spread over the whole window, because they alone serve.
func SwitchOffsetWithEvacuation(key string, members []Member, self Member, evacuated func(zone string) bool, window Window) time.Duration {
	if evacuated(self.Zone) {
		return min(window.Start, window.End)
	}
	serving := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return evacuated(member.Zone) })
	return SwitchOffset(Order(key, serving), self.ID, window)
}
