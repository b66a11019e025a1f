package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/turnover"
)

// RecordVersion records the version that a server's answer named, 0 for none.
func (c *Core) RecordVersion(k *Candidate, version uint64) { k.version = max(k.version, version) }

// servedVersion returns the version that a server is known to have: by its agent's report if that is current,
// else the newest that the server itself has reported.
func (k *Candidate) servedVersion(now time.Time) uint64 {
	if k.report.current(now) {
		return k.report.Version
	}
	return k.version
}

// Margins between the expected start of a request at a server with an older version and that version's
// deadline, over a sound link and over one that is narrow or unknown.
const (
	soundLinkMargin  = turnover.SendCutoff
	narrowLinkMargin = 1500 * time.Millisecond
	// activationOrderTime is an upper estimate of the time between a server's last piece and its activation
	// order.
	activationOrderTime = 900 * time.Millisecond
)

// narrowLink is the round-trip time to an entry from which a machine's link counts as narrow.
const narrowLink = 250 * time.Millisecond

// laggingPieces is how many more pieces than the most advanced machine one must be missing to count as on a
// narrow link.
const laggingPieces = 16

// hasNarrowLink reports whether a server's link seems narrow: its round-trip time is long, or its pieces
// arrive much later than those of others.
func (c *Core) hasNarrowLink(k *Candidate) bool {
	lowest, known := c.minMissing[k.report.FetchingVersion]
	return k.report.LinkRTT >= narrowLink || (known && k.report.MissingPieces-lowest >= laggingPieces)
}

// computeMinMissing finds, by version, the number of pieces that the most advanced machine is missing.
func (c *Core) computeMinMissing(now time.Time) {
	clear(c.minMissing)
	for _, reported := range c.reports {
		if !reported.Reachable || now.Sub(reported.at) >= reportTTL {
			continue
		}
		lowest, known := c.minMissing[reported.FetchingVersion]
		if !known || reported.MissingPieces < lowest {
			c.minMissing[reported.FetchingVersion] = reported.MissingPieces
		}
	}
}

// missesVersionDeadline reports whether a server with an older version might begin the request after that
// version's deadline. Requests queue up on a narrow link: a server whose pieces can't arrive in time over one
// gets no requests at all. Where the link is sound, the origin is the bottleneck, and the server keeps
// serving meanwhile.
func (c *Core) missesVersionDeadline(k *Candidate, request *Request, now, deadline time.Time) bool {
	margin := soundLinkMargin
	if !k.report.current(now) || c.hasNarrowLink(k) {
		margin = narrowLinkMargin
	}
	if now.Add(c.timeToFirstEvent(k, request, now) + margin).After(deadline) {
		return true
	}
	engine := request.Engine
	if engine.Pieces == 0 || k.report.MissingPieces == 0 || !c.hasNarrowLink(k) {
		return false
	}
	remaining := engine.CopyTime * time.Duration(k.report.MissingPieces) / time.Duration(engine.Pieces)
	return now.Add(remaining + activationOrderTime + soundLinkMargin).After(deadline)
}

// switchCost returns the penalty of a request that would still run when its server is to switch versions:
// while the request delays the switch, the server does nothing else. At the full weight of 2 the last server
// serves the new version 0.4 s sooner than at 0.5, with the same value of the requests served.
func (c *Core) switchCost(k *Candidate, request *Request, now time.Time) time.Duration {
	if request.Engine == nil || !k.report.current(now) || !k.report.SwitchPlanned {
		return 0
	}
	needed := k.model(request).Duration(c.load(k, request, now), request.Prompt, request.Answer)
	return time.Duration(c.policy.SwitchWeight * float64(max(0, needed-k.report.untilSwitch(now))))
}
