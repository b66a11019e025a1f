package rollout

// earlyOffers keeps the offers for a version that this agent has not heard of: news and pieces take different
// ways, and pieces that are offered once are not offered again, so that a transfer which begins without these
// offers waits for progressTimeout before it asks for the pieces. Only the newest such version counts. It is not
// safe for concurrent use.
type earlyOffers struct {
	model   string
	version uint64
	offers  []offer
}

// add keeps an offer, unless one for a newer version is kept or there are too many.
func (e *earlyOffers) add(incoming offer) {
	if incoming.Model == e.model && incoming.Version < e.version {
		return
	}
	if incoming.Model != e.model || incoming.Version != e.version {
		*e = earlyOffers{model: incoming.Model, version: incoming.Version}
	}
	if len(e.offers) < maxEarlyOffers {
		e.offers = append(e.offers, incoming)
	}
}

// take removes and returns the offers for a version.
func (e *earlyOffers) take(model string, version uint64) []offer {
	if e.model != model || e.version != version {
		return nil
	}
	offers := e.offers
	*e = earlyOffers{}
	return offers
}
