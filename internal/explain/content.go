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
		if concernsFingerprint(one, line.text("content"), line.text("part")) {
			concerning = append(concerning, one)
		}
	}
	return addMissing(selected, concerning)
}

// concernsFingerprint reports whether a line concerns a fingerprint: that of a whole request or, if part is
// not empty, that of the part of a prompt with that name.
func concernsFingerprint(line Line, fingerprint, part string) bool {
	switch line.Event {
	case fingerprintQuarantined, quarantineEnded:
		return line.text("content") == fingerprint
	case serverCrashed:
		return strings.Contains(line.text("contents"), fingerprint) || (part != "" && strings.Contains(line.text("parts"), part))
	}
	return false
}

// quarantineCause explains a request that was withheld from all servers because of its fingerprint.
func quarantineCause(all []Line, withheld Line) string {
	subject := "its fingerprint " + withheld.text("content")
	if part := withheld.text("part"); part != "" {
		subject = "part " + part + " of its prompt"
	}
	text := fmt.Sprintf("servers have crashed while running requests with %s, most recently %s (%s, for %.0f s more)",
		subject, withheld.text("servers"), withheld.text("reason"), withheld.number("left"))
	if quarantine, found := lastLine(all, fingerprintQuarantined); found {
		text += "; " + quarantine.text("entry") + " reported this at " + quarantine.Time.Format("15:04:05.000")
	}
	return text
}
