package explain

import "fmt"

// healthCause describes the state of a failed attempt's server at the entry: whether the request
// was the server's trial, and whether the server was ejected before or after the failure.
func healthCause(own, all []Line, failure Line) string {
	server := failure.text("server")
	for _, line := range own {
		if line.Event == serverTrial && line.text("server") == server {
			return "; the request was a trial of that server, which had been ejected or was unreachable for its agent"
		}
	}
	for _, line := range all {
		if line.Event != serverEjected || line.text("server") != server || line.Process != failure.Process {
			continue
		}
		by := "by " + line.text("by")
		if entry := line.text("entry"); entry != "" {
			by = "reported by entry " + entry
		}
		if delay := line.Time.Sub(failure.Time).Seconds(); delay >= 0 {
			return fmt.Sprintf("; the server was ejected %.3f s after that, %s", delay, by)
		}
		if ejected := failure.Time.Sub(line.Time).Seconds(); ejected < line.number("for") {
			return fmt.Sprintf("; the server had been ejected %.3f s before, %s, while the attempt was in progress or because no other server was available", ejected, by)
		}
	}
	return ""
}
