package turnover

import (
	"slices"
	"time"
)

// SwitchOffsetWithEvacuation returns when a member switches while some zones are evacuated.
// Servers of evacuated zones receive no requests and switch at the beginning of the window; the
// servers of the other zones divide the window among themselves.
func SwitchOffsetWithEvacuation(key string, members []Member, self Member, evacuated func(zone string) bool, window Window) time.Duration {
	if evacuated(self.Zone) {
		return min(window.Start, window.End)
	}
	serving := slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return evacuated(member.Zone) })
	return SwitchOffset(Order(key, serving), self.ID, window)
}
