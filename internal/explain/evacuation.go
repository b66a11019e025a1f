package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// zoneEvacuatedReason is the reason under which entries log the number of servers that were
// not chosen because their zone is evacuated.
const zoneEvacuatedReason = "zone evacuated"

// activeEvacuations returns the lines of the evacuations that were active for the given processes
// at a time, regardless of how long before they had been received.
func activeEvacuations(lines []Line, processes map[string]bool, at time.Time) []Line {
	type processZone struct{ process, zone string }
	newest := map[processZone]Line{}
	for _, line := range lines {
		if (line.Event != zoneEvacuated && line.Event != zoneReadmitted) || !processes[line.Process] || line.Time.After(at) {
			continue
		}
		key := processZone{line.Process, line.text("zone")}
		if previous, known := newest[key]; !known || !line.Time.Before(previous.Time) {
			newest[key] = line
		}
	}
	var active []Line
	for _, line := range newest {
		if line.Event == zoneEvacuated {
			active = append(active, line)
		}
	}
	sortByTime(active)
	return active
}

// addEvacuations adds the lines of the evacuations that were active when the request started to
// the selected lines.
func addEvacuations(selected, lines []Line, processes map[string]bool, from time.Time) []Line {
	return addMissing(selected, activeEvacuations(lines, processes, from))
}

// addMissing adds the lines that are not selected yet.
func addMissing(selected, more []Line) []Line {
	for _, line := range more {
		known := slices.ContainsFunc(selected, func(one Line) bool {
			return one.Event == line.Event && one.Process == line.Process && one.Time.Equal(line.Time)
		})
		if !known {
			selected = append(selected, line)
		}
	}
	return selected
}

// evacuationCause describes the evacuations that excluded servers from a choice.
func evacuationCause(all []Line, at Line) string {
	if !strings.Contains(at.text("servers"), zoneEvacuatedReason) {
		return ""
	}
	var text strings.Builder
	for _, line := range activeEvacuations(all, map[string]bool{at.Process: true}, at.Time) {
		fmt.Fprintf(&text, "; zone %s had been evacuated %.3f s before, which excluded its servers", line.text("zone"), at.Time.Sub(line.Time).Seconds())
	}
	return text.String()
}
