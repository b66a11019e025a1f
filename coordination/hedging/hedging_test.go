package hedging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var allowed = Conditions{Repeatable: true, Attempts: 1, Budget: true, Remaining: time.Second, Needed: time.Millisecond}

func TestSecondAttemptNeedsEveryCondition(t *testing.T) {
	var m Machine
	assert.Equal(t, Hedge, m.FirstSilent(0, allowed))
	for name, change := range map[string]func(*Conditions){
		"may not run twice":               func(c *Conditions) { c.Repeatable = false },
		"only the first server can go on": func(c *Conditions) { c.Committed = true },
		"no attempts are left":            func(c *Conditions) { c.Attempts = 0 },
		"the retry budget is used up":     func(c *Conditions) { c.Budget = false },
		"too little of the time is left":  func(c *Conditions) { c.Remaining = 0 },
	} {
		conditions := allowed
		change(&conditions)
		assert.Equal(t, Wait, m.FirstSilent(0, conditions), name)
	}
}

func TestSearchForAPlaceIsRepeatedAfterAnInterval(t *testing.T) {
	var m Machine
	m.NoPlace(time.Second)
	assert.Equal(t, Wait, m.FirstSilent(time.Second+RetryInterval-1, allowed))
	assert.Equal(t, Hedge, m.FirstSilent(time.Second+RetryInterval, allowed))
}

// The first server goes on before the second one has begun: the second attempt ends.
func TestProgressOfTheFirstAttemptCancelsTheSecond(t *testing.T) {
	var m Machine
	m.HedgeStarted()
	assert.Equal(t, CancelHedge, m.FirstProgressed())
	assert.Equal(t, Wait, m.FirstProgressed())
	assert.Equal(t, Wait, m.HedgeBegun(), "it was canceled before")
	assert.Equal(t, Retry, m.FirstEnded())
}

// The first attempt breaks while the second one is open: nothing else is sent until its outcome.
func TestSecondAttemptReplacesAFailedFirstOne(t *testing.T) {
	var m Machine
	m.HedgeStarted()
	assert.Equal(t, AwaitHedge, m.FirstEnded())
	assert.Equal(t, Retry, m.FirstEnded())
}

// play is a request with up to two open attempts, as the caller of a Machine sees it.
type play struct {
	machine       Machine
	now           time.Duration
	first, second bool
	secondBegun   bool
	ended         bool
}

func (p *play) carryOut(t *rapid.T, decision Decision) {
	switch decision {
	case Hedge:
		if p.second {
			t.Fatal("a third attempt beside two open ones")
		}
		p.second, p.secondBegun = true, false
		p.machine.HedgeStarted()
	case TakeOver:
		if !p.second || !p.secondBegun {
			t.Fatal("the first attempt was given up before the second one had begun")
		}
		p.machine.FirstEnded()
		p.second, p.secondBegun = false, false
	case CancelHedge:
		if !p.second {
			t.Fatal("there is no second attempt to cancel")
		}
		p.second, p.secondBegun = false, false
	case AwaitHedge:
		if !p.second {
			t.Fatal("there is no second attempt to await")
		}
		p.first, p.second, p.secondBegun = true, false, false
	case Retry:
		if p.second {
			t.Fatal("the open second attempt was forgotten")
		}
		p.ended = true
	}
}

// Guards against a request that ends, or keeps two answers, though one of its attempts is open: in
// any order of events an open attempt is left until the last one has failed by itself.
func TestNoAttemptIsGivenUpBeforeAnotherHasBegun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &play{first: true}
		for !p.ended {
			p.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"silent", "no place", "begun", "failed", "progress", "ended"}).Draw(t, "event") {
			case "silent":
				conditions := allowed
				conditions.Budget = rapid.Bool().Draw(t, "budget")
				p.carryOut(t, p.machine.FirstSilent(p.now, conditions))
			case "no place":
				if !p.second {
					p.machine.NoPlace(p.now)
				}
			case "begun":
				if p.second {
					p.secondBegun = true
					p.carryOut(t, p.machine.HedgeBegun())
				}
			case "failed":
				if p.second && !p.secondBegun {
					p.second = false
					p.machine.HedgeFailed(p.now)
				}
			case "progress":
				p.carryOut(t, p.machine.FirstProgressed())
			case "ended":
				p.carryOut(t, p.machine.FirstEnded())
			}
			if !p.ended && !p.first {
				t.Fatal("no attempt is open and the request has not ended")
			}
		}
	})
}
