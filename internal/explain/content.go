package explain

import (
	"fmt"
	"strings"
)

// addFingerprintLines adds the lines of all processes that concern the fingerprint of a request: the
// crashes of servers that were running it, its quarantine, and the end of the quarantine.
func addFingerprintLines(selected, lines, own []Line) []Line {
	line, found := lastLine(own, contentWithheld, requestSent)
	if !found || line.text("content") == "" {
		return selected
	}
	var concerning []Line
	for _, one := range lines {
		if concernsFingerprint(one, line.text("content")) {
			concerning = append(concerning, one)
		}
	}
	return addMissing(selected, concerning)
}

func concernsFingerprint(line Line, fingerprint string) bool {
	switch line.Event {
	case fingerprintQuarantined, quarantineEnded:
		return line.text("content") == fingerprint
	case serverCrashed:
		return strings.Contains(line.text("contents"), fingerprint)
	}
	return false
}

// quarantineCause explains a request that was withheld from all servers because of its fingerprint.
func quarantineCause(all []Line, withheld Line) string {
	text := fmt.Sprintf("servers have crashed while running requests with its fingerprint %s, most recently %s (%s, for %.0f s more)",
		withheld.text("content"), withheld.text("servers"), withheld.text("reason"), withheld.number("left"))
	if quarantine, found := lastLine(all, fingerprintQuarantined); found {
		text += "; " + quarantine.text("entry") + " reported this at " + quarantine.Time.Format("15:04:05.000")
	}
	return text
}
