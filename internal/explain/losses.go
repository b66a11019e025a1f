package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"pinevane.example/pinevane/internal/fleet"
)

// Outcome is the outcome of a request as its entry logged it.
type Outcome string

// The outcomes other than refusals and failures, which are "refused: " or "failed: "
// followed by the reason.
const (
	OutcomeInTime Outcome = "in time"
	// OutcomeLate is the outcome of requests whose first event came after their target,
	// OutcomePaused that of streams with a pause longer than their target gap.
	OutcomeLate       Outcome = "late"
	OutcomePaused     Outcome = "paused"
	OutcomeCut        Outcome = "cut"
	OutcomeCallerLeft Outcome = "caller left"
)

// requestEnd is a completed request.
type requestEnd struct {
	startedAt time.Time
	route     string
	process   string
	outcome   Outcome
	// size is the size of a generation, and 0 for other requests.
	size float64
}

// Losses holds the completed requests, to be counted by outcome.
type Losses struct {
	requests []requestEnd
}

// CountLosses collects the outcomes of all requests that end in the lines.
func CountLosses(lines []Line) Losses {
	var losses Losses
	for _, line := range lines {
		if outcome := outcomeOf(line); outcome != "" {
			begin := line.Time.Add(-time.Duration(line.number("took") * float64(time.Second)))
			losses.requests = append(losses.requests, requestEnd{
				startedAt: begin, route: line.text("route"), process: line.Process, outcome: outcome,
				size: fleet.GenerationSize(line.number("prompt_tokens"), line.number("answer_tokens")),
			})
		}
	}
	slices.SortFunc(losses.requests, func(a, b requestEnd) int { return a.startedAt.Compare(b.startedAt) })
	return losses
}

// outcomeOf returns the outcome if the line ends a request, and "" otherwise.
func outcomeOf(line Line) Outcome {
	switch line.Event {
	case requestAnswered:
		return answerOutcome(line)
	case requestGivenUp:
		if line.text("execution") == "not-run" {
			return Outcome("refused: " + line.text("reason"))
		}
		return Outcome("failed: " + line.text("reason"))
	case streamCut:
		return OutcomeCut
	case callerLeft:
		return OutcomeCallerLeft
	}
	return ""
}

func answerOutcome(line Line) Outcome {
	firstEvent := line.number("first_event")
	if firstEvent == 0 {
		firstEvent = line.number("took")
	}
	target, gap := line.number("target"), line.number("target_gap")
	switch {
	case line.number("status") >= 500:
		return Outcome("failed: status " + line.text("status"))
	case target > 0 && firstEvent > target:
		return OutcomeLate
	case gap > 0 && line.number("longest_pause") > gap:
		return OutcomePaused
	}
	return OutcomeInTime
}

// Write prints the counts by time window, by route, by process, and by size within each route.
func (l Losses) Write(output io.Writer, window time.Duration) error {
	if len(l.requests) == 0 {
		_, err := fmt.Fprintln(output, "no request ended in the logs")
		return err
	}
	first := l.requests[0].startedAt
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	l.writeSection(table, "seconds", func(e requestEnd) string {
		return fmt.Sprintf("%6.1f", (e.startedAt.Sub(first) / window * window).Seconds())
	})
	l.writeSection(table, "route", func(e requestEnd) string { return e.route })
	l.writeSection(table, "process", func(e requestEnd) string { return e.process })
	labels := l.sizeLabels()
	if len(labels) > 0 {
		l.writeSection(table, "size", func(e requestEnd) string { return labels[sizeKey{route: e.route, size: e.size}] })
	}
	return table.Flush()
}

// writeSection prints one table: the number of requests, the fraction served (in time or late), the fraction
// served in time, and the counts of all other outcomes, most frequent first. Requests without a key are
// omitted.
func (l Losses) writeSection(output io.Writer, title string, keyOf func(requestEnd) string) {
	groups := map[string]map[Outcome]int{}
	for _, one := range l.requests {
		key := keyOf(one)
		if key == "" {
			continue
		}
		if groups[key] == nil {
			groups[key] = map[Outcome]int{}
		}
		groups[key][one.outcome]++
	}
	keys := make([]string, 0, len(groups))
	for key := range groups {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	_, _ = fmt.Fprintf(output, "%s\trequests\tserved\tin time\tothers\n", title)
	for _, key := range keys {
		total := 0
		for _, count := range groups[key] {
			total += count
		}
		inTime := groups[key][OutcomeInTime]
		served := inTime + groups[key][OutcomeLate] + groups[key][OutcomePaused]
		_, _ = fmt.Fprintf(output, "%s\t%d\t%.2f\t%.2f\t%s\n", key, total, float64(served)/float64(total), float64(inTime)/float64(total), otherOutcomes(groups[key]))
	}
	_, _ = fmt.Fprintln(output)
}

func otherOutcomes(counts map[Outcome]int) string {
	var outcomes []Outcome
	for outcome := range counts {
		if outcome != OutcomeInTime {
			outcomes = append(outcomes, outcome)
		}
	}
	slices.SortFunc(outcomes, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(string(a), string(b)))
	})
	var parts []string
	for _, outcome := range outcomes {
		parts = append(parts, fmt.Sprintf("%d %s", counts[outcome], outcome))
	}
	return strings.Join(parts, ", ")
}
