package forward

import (
	"time"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
)

// boundOf returns until when a server with a version may begin requests; false when
// no newer version is named.
func (n need) boundOf(version uint64) (time.Time, bool) {
	notice, lacking := catalog.FirstAfter(n.notices, version)
	return notice.Since.Add(n.versionApply), lacking
}

// Margins between the expected beginning of a request at a server with an older
// version and the time from which it must not begin there: over a sound link, and over
// one that is narrow or of which nothing is known.
const (
	soundLinkMargin  = time.Second
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
// or its pieces come much later than others'. The mutex is held.
func (t *targets) narrow(k *target) bool {
	least, known := t.leastMissing[k.status.Wanted]
	return k.linkTime() >= narrowLink || (known && k.status.Missing-least >= laggingPieces)
}

// findLeastMissing looks how far the best prepared machines are; the mutex is held.
func (t *targets) findLeastMissing(now time.Time) {
	t.leastMissing = map[uint64]int{}
	for _, told := range t.statuses {
		if !told.status.Reachable || now.Sub(told.at) >= statusCurrent {
			continue
		}
		least, known := t.leastMissing[told.status.Wanted]
		if !known || told.status.Missing < least {
			t.leastMissing[told.status.Wanted] = told.status.Missing
		}
	}
}

// beyondBound reports whether a server with an older version might begin the
// request after that version's bound. Requests queue up on a narrow link: a server
// on one whose pieces can't come in time any more gets nothing at all. Where the
// link is sound the origin is what is slow, and the server serves on meanwhile.
func (t *targets) beyondBound(k *target, wanted need, now, bound time.Time) bool {
	margin := soundLinkMargin
	if !k.current(now) || t.narrow(k) {
		margin = narrowLinkMargin
	}
	if now.Add(k.firstEvent(wanted, now) + margin).After(bound) {
		return true
	}
	if wanted.engine.Pieces == 0 || k.status.Missing == 0 || !t.narrow(k) {
		return false
	}
	left := t.copyTime(wanted.engine) * time.Duration(k.status.Missing) / time.Duration(wanted.engine.Pieces)
	return now.Add(left + orderTime + soundLinkMargin).After(bound)
}

// copyTime is how long one copy of a model takes over a link like the origin's.
func (t *targets) copyTime(engine *fleet.Engine) time.Duration {
	return engine.CopyTime(t.view.Configuration.OriginRate())
}
