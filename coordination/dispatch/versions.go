package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/turnover"
)

// SawVersion notes the version that an answer of a server named; 0 for none.
func (c *Core) SawVersion(k *Candidate, version uint64) { k.version = max(k.version, version) }

// servedVersion is the version that a server is known to have: by its agent's word,
// or else by what it has told itself.
func (k *Candidate) servedVersion(now time.Time) uint64 {
	if k.word.current(now) {
		return k.word.Version
	}
	return k.version
}

// Margins between the expected beginning of a request at a server with an older
// version and the time from which it must not begin there: over a sound link, and over
// one that is narrow or of which nothing is known.
const (
	soundLinkMargin  = turnover.SendCutoff
	narrowLinkMargin = 1500 * time.Millisecond
	// orderTime is what a server needs from its last piece to its order, generously.
	orderTime = 900 * time.Millisecond
)

// narrowLink is the time to an entry and back from which a machine's link counts as
// narrow.
const narrowLink = 250 * time.Millisecond

// laggingPieces is how many more pieces than the best prepared machine one must lack
// to be taken for one on a narrow link.
const laggingPieces = 16

// narrow reports whether a server's link seems narrow: messages take long over it,
// or its pieces come much later than others'.
func (c *Core) narrow(k *Candidate) bool {
	least, known := c.leastMissing[k.word.Wanted]
	return k.word.Link >= narrowLink || (known && k.word.Missing-least >= laggingPieces)
}

// findLeastMissing looks how far the best prepared machines are.
func (c *Core) findLeastMissing(now time.Time) {
	clear(c.leastMissing)
	for _, told := range c.words {
		if !told.Reachable || now.Sub(told.at) >= wordCurrent {
			continue
		}
		least, known := c.leastMissing[told.Wanted]
		if !known || told.Missing < least {
			c.leastMissing[told.Wanted] = told.Missing
		}
	}
}

// beyondBound reports whether a server with an older version might begin the
// request after that version's bound. Requests queue up on a narrow link: a server
// on one whose pieces can't come in time any more gets nothing at all. Where the
// link is sound the origin is what is slow, and the server serves on meanwhile.
func (c *Core) beyondBound(k *Candidate, request *Request, now, bound time.Time) bool {
	margin := soundLinkMargin
	if !k.word.current(now) || c.narrow(k) {
		margin = narrowLinkMargin
	}
	if now.Add(c.firstEvent(k, request, now) + margin).After(bound) {
		return true
	}
	engine := request.Engine
	if engine.Pieces == 0 || k.word.Missing == 0 || !c.narrow(k) {
		return false
	}
	left := engine.CopyTime * time.Duration(k.word.Missing) / time.Duration(engine.Pieces)
	return now.Add(left + orderTime + soundLinkMargin).After(bound)
}

// delayedSwitch is the cost of a request that would still run when its server is to
// change over: while it puts that off, the server does nothing else. At the full weight of 2
// the last server serves the new version 0.4 s sooner than at 0.5, at the same worth.
func (c *Core) delayedSwitch(k *Candidate, request *Request, now time.Time) time.Duration {
	if request.Engine == nil || !k.word.current(now) || !k.word.SwitchPlanned {
		return 0
	}
	needed := k.model(request).Duration(c.load(k, request, now), request.Prompt, request.Answer)
	return time.Duration(c.policy.SwitchWeight * float64(max(0, needed-k.word.untilSwitch(now))))
}
