package explain

import (
	"fmt"
	"strings"

	"pinevane.example/pinevane/internal/fault"
)

// lastLine returns the last line with one of the events.
func lastLine(lines []Line, events ...string) (Line, bool) {
	for index := len(lines) - 1; index >= 0; index-- {
		for _, event := range events {
			if lines[index].Event == event {
				return lines[index], true
			}
		}
	}
	return Line{}, false
}

// cause explains the outcome of a request from its own lines and from all lines of its
// explanation.
func cause(own, all []Line) string {
	end, ended := lastLine(own, requestAnswered, requestDenied, requestGivenUp, streamCut, callerLeft)
	if !ended {
		return unansweredCause(own)
	}
	switch end.Event {
	case requestAnswered:
		return answeredCause(own, end)
	case requestDenied:
		return deniedCause(all, end)
	case callerLeft:
		return fmt.Sprintf("the caller closed its connection after %.3f s", end.number("took"))
	case streamCut:
		return "the stream was cut after event " + end.text("last_event") + ": " + failureCause(own, all)
	}
	if end.text("execution") == "not-run" {
		return "refused, and certain not to have run: " + refusalCause(own, all, end)
	}
	return "given up, and it may have run: " + failureCause(own, all)
}

// unansweredCause explains why a request without an answer or a refusal has ended.
func unansweredCause(own []Line) string {
	end, found := lastLine(own, requestUnanswered)
	if !found {
		return "the logs contain no end of the request: its process was killed, or lines are missing"
	}
	text := fmt.Sprintf("the caller's connection ended without a complete answer after %.3f s: %s", end.number("took"), end.text("cause"))
	if panicked, found := lastLine(own, handlerPanicked); found {
		text += "; its handler panicked: " + panicked.text("panic")
	}
	return text
}

func answeredCause(own []Line, end Line) string {
	text := fmt.Sprintf("answered with status %s by server %s after %.3f s", end.text("status"), end.text("server"), end.number("took"))
	if first, target := end.number("first_event"), end.number("target"); target > 0 && first > target {
		text += fmt.Sprintf("; late: the first event came after %.3f s, the target is %.3f s", first, target)
		if choice, found := lastLine(own, requestSent); found {
			text += fmt.Sprintf("; %.3f s were expected of the server, from a status report %.3f s old", choice.number("expected"), choice.number("status_age"))
		}
	}
	if choice, found := lastLine(own, requestSent); found {
		text += repeatCause(choice)
	}
	if failure, found := lastLine(own, attemptFailed); found {
		text += "; an earlier attempt failed: " + failure.text("reason") + " at " + failure.text("server")
	}
	return text
}

// repeatCause describes an earlier attempt of the caller that was refused.
func repeatCause(choice Line) string {
	since := choice.number("since_first_attempt")
	if since <= 0 {
		return ""
	}
	return fmt.Sprintf("; the caller had retried, %.3f s or more after its first attempt", since)
}

func deniedCause(all []Line, end Line) string {
	text := fmt.Sprintf("denied with %s by configuration %s, in force for %.3f s", end.text("status"), end.text("configuration"), end.number("configuration_age"))
	if newest, found := lastLine(all, snapshotAccepted); found && newest.text("version") != end.text("configuration") {
		text += "; version " + newest.text("version") + " came into force at " + newest.Time.Format("15:04:05.000")
	}
	return text
}

// refusalCause explains why a request was refused without being run.
func refusalCause(own, all []Line, end Line) string {
	if line, found := lastLine(own, contentWithheld); found {
		return quarantineCause(all, line)
	}
	if line, found := lastLine(own, noServerChosen); found {
		text := "no server was chosen; servers by reason: " + line.text("servers")
		if line.number("wait") > 0 {
			text += fmt.Sprintf("; the shortest wait for other requests would have been %.3f s, %.3f s are allowed", line.number("wait"), line.number("most_wait"))
			text += fmt.Sprintf("; an idle server would have sent the first event for its %s prompt tokens after %.3f s", line.text("prompt_tokens"), line.number("alone"))
		}
		return text + repeatCause(line) + regionCause(line, end) + evacuationCause(all, line) + versionCause(all, line)
	}
	if _, found := lastLine(own, attemptFailed); found {
		return failureCause(own, all)
	}
	return end.text("reason")
}

// reasonResidency is the refusal reason of a request for which a server was available
// only outside the allowed regions.
const reasonResidency = string(fault.ReasonResidency)

// noRegions is the log field of allowed regions that have no region in common.
const noRegions = "[]"

// regionCause describes the allowed regions of a choice, and whether they caused the
// refusal.
func regionCause(choice, end Line) string {
	regions := choice.text("allowed_regions")
	if regions == "" {
		return ""
	}
	text := "; only servers in the regions " + regions + " were allowed"
	if regions == noRegions {
		text = "; the allowed regions of the route and the tenant have none in common"
	}
	if end.text("reason") == reasonResidency {
		text += ", and others would have taken it"
	}
	return text
}

// failureCause explains the last failed attempt and why it was not retried.
func failureCause(own, all []Line) string {
	failure, found := lastLine(own, attemptFailed)
	if !found {
		return "no failed attempt is in the logs; lines are missing"
	}
	text := fmt.Sprintf("attempt %s at server %s failed (%s", failure.text("attempt"), failure.text("server"), failure.text("reason"))
	if detail := failure.text("cause"); detail != "" {
		text += ": " + detail
	}
	text += ")" + healthCause(own, all, failure)
	if line, found := lastLine(own, retryWithheld); found && !line.Time.Before(failure.Time) {
		text += "; it was not tried again because of: " + line.text("because") + budgetCause(line)
	} else if line, found := lastLine(own, noServerChosen); found && !line.Time.Before(failure.Time) {
		text += "; no other server was chosen, servers by reason: " + line.text("servers") + regionCause(line, Line{}) + evacuationCause(all, line)
	}
	return text + versionCause(all, failure)
}

// budgetCause describes the retry budget that denied a retry; it is empty for other reasons.
func budgetCause(denied Line) string {
	if _, hasBudget := denied.Fields["window_retries"]; !hasBudget {
		return ""
	}
	text := fmt.Sprintf(" (%s retries were spent in the window; %.1f were allowed for its %s requests, and %.1f as this entry's share of the slack among %s entries; the process had run for %.1f s",
		denied.text("window_retries"), denied.number("allowed_by_ratio"), denied.text("window_requests"), denied.number("allowed_by_slack"),
		denied.text("members"), denied.number("process_age"))
	if denied.text("established") == "false" {
		text += "; it spends less until a whole window has passed, since a former process of this entry may have spent the rest"
	}
	return text + ")"
}

// versionCause describes a version change that was in progress at the time of a line.
func versionCause(all []Line, at Line) string {
	announced, found := lastLine(all, versionAnnounced)
	if !found || announced.Time.After(at.Time) {
		return ""
	}
	ordered := map[string]bool{}
	for _, line := range all {
		if line.Event == orderSent && line.text("version") == announced.text("version") && !line.Time.After(at.Time) {
			ordered[line.Process] = true
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "; version %s had been named %.3f s before", announced.text("version"), at.Time.Sub(announced.Time).Seconds())
	if len(ordered) > 0 {
		fmt.Fprintf(&text, ", and %d servers had been ordered to switch", len(ordered))
	}
	return text.String()
}
