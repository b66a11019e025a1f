package catalog

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Links that fall silent are probed, and replaced by a second link made beside them, before they
// count as broken.

// Timeouts of silent links.
const (
	// probeAfter is the silence after which a link is probed: slightly more than the time between
	// two updates, or two status reports of an agent.
	probeAfter = 350 * time.Millisecond
	// renewAfter is the silence after which a second link is made beside one whose probe is not
	// answered within probeGrace, a few round trips to another region. Each link adds up to
	// renewJitter, so that links that fall silent together are not renewed together.
	renewAfter  = 420 * time.Millisecond
	renewJitter = 80 * time.Millisecond
	probeGrace  = 50 * time.Millisecond
	// probeTimeout is how long a probe may go unanswered.
	probeTimeout = linkTimeout - probeAfter
	// silenceConfirmation is how long a replaced link may still deliver something until it counts
	// as silent; the hub closes it soon after that.
	silenceConfirmation = 900 * time.Millisecond
	// suspectWindow is the time within which two links must be found silent for the store's
	// connections to be suspected, and the minimum time between two suspicions. A silence is found
	// on all links within renewJitter plus the time between two updates.
	suspectWindow = 500 * time.Millisecond
	// renewDelayTTL is how long a link that was slow, not silent, keeps its longer renewDelay.
	renewDelayTTL = 30 * time.Second
)

// isBroken reports whether a link has been silent for linkTimeout and a probe was not answered,
// while the process had time to read an answer. A working link to another entry that sends on a
// link of its own carries only answers to probes: without a probe, processes that had a third of
// their CPU time dropped such links and suspected the other entry. The mutex must be held.
func (c *Catalog) isBroken(peer *peerLink, now time.Time) bool {
	if now.Sub(peer.link.LastReceived()) <= linkTimeout {
		return false
	}
	peer.probe(now, c.pauses.resumedAt)
	return now.Sub(peer.answerableSince(&c.pauses)) >= resumeGrace
}

// probe requests a sign of life once per silence, and once more after a pause of the process, in
// which the time for the answer may have run out.
func (p *peerLink) probe(now, resumed time.Time) {
	again := false
	if !p.probedAt.Before(p.link.LastReceived()) {
		if again = !p.reprobed && p.probedAt.Before(resumed); !again {
			return
		}
	}
	p.probedAt, p.reprobed = now, again
	go p.link.Probe(probeTimeout)
}

// answerableSince returns since when the answer to the probe could be read. Stalls of the process
// move it, up to the end of probeTimeout: otherwise a process that stalls repeatedly never finds
// that a link is dead.
func (p *peerLink) answerableSince(pauses *pauseDetector) time.Time {
	start, last := pauses.probeStart(p.probedAt), p.probedAt.Add(probeTimeout)
	if start.After(last) {
		return last
	}
	return start
}

// checkLinks checks links that have been silent for a short time. If two entries have each made a
// link to the other at the same time, one link is silent and works, which a probe shows. A link
// that does not answer the probe may be silent for good or slow, or its peer may be paused: the
// process that made the link makes another one beside it, and switches to that when it is up.
// Nobody is suspected in the meantime: a shorter linkTimeout would find silences as soon, but break
// more links under packet loss. It returns the time until the next check.
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

// checkLink probes or renews a link if that is due, and returns the time until the next check is
// due. The mutex must be held.
func (c *Catalog) checkLink(ctx context.Context, peer *peerLink, now time.Time) time.Duration {
	silent := now.Sub(peer.link.LastReceived())
	if silent <= probeAfter {
		return probeAfter - silent
	}
	peer.probe(now, c.pauses.resumedAt)
	if peer.accepted || peer.dialling {
		return linkCheckInterval
	}
	probeRemaining := probeGrace - now.Sub(peer.answerableSince(&c.pauses))
	if remaining := max(peer.renewDelay-silent, probeRemaining, c.pauses.graceRemaining(now)); remaining > 0 {
		return remaining
	}
	peer.dialling = true
	go c.renewLink(ctx, peer, peer.link)
	return linkCheckInterval
}

// renewLink makes a second link beside a silent one.
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
		// Either the link was only slow (peering.ErrLinkAlive), or linkTimeout shows whether the
		// peer has stopped.
		c.options.Log.Log(logging.LinkKept, zap.String("peer", peer.ip), zap.Error(err))
		peer.extendRenewDelay(now)
		return
	}
	c.openLink(peer, link, false)
	lastReceived := silent.LastReceived()
	if lastReceived.After(began) {
		peer.extendRenewDelay(now)
		return
	}
	peer.replaced, peer.replacedAt, peer.silentFor = silent, now, now.Sub(lastReceived)
	c.suspectStore(peer, now)
}

// suspectStore notifies the store's client when links to several processes are silent: the same
// fault may have struck the watch, and the client alone detects that only after the wait and
// several typical response times. The mutex must be held.
func (c *Catalog) suspectStore(latest *peerLink, now time.Time) {
	listener, listens := c.options.Store.(fleet.SilenceListener)
	if !listens || now.Sub(c.storeSuspectedAt) < suspectWindow {
		return
	}
	for _, peer := range c.links {
		if peer != latest && peer.replaced != nil && now.Sub(peer.replacedAt) < suspectWindow {
			c.storeSuspectedAt = now
			listener.SuspectSilence()
			return
		}
	}
}

// extendRenewDelay gives a link more time before it is renewed.
func (p *peerLink) extendRenewDelay(now time.Time) {
	p.renewDelay, p.renewDelayUntil = min(2*p.renewDelay, linkTimeout), now.Add(renewDelayTTL)
}

// checkReplaced decides whether a replaced link had gone silent: if it delivers something before it
// is closed, it was only slow. The mutex must be held.
func (c *Catalog) checkReplaced(peer *peerLink, now time.Time) {
	if peer.replaced == nil {
		return
	}
	if peer.replaced.LastReceived().After(peer.replacedAt) {
		peer.replaced = nil
		peer.extendRenewDelay(now)
		return
	}
	if now.Sub(peer.replacedAt) >= silenceConfirmation && c.pauses.graceRemaining(now) <= 0 {
		peer.replaced = nil
		c.options.OnSilent(peer.ip, peer.silentFor)
	}
}
