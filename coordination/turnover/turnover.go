// Package turnover schedules when each server of a service switches to a new version
// of its weights, so that few servers are unavailable at once and all have switched
// in time. Every machine computes the same schedule from its own list of members;
// there is no leader. The package does no I/O and reads no clock.
package turnover

import (
	"cmp"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// Member is a server of the service.
type Member struct {
	ID   string
	Zone string
}

// Order returns the order in which the members switch to a version. It interleaves the
// zones, so that at no time one zone has a larger part of its servers unavailable than
// the others.
func Order(key string, members []Member) []string {
	byZone := map[string][]string{}
	var zones []string
	for _, member := range members {
		if _, known := byZone[member.Zone]; !known {
			zones = append(zones, member.Zone)
		}
		byZone[member.Zone] = append(byZone[member.Zone], member.ID)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(byZone[b]), len(byZone[a])), cmp.Compare(a, b))
	})
	type slot struct {
		id       string
		fraction float64
		zone     int
	}
	var slots []slot
	for zoneIndex, zone := range zones {
		ranked := placement.Rank(key, byZone[zone])
		for index, id := range ranked {
			slots = append(slots, slot{id: id, fraction: (float64(index) + 0.5) / float64(len(ranked)), zone: zoneIndex})
		}
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.fraction, b.fraction), cmp.Compare(a.zone, b.zone))
	})
	ordered := make([]string, 0, len(slots))
	for _, next := range slots {
		ordered = append(ordered, next.id)
	}
	return ordered
}

// Window is the interval in which the members switch, counted from the version
// announcement.
type Window struct {
	Start time.Duration
	End   time.Duration
}

// SwitchOffset returns when a member switches, counted from the version announcement. A
// member that is not in the order switches last.
func SwitchOffset(ordered []string, id string, window Window) time.Duration {
	if window.End <= window.Start {
		return window.End
	}
	rank := slices.Index(ordered, id)
	if rank < 0 {
		return window.End
	}
	if len(ordered) < 2 {
		return window.Start
	}
	step := (window.End - window.Start) / time.Duration(len(ordered)-1)
	return window.Start + time.Duration(rank)*step
}
