package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Parameters of requests that crash servers because of a part of their prompts.
const (
	partIDPrefix = "part-"
	// partRequestInterval is the time between such requests.
	partRequestInterval = 250 * time.Millisecond
	// minPartTime is the minimum duration of the fault, to which the fault's duration is added: the time
	// for five crashes, and for the checks after them.
	minPartTime = 10 * time.Second
	// allowedPartCrashes is the platform's limit on crashes before the part must be known.
	allowedPartCrashes = 5
	// minComparedStreams is the number of streams from which those beside such requests are compared with
	// those at other times, and minBegunRatio the ratio of them that must begin at their first attempt.
	minComparedStreams = 20
	minBegunRatio      = 0.5
)

var (
	// crashingParts are the parts that crash servers, and writtenAtCrash what the servers have sent then.
	crashingParts  = []string{"dead0000", "dead0001"}
	writtenAtCrash = []site.WrittenPart{site.NothingWritten, site.FirstEventWritten}
)

func partPrefix(part int) string { return fmt.Sprintf("%s%d-", partIDPrefix, part) }

// promptParts returns the parts of a sound prompt: one that all share, one of four, one of eight and one of
// its own.
func promptParts(number int) []string {
	return []string{"5c1e07a2", fmt.Sprintf("5ec0000%d", number%4), fmt.Sprintf("7b1d000%d", number%8), fmt.Sprintf("a%07x", number)}
}

// sendCrashingParts sends requests that have a crashing part in common for a time. Their other parts are those
// of sound requests.
func (r *run) sendCrashingParts(fault Fault) {
	part, duration := fault.Count%len(crashingParts), minPartTime+fault.Duration
	r.record.PartTraffic = append(r.record.PartTraffic, PartTraffic{Part: part, Interval: Interval{From: time.Now(), To: time.Now().Add(duration)}})
	r.startCrashing(duration, func(ctx context.Context, number int, random *rand.Rand) {
		r.callers.sendCrashingParts(ctx, part, number, random)
	})
}

func (c *callers) sendCrashingParts(ctx context.Context, part, fault int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	ticker := time.NewTicker(partRequestInterval)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		zone, index := random.IntN(c.site.Options.Zones), random.IntN(c.site.Options.Entries)
		id := fmt.Sprintf("%s%d-%d", partPrefix(part), fault, number)
		c.recordCrashSender(id, launch.SiteProcessName(site.RoleEntry, zone, index))
		parts := promptParts(random.IntN(1 << 20))
		parts[random.IntN(len(parts)-1)] = crashingParts[part]
		request, err := c.site.NewRequest(zone, index, http.MethodPost, site.StreamPrefix+id, id, "prompt of "+id, maxEvents)
		if err == nil {
			site.SetPromptParts(request, parts)
			go sendDiscarding(client, request)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// PartTraffic is a time in which requests with a crashing part were sent.
type PartTraffic struct {
	Part int
	Interval
}

// checkServedBesideParts compares the streams that began at their first attempt while requests with a crashing
// part came, from twice the recovery margin after its fifth crash on, with those at undisturbed times. They
// share their caller and parts with such requests.
func (r Record) checkServedBesideParts(runs map[string][]site.Run) []Violation {
	usual := r.begunRatio(runs, func(attempt Attempt) bool { return r.nothingDisturbed(attempt.Sent, attempt.Sent) })
	var found []Violation
	for _, traffic := range r.PartTraffic {
		crashes := slices.DeleteFunc(slices.Clone(r.Crashes), func(crash site.ServerCrash) bool {
			return crash.At.Before(traffic.From) || crash.At.After(traffic.To)
		})
		if len(crashes) == 0 || usual < 0 {
			continue
		}
		from := crashes[min(len(crashes), allowedPartCrashes)-1].At.Add(2 * recoveryMargin)
		beside := r.begunRatio(runs, func(attempt Attempt) bool {
			return attempt.Sent.After(from) && attempt.Sent.Before(traffic.To) && r.nothingElseDisturbedBy(crashedServers, attempt.Sent)
		})
		if beside >= 0 && beside < minBegunRatio*usual {
			found = append(found, Violation{
				Guarantee: SoundRequestsBegin, At: from, Detail: fmt.Sprintf("%.2f of the streams began at their first attempt beside requests with part %s, %.2f usually", beside, crashingParts[traffic.Part], usual),
			})
		}
	}
	return found
}

// begunRatio returns the ratio of the chosen streams that a server began, or -1 if there are too few.
func (r Record) begunRatio(runs map[string][]site.Run, chosen func(attempt Attempt) bool) float64 {
	all, begun := 0, 0
	for _, attempt := range r.Attempts {
		if attempt.Kind != CallStream || !chosen(attempt) {
			continue
		}
		all++
		if len(runs[attempt.ID]) > 0 {
			begun++
		}
	}
	if all < minComparedStreams {
		return -1
	}
	return float64(begun) / float64(all)
}

// nothingElseDisturbedBy reports whether nothing was disturbed at a time apart from the disturbances with the
// given name.
func (r Record) nothingElseDisturbedBy(name string, at time.Time) bool {
	return !slices.ContainsFunc(r.Disturbances, func(interval Interval) bool { return interval.Name != name && interval.overlaps(at, at) })
}
