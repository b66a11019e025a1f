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
	options Options
	members []*life
	// accounts are the last accounts of each member that others hold.
	accounts []heldAccount
	requests []time.Duration
	retries  []time.Duration
	// denied counts the retries that were wanted and denied.
	denied int
}

// heldAccount is an account that others hold since a time.
type heldAccount struct {
	account Account
	at      time.Duration
	held    bool
}

func newFleetHistory(options Options, members int) *fleetHistory {
	history := &fleetHistory{options: options, accounts: make([]heldAccount, members)}
	for range members {
		history.members = append(history.members, &life{budget: New(options)})
	}
	return history
}

func (h *fleetHistory) restart(member int, now time.Duration) {
	h.members[member] = &life{budget: New(h.options), started: now}
}

// tell has a member make an account, which others hold unless it is lost.
func (h *fleetHistory) tell(member int, now time.Duration, lost bool) {
	one := h.members[member]
	account := one.budget.Account(now-one.started, len(h.members))
	if !lost {
		h.accounts[member] = heldAccount{account: account, at: now, held: true}
	}
}

// resume has a member's new life go on with the account that others hold, if there is one.
func (h *fleetHistory) resume(member int, now time.Duration) {
	one, held := h.members[member], h.accounts[member]
	if held.held {
		one.budget.Resume(held.account, now-held.at, now-one.started)
	}
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

// Guards against lives that go on with what their predecessors told others and spend what these have spent since, or
// what an earlier life had spent that nobody has told them: accounts come late or not at all, and lives end before
// they have told anything.
func TestResumedLivesStayWithinTheLimit(t *testing.T) {
	for _, members := range []int{1, 3, 9, 60, 330} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				telling := &telling{
					lost:   rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "share of accounts lost"),
					period: time.Duration(rapid.IntRange(8, 48).Draw(t, "telling period")) * playStep,
					delay:  time.Duration(rapid.IntRange(0, 40).Draw(t, "time until a life resumes")) * playStep,
				}
				playLivesThat(t, members, telling)
			})
		})
	}
}

// telling is how members tell others what they have spent, and how late a new life hears of it.
type telling struct {
	lost          float64
	period, delay time.Duration
}

func (s *telling) step(h *fleetHistory, random *rand.Rand, now time.Duration) {
	for member, one := range h.members {
		if now-one.started == s.delay && one.started > 0 {
			h.resume(member, now)
		}
		if now%s.period == 0 || one.budget.AccountDue() {
			h.tell(member, now, random.Float64() < s.lost)
		}
	}
}

func playLives(t *rapid.T, members int) { playLivesThat(t, members, nil) }

// playLivesThat plays members that tell others what they have spent, or nothing at all.
func playLivesThat(t *rapid.T, members int, telling *telling) {
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
		if telling != nil {
			telling.step(h, random, now)
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

// A life that goes on with an account spends what its former life had left, without the reserve.
func TestResumedBudgetGoesOnWithTheFormerOne(t *testing.T) {
	former, now := established(Options{Ratio: 0.25, Slack: 40, Window: window})
	for range 100 {
		former.RecordRequest(now - window/2)
	}
	for range 12 {
		former.Spend(now, 1)
	}
	left := int(former.State(now, 1).Remaining())
	account := former.Account(now, 1)
	assert.Equal(t, 24, left, "0.8 x (0.25 x 100 + 40/2) - 12")
	assert.Equal(t, 6, account.Reserve)
	next := New(Options{Ratio: 0.25, Slack: 40, Window: window})
	assert.True(t, next.Resume(account, 400*time.Millisecond, 100*time.Millisecond))
	state := next.State(100*time.Millisecond, 1)
	assert.True(t, state.Established)
	assert.Equal(t, 100, state.Requests)
	assert.Equal(t, 12+account.Reserve, state.Retries)
	assert.False(t, next.Resume(account, 400*time.Millisecond, 100*time.Millisecond), "once")
	afterwards := next.State(window+200*time.Millisecond, 1)
	assert.Zero(t, afterwards.Retries)
	assert.Zero(t, afterwards.Requests)
}

// Guards against a life that goes on with an account of long before its start, since which the former life may have
// spent its whole budget again, or with one of its own.
func TestOldAccountIsNotResumed(t *testing.T) {
	former, now := established(Options{Slack: 100, Window: window})
	account := former.Account(now, 1)
	const age = time.Second
	for _, ago := range []time.Duration{age - 1, age + MaxAccountGap + 1} {
		next := New(Options{Slack: 100, Window: window})
		assert.False(t, next.Resume(account, ago, age))
		assert.False(t, next.State(age, 1).Established)
	}
}

// Guards against a chain of short lives that counts as established though what was spent before it is unknown.
func TestResumedLifeCoversNoMoreThanItsAccounts(t *testing.T) {
	options := Options{Slack: 100, Window: window}
	first := New(options)
	second := New(options)
	assert.True(t, second.Resume(first.Account(2*time.Second, 1), time.Second, 0))
	assert.False(t, second.State(window-3*time.Second-1, 1).Established)
	assert.True(t, second.State(window-3*time.Second, 1).Established)
}

// A member makes an account with its first retry, and whenever half of its reserve is spent.
func TestAccountIsDueWhenHalfOfTheReserveIsSpent(t *testing.T) {
	b, now := established(Options{Slack: 100, Window: window})
	assert.False(t, b.AccountDue())
	assert.True(t, b.Spend(now, 1))
	assert.True(t, b.AccountDue())
	reserve := b.Account(now, 1).Reserve
	assert.Equal(t, 10, reserve, "a quarter of what remains of 0.8 x 100/2")
	for spent := 1; spent <= reserve/2; spent++ {
		assert.False(t, b.AccountDue())
		assert.True(t, b.Spend(now, 1))
	}
	assert.True(t, b.AccountDue())
}
