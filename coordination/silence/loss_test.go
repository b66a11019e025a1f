package silence

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulateLoss simulates healthy servers behind links that lose packets; some requests take long
// because they ask for more work. A request's packet is retransmitted after 0.2 s, then after 0.4 s
// more (0.2 s after a tail loss probe). It counts the silent sets for one server and for all, the
// requests, and those that were cancelled though they were acknowledged and in progress.
func simulateLoss(seed uint64, perSecond float64, loss float64, servers int, seconds float64, repeatable bool) (single, common, cancelled, requests int) {
	r := rand.New(rand.NewPCG(seed, 1))
	type call struct {
		obs             Observation
		acked, answered time.Duration
		open            bool
	}
	detector := NewDetector()
	var calls []*call
	now := time.Second
	next := now
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"}
	id := uint64(0)
	pool := map[string][]*call{}
	end := now + time.Duration(seconds*float64(time.Second))
	for now < end {
		now += 25 * ms
		for next <= now {
			next += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
			requests++
			s := names[r.IntN(servers)]
			var c *call
			if idle := pool[s]; len(idle) > 0 && r.Float64() < 0.85 {
				c = idle[len(idle)-1]
				pool[s] = idle[:len(idle)-1]
			} else {
				id++
				c = &call{obs: Observation{ID: id, Server: s, Opened: now, LastRead: now, HasTCPInfo: true, LastPacket: now, TypicalWait: 120 * ms, ExpectedWait: 120 * ms, Repeatable: repeatable}}
				calls = append(calls, c)
			}
			c.open, c.obs.Waiting, c.obs.Requested = true, true, now
			c.acked = now + ms
			wait := 200 * ms
			for r.Float64() < loss {
				c.acked += wait
				if c.acked > now+250*ms {
					wait = 400 * ms
				}
			}
			// Answers take 150 ms on average; one in ten waits for up to 1.5 s more.
			work := time.Duration(r.ExpFloat64() * 150 * float64(ms))
			if r.Float64() < 0.1 {
				work += time.Duration(r.Float64() * 1500 * float64(ms))
			}
			c.answered = c.acked + work
		}
		var all []Observation
		var kept []*call
		for _, c := range calls {
			o := &c.obs
			if o.Waiting {
				if now >= c.acked {
					o.LastPacket, o.Unacknowledged, o.Acknowledged = max(o.LastPacket, c.acked), 0, true
				} else {
					o.Unacknowledged, o.Acknowledged = min(now-o.Requested, now-o.LastPacket), false
				}
				if now >= c.answered {
					o.Waiting, o.LastRead, o.LastPacket = false, c.answered, c.answered
					pool[o.Server] = append(pool[o.Server], c)
				}
			}
			all = append(all, *o)
			kept = append(kept, c)
		}
		calls = kept
		result := detector.Tick(now, all)
		for _, s := range result.Probe {
			detector.RecordProbe(s, now, true)
		}
		for _, d := range result.Silent {
			if d.Server == "" && !d.ByAnswers {
				common++
			} else if !d.ByAnswers {
				single++
			}
			for _, c := range calls {
				if c.open && d.Covers(c.obs) {
					if c.obs.Waiting && c.obs.Unacknowledged == 0 {
						cancelled++
					}
					c.open, c.obs.Waiting = false, false
					c.obs.Server = "x"
				}
			}
		}
		var left []*call
		for _, c := range calls {
			if c.obs.Server != "x" {
				left = append(left, c)
			}
		}
		calls = left
		for s, idle := range pool {
			var still []*call
			for _, c := range idle {
				if c.obs.Server != "x" {
					still = append(still, c)
				}
			}
			pool[s] = still
		}
	}
	return
}

// On links that lose one packet in twenty, at 140 requests a second, no request is cancelled that
// was acknowledged and waits for its answer.
func TestPacketLossCancelsNoAcknowledgedRequest(t *testing.T) {
	for name, repeatable := range map[string]bool{"may run once": false, "may be repeated": true} {
		var single, common, cancelled, requests int
		for seed := range uint64(20) {
			a, b, c, d := simulateLoss(seed, 140, 0.05, 12, 30, repeatable)
			single, common, cancelled, requests = single+a, common+b, cancelled+c, requests+d
		}
		assert.Zero(t, cancelled, name)
		t.Logf("%s: %d requests, %d sets for one server, %d for all servers, %d acknowledged requests cancelled", name, requests, single, common, cancelled)
	}
}
