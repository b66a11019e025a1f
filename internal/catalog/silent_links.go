package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Links that fall silent are probed, and replaced by a second one that is made beside them, before they
// are taken for broken.

// Times of links that are silent.
const (
	// probeAfter is the silence after which a link is probed: somewhat more than the time
	// between two updates, or two words of an agent.
	probeAfter = 350 * time.Millisecond
	// renewAfter is the silence after which a second link is made beside one whose probe is not
	// answered within probeGrace, a few times the way to another region and back. Each link
	// adds up to renewSpread, so that links which fall silent together are not made together.
	renewAfter  = 420 * time.Millisecond
	renewJitter = 80 * time.Millisecond
	probeGrace  = 50 * time.Millisecond
	// probeTimeout is how long a probe may be answered.
	probeTimeout = linkTimeout - probeAfter
	// silenceConfirmation is how long a replaced link may still bring something until it is counted as
	// silent; the hub closes it soon after that.
	silenceConfirmation = 900 * time.Millisecond
	// suspectWindow is within which two links must have been found silent for the store's connections to
	// be suspected, and the least time between two suspicions. A silence is found on all links within
	// renewSpread and the time between two updates.
	suspectWindow = 500 * time.Millisecond
	// renewDelayTTL is how long a link that was slow, not silent, is given more time.
	renewDelayTTL = 30 * time.Second
)

// isBroken reports whether a link has been silent for linkSilence and a probe was not answered, while
// the process had time to read an answer. A sound link to another entry that sends on a link of
// its own brings answers to probes only: without asking for one, processes that got a third of
// their time dropped such links, and suspected the other entry. The mutex is held.
func (c *Catalog) isBroken(peer *peerLink, now time.Time) bool {
	if now.Sub(peer.link.LastHeard()) <= linkTimeout {
		return false
	}
	peer.probe(now, c.pauses.resumedAt)
	return now.Sub(peer.answerableSince(&c.pauses)) >= resumeGrace
}

// probe asks for a sign of life, once in a silence, and once more after a pause of the process, in
// which the time for the answer may have run out.
func (p *peerLink) probe(now, resumed time.Time) {
	again := false
	if !p.probedAt.Before(p.link.LastHeard()) {
		if again = !p.reprobed && p.probedAt.Before(resumed); !again {
			return
		}
	}
	p.probedAt, p.reprobed = now, again
	go p.link.Probe(probeTimeout)
}

// answerableSince is since when the answer to the probe could be read. Stalls of the process move it up
// to the end of probeTime: otherwise a process whose stalls go on never finds that a link is dead.
func (p *peerLink) answerableSince(pause *pauseDetector) time.Time {
	granted, last := pause.probeStart(p.probedAt), p.probedAt.Add(probeTimeout)
	if granted.After(last) {
		return last
	}
	return granted
}

// checkLinks looks after links that have been silent for a short time. Of a link that two entries
// have made at the same time one is silent and sound, which a probe shows. One that does not
// answer the probe may be silent for good, or slow, or its other end may stand still: the process
// that made it makes another one beside it, and goes over to that when it is up. Nobody is
// suspected meanwhile: a shorter linkSilence would find silences as soon, and break more links where
// packets are lost. It returns the time until the next look.
func (c *Catalog) checkLinks(ctx context.Context) time.Duration {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pauses.recordCheck(now)
	next := linkCheckInterval
	for _, peer := range c.links {
		if peer.link != nil {
			c.checkReplaced(peer, now)
			next = min(next, c.checkLink(ctx, peer, now))
		}
	}
	return max(next, minLinkCheckInterval)
}

// checkLink probes or renews a link if that is due, and returns the time until something is. The
// mutex is held.
func (c *Catalog) checkLink(ctx context.Context, peer *peerLink, now time.Time) time.Duration {
	silent := now.Sub(peer.link.LastHeard())
	if silent <= probeAfter {
		return probeAfter - silent
	}
	peer.probe(now, c.pauses.resumedAt)
	if peer.accepted || peer.dialling {
		return linkCheckInterval
	}
	answerTime := probeGrace - now.Sub(peer.answerableSince(&c.pauses))
	if early := max(peer.renewDelay-silent, answerTime, c.pauses.graceLeft(now)); early > 0 {
		return early
	}
	peer.dialling = true
	go c.renewLink(ctx, peer, peer.link)
	return linkCheckInterval
}

// renewLink makes a link beside one that is silent.
func (c *Catalog) renewLink(ctx context.Context, peer *peerLink, silent *peering.Link) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := time.Now()
	link, err := c.options.Hub.Renew(dialContext, silent)
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer.dialling = false
	if err != nil {
		// The link was only slow (peering.ErrHeard), or whether the other process is gone shows at
		// linkSilence.
		c.options.Log.Log(logging.LinkKept, zap.String("peer", peer.ip), zap.Error(err))
		peer.extendRenewDelay(now)
		return
	}
	c.openLink(peer, link, false)
	heard := silent.LastHeard()
	if heard.After(began) {
		peer.extendRenewDelay(now)
		return
	}
	peer.replaced, peer.replacedAt, peer.silentFor = silent, now, now.Sub(heard)
	c.suspectStore(peer, now)
}

// suspectStore tells the store's client of silent links to several processes: what struck them may have struck
// the watch too, which by itself finds that out only after its wait and several times the usual time of an
// answer. The mutex is held.
func (c *Catalog) suspectStore(latest *peerLink, now time.Time) {
	hearer, hears := c.options.Store.(fleet.SilenceHearer)
	if !hears || now.Sub(c.storeSuspectedAt) < suspectWindow {
		return
	}
	for _, peer := range c.links {
		if peer != latest && peer.replaced != nil && now.Sub(peer.replacedAt) < suspectWindow {
			c.storeSuspectedAt = now
			hearer.SuspectSilence()
			return
		}
	}
}

// extendRenewDelay gives a link more time before it is made anew.
func (p *peerLink) extendRenewDelay(now time.Time) {
	p.renewDelay, p.renewDelayUntil = min(2*p.renewDelay, linkTimeout), now.Add(renewDelayTTL)
}

// checkReplaced tells whether a link that was replaced had gone silent: until it is closed it
// may still bring something, and then it was only slow. The mutex is held.
func (c *Catalog) checkReplaced(peer *peerLink, now time.Time) {
	if peer.replaced == nil {
		return
	}
	if peer.replaced.LastHeard().After(peer.replacedAt) {
		peer.replaced = nil
		peer.extendRenewDelay(now)
		return
	}
	if now.Sub(peer.replacedAt) >= silenceConfirmation && c.pauses.graceLeft(now) <= 0 {
		peer.replaced = nil
		c.options.OnSilent(peer.ip, peer.silentFor)
	}
}
