package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/turnover"
)

// RecordVersion notes the version that an answer of a server named; 0 for none.
func (c *Core) RecordVersion(k *Candidate, version uint64) { k.version = max(k.version, version) }

// servedVersion is the version that a server is known to have: by its agent's word,
// or else by what it has told itself.
func (k *Candidate) servedVersion(now time.Time) uint64 {
	if k.report.current(now) {
		return k.report.Version
	}
	return k.version
}

// Margins between the expected beginning of a request at a server with an older
// version and the time from which it must not begin there: over a sound link, and over
// one that is narrow or of which nothing is known.
const (
	soundLinkMargin  = turnover.SendsEnd
	narrowLinkMargin = 1500 * time.Millisecond
	// activationOrderTime is what a server needs from its last piece to its order, generously.
	activationOrderTime = 900 * time.Millisecond
)

// narrowLink is the time to an entry and back from which a machine's link counts as
// narrow.
const narrowLink = 250 * time.Millisecond

// laggingPieces is how many more pieces than the best prepared machine one must lack
// to be taken for one on a narrow link.
const laggingPieces = 16

// hasNarrowLink reports whether a server's link seems narrow: messages take long over it,
// or its pieces come much later than others'.
func (c *Core) hasNarrowLink(k *Candidate) bool {
	least, known := c.minMissing[k.report.FetchingVersion]
	return k.report.LinkRTT >= narrowLink || (known && k.report.MissingPieces-least >= laggingPieces)
}

// computeMinMissing looks how far the best prepared machines are.
func (c *Core) computeMinMissing(now time.Time) {
	clear(c.minMissing)
	for _, told := range c.reports {
		if !told.Reachable || now.Sub(told.at) >= reportTTL {
			continue
		}
		least, known := c.minMissing[told.FetchingVersion]
		if !known || told.MissingPieces < least {
			c.minMissing[told.FetchingVersion] = told.MissingPieces
		}
	}
}

// missesVersionDeadline reports whether a server with an older version might begin the
// request after that version's bound. Requests queue up on a narrow link: a server
// on one whose pieces can't come in time any more gets nothing at all. Where the
// link is sound the origin is what is slow, and the server serves on meanwhile.
func (c *Core) missesVersionDeadline(k *Candidate, request *Request, now, bound time.Time) bool {
	margin := soundLinkMargin
	if !k.report.current(now) || c.hasNarrowLink(k) {
		margin = narrowLinkMargin
	}
	if now.Add(c.firstEvent(k, request, now) + margin).After(bound) {
		return true
	}
	engine := request.Engine
	if engine.Pieces == 0 || k.report.MissingPieces == 0 || !c.hasNarrowLink(k) {
		return false
	}
	left := engine.CopyTime * time.Duration(k.report.MissingPieces) / time.Duration(engine.Pieces)
	return now.Add(left + activationOrderTime + soundLinkMargin).After(bound)
}

// switchCost is the cost of a request that would still run when its server is to
// change over: while it puts that off, the server does nothing else. At the full weight of 2
// the last server serves the new version 0.4 s sooner than at 0.5, at the same worth.
func (c *Core) switchCost(k *Candidate, request *Request, now time.Time) time.Duration {
	if request.Engine == nil || !k.report.current(now) || !k.report.SwitchPlanned {
		return 0
	}
	needed := k.model(request).Duration(c.load(k, request, now), request.Prompt, request.Answer)
	return time.Duration(c.policy.SwitchWeight * float64(max(0, needed-k.report.untilSwitch(now))))
}
