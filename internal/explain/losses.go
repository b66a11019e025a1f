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

// Outcome is how one request ended, as its entry saw it.
type Outcome string

// The outcomes that are no refusals or failures; those carry their reason after a
// colon.
const (
	OutcomeInTime Outcome = "in time"
	// OutcomeLate requests began to be answered after their target, OutcomePaused
	// streams paused for longer than theirs.
	OutcomeLate       Outcome = "late"
	OutcomePaused     Outcome = "paused"
	OutcomeCut        Outcome = "cut"
	OutcomeCallerLeft Outcome = "caller left"
)

// ending is one request with when it came, where, and how it ended.
type ending struct {
	at      time.Time
	route   string
	process string
	outcome Outcome
	// size is that of a generation, and 0 for other requests.
	size float64
}

// Losses counts how requests ended: by time, route and process.
type Losses struct {
	endings []ending
}

// CountLosses counts the outcome of every request that ends in the lines.
func CountLosses(lines []Line) Losses {
	var losses Losses
	for _, line := range lines {
		if outcome := outcomeOf(line); outcome != "" {
			began := line.Time.Add(-time.Duration(line.number("took") * float64(time.Second)))
			losses.endings = append(losses.endings, ending{
				at: began, route: line.text("route"), process: line.Process, outcome: outcome,
				size: fleet.GenerationSize(line.number("prompt_tokens"), line.number("answer_tokens")),
			})
		}
	}
	slices.SortFunc(losses.endings, func(a, b ending) int { return a.at.Compare(b.at) })
	return losses
}

// outcomeOf reads the outcome from the line that ends a request; other lines have none.
func outcomeOf(line Line) Outcome {
	switch line.Event {
	case answered:
		return answerOutcome(line)
	case givenUp:
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
	begun := line.number("first_event")
	if begun == 0 {
		begun = line.number("took")
	}
	target, gap := line.number("target"), line.number("target_gap")
	switch {
	case line.number("status") >= 500:
		return Outcome("failed: status " + line.text("status"))
	case target > 0 && begun > target:
		return OutcomeLate
	case gap > 0 && line.number("longest_pause") > gap:
		return OutcomePaused
	}
	return OutcomeInTime
}

// Write prints the counts by window of time, by route, by process, and by size within each route.
func (l Losses) Write(output io.Writer, window time.Duration) error {
	if len(l.endings) == 0 {
		_, err := fmt.Fprintln(output, "no request ended in the logs")
		return err
	}
	first := l.endings[0].at
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	l.section(table, "seconds", func(e ending) string {
		return fmt.Sprintf("%6.1f", (e.at.Sub(first) / window * window).Seconds())
	})
	l.section(table, "route", func(e ending) string { return e.route })
	l.section(table, "process", func(e ending) string { return e.process })
	labels := l.sizeLabels()
	if len(labels) > 0 {
		l.section(table, "size", func(e ending) string { return labels[sizeKey{route: e.route, size: e.size}] })
	}
	return table.Flush()
}

// section prints one table: requests, the share that was served, also late, the share in time, and every
// other outcome with its count, the most frequent first. Endings without a key are left out.
func (l Losses) section(output io.Writer, title string, keyOf func(ending) string) {
	groups := map[string]map[Outcome]int{}
	for _, one := range l.endings {
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
		_, _ = fmt.Fprintf(output, "%s\t%d\t%.2f\t%.2f\t%s\n", key, total, float64(served)/float64(total), float64(inTime)/float64(total), others(groups[key]))
	}
	_, _ = fmt.Fprintln(output)
}

func others(counts map[Outcome]int) string {
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
