package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// succession is what a member's new process knows of its predecessor.
type succession int

// The ways that are compared.
const (
	// forgets: each life spends the established fraction of an empty window, as entries once did.
	forgets succession = iota
	// waits: the package as it is, with nobody who tells a new life anything.
	waits
	// learns: the new life goes on with all that its predecessor counted until reportInterval ago at most, as if it had
	// spent nothing since.
	learns
	// resumes: the package as it is, with others who hold the accounts.
	resumes
	// remembers: the new life goes on with all that its predecessor spent, which nobody can tell it.
	remembers
)

// Times between two reports of what a member has spent: of a whole copy, and of an account.
const (
	reportInterval = 250 * time.Millisecond
	accountPeriod  = MaxAccountGap / 2
)

// Parameters of the measured plays: the traffic of the target size for each entry, of which half fails for a time.
const (
	measuredRate    = 10
	measuredFailing = 0.5
	measuredSeeds   = 2
	failuresFrom    = 20 * time.Second
	failuresUntil   = 35 * time.Second
	measuredLength  = 40 * time.Second
)

// measuredPlay is a fleet whose requests fail while its members are killed.
type measuredPlay struct {
	members, slack int
	succession     succession
	// killShare is the share of the members killed at a time, below 0 for a single one; kills is how often, every
	// killPeriod from the middle of the failures' first period on.
	killShare  float64
	kills      int
	killPeriod time.Duration
	// failuresFrom is when requests begin to fail.
	failuresFrom time.Duration
}

// measuredResult is the worst window of a play, and the share of the requests that were served while others failed.
type measuredResult struct {
	fleetWindow
	served float64
}

func (p measuredPlay) run(seed uint64) measuredResult {
	random := rand.New(rand.NewPCG(seed, uint64(p.members)))
	h := newFleetHistory(Options{Ratio: 0.2, Slack: p.slack, Window: window}, p.members)
	if p.succession == forgets {
		for member := range p.members {
			h.members[member].started = -window
		}
	}
	reported := make([]Budget, p.members)
	asked, served, killed := 0, 0, 0
	for now := time.Duration(0); now < measuredLength; now += playStep {
		if killed < p.kills && now >= p.failuresFrom+p.killPeriod*time.Duration(killed+1) {
			killed++
			for member := range p.members {
				if member == killed%p.members || random.Float64() < p.killShare {
					p.restart(h, member, reported[member], now)
				}
			}
		}
		if now%reportInterval == 0 {
			for member, one := range h.members {
				reported[member] = *one.budget
			}
		}
		for member, one := range h.members {
			if now%accountPeriod == 0 || one.budget.AccountDue() {
				h.tell(member, now, false)
			}
		}
		for count := float64(measuredRate*p.members) * playStep.Seconds(); count > random.Float64(); count-- {
			member := random.IntN(p.members)
			h.request(member, now)
			if now < p.failuresFrom || now >= p.failuresFrom+(failuresUntil-failuresFrom) {
				continue
			}
			asked++
			if random.Float64() >= measuredFailing || (h.retry(member, now) && random.Float64() >= measuredFailing) {
				served++
			}
		}
	}
	return measuredResult{fleetWindow: h.worstWindow(), served: float64(served) / float64(asked)}
}

func (p measuredPlay) restart(h *fleetHistory, member int, reported Budget, now time.Duration) {
	former := h.members[member]
	switch p.succession {
	case forgets:
		// An empty window of a member that counts as established.
		h.members[member] = &life{budget: New(h.options), started: now - window}
	case waits:
		h.restart(member, now)
	case resumes:
		h.restart(member, now)
		h.resume(member, now)
	case learns:
		h.members[member] = &life{budget: &reported, started: former.started}
	case remembers:
	}
}

// TestMeasureRetriesAcrossLives compares what a new life may know of its predecessor, for fleets of 3 to 330 members of
// which all, half, a third or one are killed five times. The package's own way must keep the limit in each.
func TestMeasureRetriesAcrossLives(t *testing.T) {
	names := map[succession]string{forgets: "forgets", waits: "waits", learns: "learns", resumes: "resumes", remembers: "remembers"}
	measure := func(what string, play measuredPlay) {
		for _, play.succession = range []succession{forgets, waits, learns, resumes, remembers} {
			worst, served := measuredResult{}, 0.0
			for seed := range uint64(measuredSeeds) {
				result := play.run(seed)
				served += result.served / measuredSeeds
				if seed == 0 || result.utilization() > worst.utilization() {
					worst = result
				}
			}
			t.Logf("| %d | %s | %s | %d of %.0f | %.3f |", play.members, what, names[play.succession], worst.retries, worst.allowed, served)
			if play.succession == waits || play.succession == resumes {
				assert.LessOrEqual(t, worst.excess(), 0.0, "%d members, %s", play.members, what)
			}
		}
	}
	for members, slack := range map[int]int{3: 100, 9: 106, 60: 325, 330: 654} {
		fleet := measuredPlay{members: members, slack: slack, failuresFrom: failuresFrom, killPeriod: 2 * time.Second}
		measure("no kill", fleet)
		for share, name := range map[float64]string{1: "all", 0.5: "half", 1.0 / 3: "a third", -1: "a single one"} {
			for _, kills := range []int{1, 5} {
				fleet.killShare, fleet.kills = share, kills
				measure(fmt.Sprintf("%s killed, %d times", name, kills), fleet)
			}
		}
		fleet.kills, fleet.failuresFrom = 0, 0
		measure("first start, failing from the beginning", fleet)
	}
}
