package explain

import (
	"fmt"
	"strings"
)

// addContent adds what all processes have found out of a request's content: the servers that ended
// while it was under way there, its quarantine, and the end of that.
func addContent(story, lines, own []Line) []Line {
	line, found := last(own, withheldFor, sent)
	if !found || line.text("content") == "" {
		return story
	}
	var concerning []Line
	for _, one := range lines {
		if concernsContent(one, line.text("content")) {
			concerning = append(concerning, one)
		}
	}
	return addMissing(story, concerning)
}

func concernsContent(line Line, content string) bool {
	switch line.Event {
	case contentShut, contentCleared:
		return line.text("content") == content
	case serverEnded:
		return strings.Contains(line.text("contents"), content)
	}
	return false
}

// contentCause explains a request that was withheld from all servers for its content.
func contentCause(all []Line, withheld Line) string {
	text := fmt.Sprintf("servers have ended under its content %s, the last ones %s (%s, for %.0f s more)",
		withheld.text("content"), withheld.text("servers"), withheld.text("reason"), withheld.number("left"))
	if shut, found := last(all, contentShut); found {
		text += "; " + shut.text("entry") + " found that out at " + shut.Time.Format("15:04:05.000")
	}
	return text
}
