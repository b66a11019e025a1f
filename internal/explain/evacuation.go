package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// zoneEvacuatedReason is how entries count servers of evacuated zones among those that were
// not chosen.
const zoneEvacuatedReason = "zone evacuated"

// evacuationsAt returns the lines of the evacuations that some processes held in force at a
// time, however long before they had heard of them.
func evacuationsAt(lines []Line, processes map[string]bool, at time.Time) []Line {
	type place struct{ process, zone string }
	newest := map[place]Line{}
	for _, line := range lines {
		if (line.Event != zoneEvacuated && line.Event != zoneReadmitted) || !processes[line.Process] || line.Time.After(at) {
			continue
		}
		key := place{line.Process, line.text("zone")}
		if held, known := newest[key]; !known || !line.Time.Before(held.Time) {
			newest[key] = line
		}
	}
	var inForce []Line
	for _, line := range newest {
		if line.Event == zoneEvacuated {
			inForce = append(inForce, line)
		}
	}
	sortByTime(inForce)
	return inForce
}

// addEvacuations adds to the lines of a story those of evacuations that were in force when it
// began.
func addEvacuations(story, lines []Line, processes map[string]bool, from time.Time) []Line {
	return addMissing(story, evacuationsAt(lines, processes, from))
}

// addMissing adds the lines that a story does not have yet.
func addMissing(story, more []Line) []Line {
	for _, line := range more {
		known := slices.ContainsFunc(story, func(one Line) bool {
			return one.Event == line.Event && one.Process == line.Process && one.Time.Equal(line.Time)
		})
		if !known {
			story = append(story, line)
		}
	}
	return story
}

// evacuationCause tells of the evacuations that kept servers from being chosen.
func evacuationCause(all []Line, at Line) string {
	if !strings.Contains(at.text("servers"), zoneEvacuatedReason) {
		return ""
	}
	var text strings.Builder
	for _, line := range evacuationsAt(all, map[string]bool{at.Process: true}, at.Time) {
		fmt.Fprintf(&text, "; zone %s had been evacuated %.3f s before, which left out its servers", line.text("zone"), at.Time.Sub(line.Time).Seconds())
	}
	return text.String()
}
