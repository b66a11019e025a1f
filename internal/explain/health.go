package explain

import "fmt"

// healthCause tells what the entry held of a failing server's health: whether the request was
// its trial, had been sent before it was ejected, or has had it ejected.
func healthCause(own, all []Line, failure Line) string {
	server := failure.text("server")
	for _, line := range own {
		if line.Event == serverTried && line.text("server") == server {
			return "; the request was the trial of that server, which had been ejected, or was not reached by its agent"
		}
	}
	for _, line := range all {
		if line.Event != serverEjected || line.text("server") != server || line.Process != failure.Process {
			continue
		}
		by := "by " + line.text("by")
		if entry := line.text("entry"); entry != "" {
			by = "told by entry " + entry
		}
		if early := line.Time.Sub(failure.Time).Seconds(); early >= 0 {
			return fmt.Sprintf("; the server was ejected %.3f s after that, %s", early, by)
		}
		if out := failure.Time.Sub(line.Time).Seconds(); out < line.number("for") {
			return fmt.Sprintf("; the server had been ejected %.3f s before, %s, while the attempt was under way or for want of others", out, by)
		}
	}
	return ""
}
