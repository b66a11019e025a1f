// Package turnover decides when each server of a service changes over to a new
// version of its weights, so that never many are away at once and all have
// changed in time. Every machine computes the same turns from its own list of
// members; nobody leads. It does no I/O and reads no clock.
package turnover

import (
	"cmp"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

// Member is a server that takes part.
type Member struct {
	ID   string
	Zone string
}

// Order ranks the members for one version: the zones take turns, so that at no
// time one zone loses more of its servers than the others.
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
	type place struct {
		id       string
		fraction float64
		zone     int
	}
	var places []place
	for zoneIndex, zone := range zones {
		ranked := placement.Rank(key, byZone[zone])
		for index, id := range ranked {
			places = append(places, place{id: id, fraction: (float64(index) + 0.5) / float64(len(ranked)), zone: zoneIndex})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.fraction, b.fraction), cmp.Compare(a.zone, b.zone))
	})
	ordered := make([]string, 0, len(places))
	for _, one := range places {
		ordered = append(ordered, one.id)
	}
	return ordered
}

// Window is the time in which the turns lie, counted from the naming of the
// version.
type Window struct {
	Start time.Duration
	End   time.Duration
}

// SwitchOffset returns when a member's turn is. A member that is not among those ordered
// goes last.
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
