package budget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// life is a member's process; its budget is empty when it starts.
type life struct {
	budget  *Budget
	started time.Duration
}

// fleetHistory plays members whose processes are killed and started again, in virtual time.
type fleetHistory struct {
	options  Options
	members  []*life
	requests []time.Duration
	retries  []time.Duration
	// denied counts the retries that were wanted and denied.
	denied int
}

func newFleetHistory(options Options, members int) *fleetHistory {
	history := &fleetHistory{options: options}
	for range members {
		history.members = append(history.members, &life{budget: New(options)})
	}
	return history
}

func (h *fleetHistory) restart(member int, now time.Duration) {
	h.members[member] = &life{budget: New(h.options), started: now}
}

func (h *fleetHistory) request(member int, now time.Duration) {
	h.members[member].budget.RecordRequest(now - h.members[member].started)
	h.requests = append(h.requests, now)
}

func (h *fleetHistory) retry(member int, now time.Duration) bool {
	if !h.members[member].budget.Spend(now-h.members[member].started, len(h.members)) {
		h.denied++
		return false
	}
	h.retries = append(h.retries, now)
	return true
}

// fleetWindow is what the fleet spent in one window.
type fleetWindow struct {
	retries int
	// allowed is the fleet's limit.
	allowed float64
}

func (w fleetWindow) excess() float64 { return float64(w.retries) - w.allowed }

// utilization is the part of the limit that was spent; over 1 it was exceeded.
func (w fleetWindow) utilization() float64 { return float64(w.retries) / w.allowed }

// worstWindow returns the window in which the largest part of the fleet's limit was spent.
// The limit counts the requests of this window, of the one before it or of the one half a window earlier, whichever
// has the most.
func (h *fleetHistory) worstWindow() fleetWindow {
	worst := fleetWindow{allowed: 1}
	for _, from := range h.retries {
		requests := 0
		for _, shift := range []time.Duration{0, h.options.Window / 2, h.options.Window} {
			requests = max(requests, countFrom(h.requests, from-shift, h.options.Window))
		}
		window := fleetWindow{retries: countFrom(h.retries, from, h.options.Window), allowed: h.options.Ratio*float64(requests) + float64(h.options.Slack)}
		if window.utilization() > worst.utilization() {
			worst = window
		}
	}
	return worst
}

func (h *fleetHistory) worstExcess() float64 { return h.worstWindow().excess() }

// countFrom counts the sorted times in a window.
func countFrom(times []time.Duration, from, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, from+window)
	return last - first
}

// Guards against members that spend the whole budget in each of their lives: in no window may members and
// lives together retry more than the limit allows, whoever is killed and however often.
func TestFleetStaysWithinTheLimitAcrossLives(t *testing.T) {
	for _, members := range []int{1, 3, 9, 60, 330} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { playLives(t, members) })
		})
	}
}

// Times of the plays.
const (
	playStep = 25 * time.Millisecond
	// playLength is long enough for members to be established, killed, and established again.
	playLength = 45 * time.Second
)

func playLives(t *rapid.T, members int) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	h := newFleetHistory(Options{Ratio: 0.2, Slack: rapid.IntRange(0, 2*members+100).Draw(t, "slack"), Window: window}, members)
	perStep := rapid.Float64Range(0, 8).Draw(t, "requests a step")
	failing := rapid.Float64Range(0.2, 1).Draw(t, "share of requests that fail")
	killShare := rapid.SampledFrom([]float64{0, 0.1, 0.34, 0.5, 1}).Draw(t, "share killed")
	killPeriod := time.Duration(rapid.IntRange(200, 12000).Draw(t, "kill period")) * time.Millisecond
	killFrom := time.Duration(rapid.IntRange(0, 20000).Draw(t, "first kill")) * time.Millisecond
	failFrom := time.Duration(rapid.IntRange(0, 20000).Draw(t, "first failure")) * time.Millisecond
	burstAt := time.Duration(rapid.IntRange(0, 40000).Draw(t, "burst")) * time.Millisecond
	burst := rapid.Float64Range(1, 5).Draw(t, "burst factor")
	nextKill := killFrom
	for now := time.Duration(0); now < playLength; now += playStep {
		if now >= nextKill {
			nextKill += killPeriod
			for member := range members {
				if random.Float64() < killShare {
					h.restart(member, now)
				}
			}
		}
		rate := perStep
		if now >= burstAt && now < burstAt+3*time.Second {
			rate *= burst
		}
		for count := rate; count > random.Float64(); count-- {
			member := random.IntN(members)
			h.request(member, now)
			if now >= failFrom && random.Float64() < failing {
				h.retry(member, now)
			}
		}
	}
	assert.LessOrEqual(t, h.worstExcess(), 0.0)
}

// Guards against a budget that is saved up, spent right before a kill, and bought anew by the next life.
func TestSavedBudgetSpentBeforeAKillIsNotBoughtAnew(t *testing.T) {
	const members = 9
	for _, lives := range []int{1, 2, 4, 12} {
		h := newFleetHistory(Options{Ratio: 0.2, Slack: 100, Window: window}, members)
		for now := time.Duration(0); now < 2*window; now += playStep {
			for member := range members {
				h.request(member, now)
			}
			sinceFailure := now - window
			if sinceFailure < 0 {
				continue
			}
			spent := false
			for member := range members {
				for h.retry(member, now) {
					spent = true
				}
			}
			if killPeriod := window / time.Duration(lives); spent && sinceFailure%killPeriod == 0 {
				for member := range members {
					h.restart(member, now)
				}
			}
		}
		assert.LessOrEqual(t, h.worstExcess(), 0.0, "%d lives", lives)
	}
}
