package catalog

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"pinevane.example/pinevane/internal/peering"
)

// Shape of the overlay of entries (docs/design/exchange.md).
const (
	// relaysPerZone is how many entries of a zone forward its messages: enough for one failure at a
	// time, and one more.
	relaysPerZone = 3
	// gatewaysPerZone is how many relays of each zone are gateways, which link to the gateways of
	// other zones.
	gatewaysPerZone = 2
	// feedersPerAgent is how many relays receive each agent's reports and send it updates.
	feedersPerAgent = 2
)

// Timeouts and intervals of links.
const (
	// linkTimeout is the silence after which a link counts as broken and its peer as stopped.
	linkTimeout = 1500 * time.Millisecond
	// linkCheckInterval is the maximum time between two checks of the links, minLinkCheckInterval
	// the minimum: they are checked when one is due a probe or a renewal.
	linkCheckInterval    = 60 * time.Millisecond
	minLinkCheckInterval = 10 * time.Millisecond
	// dialTimeout bounds a dial. The delay after the first failure, which at startup means that the
	// peer does not listen yet, is minDialBackoff; it doubles up to maxDialBackoff.
	dialTimeout      = 1200 * time.Millisecond
	minDialBackoff   = 100 * time.Millisecond
	maxDialBackoff   = 700 * time.Millisecond
	maxDialDoublings = 3
	// mutualDialDelay is how long one of two entries that both want a link waits for the other to
	// make it.
	mutualDialDelay = 400 * time.Millisecond
)

// peerLink is the state of the link to another process. Either process may have made the link; both
// send on it.
type peerLink struct {
	ip      string
	address string
	link    *peering.Link
	// accepted is set if the peer made the link.
	accepted bool
	dialling bool
	nextDial time.Time
	// failures counts consecutive failed dials.
	failures int
	// probedAt is when the link was last probed.
	probedAt time.Time
	// reprobed is set if that was the second probe of one silence.
	reprobed bool
	// renewDelay is the silence after which a second link is made. If the first link was only slow,
	// it is doubled until renewDelayUntil.
	renewDelay      time.Duration
	renewDelayUntil time.Time
	// replaced is the link that this one replaced at replacedAt, until it is known whether it was
	// silent; silentFor is the silence that it had.
	replaced   *peering.Link
	replacedAt time.Time
	silentFor  time.Duration
	// wantedSince is since when this process wants the link, zero if it does not.
	wantedSince time.Time

	// compared is set once the peer's records were compared with those of this process; the peer is
	// sent changes after sentSequence.
	compared     bool
	sentSequence uint64
	// recheck is set after the store was restored, until the peer's records are the same or were sent
	// once more; mismatches counts the updates since in which they differed.
	recheck    bool
	mismatches int
	sending    bool
	updatedAt  time.Time
	// freshSent is the freshSequence that the peer was sent.
	freshSent uint64
	// servicesSent is the version of the configuration whose services an agent was sent.
	servicesSent uint64
	// listedAt is when the peer was last sent the list of entries, listedArrivals how many entries
	// had arrived by then. rosterDigest identifies the entries that the peer last reported to know,
	// 0 before that.
	listedAt       time.Time
	listedArrivals uint64
	rosterDigest   uint64

	// localSent and remoteSent are the sequences up to which the peer was sent status reports of
	// agents of the local zone and of other zones; remoteSentAt is when. sendingStatuses is set while
	// a batch is being sent.
	localSent       uint64
	remoteSent      uint64
	remoteSentAt    time.Time
	sendingStatuses bool
	// remoteExpedited is set when a round of reports to the peer's zone is expedited, which last
	// happened at remoteExpeditedAt. unused is set until a batch was due on the link.
	remoteExpedited   bool
	remoteExpeditedAt time.Time
	unused            bool
	// healthSent is the sequence up to which the peer was sent health reports; sendingHealth is set
	// while some are being sent.
	healthSent    uint64
	sendingHealth bool
	// quarantineSent is the sequence up to which the peer was sent quarantine reports;
	// sendingQuarantine is set while some are being sent.
	quarantineSent    uint64
	sendingQuarantine bool
	// noticesSent and sendingNotices are the same for server notices.
	noticesSent    uint64
	sendingNotices bool
	// accountsSent and sendingAccounts are the same for accounts of retries.
	accountsSent    uint64
	sendingAccounts bool

	// stamps bounds the transit time of the peer's messages.
	stamps peerStamps
}

// open resets the state for a new link.
func (p *peerLink) open(link *peering.Link, accepted bool) {
	fresh := peerLink{
		ip: p.ip, address: p.address, wantedSince: p.wantedSince, dialling: p.dialling, link: link, accepted: accepted,
		renewDelay: p.renewDelay, renewDelayUntil: p.renewDelayUntil, remoteExpeditedAt: p.remoteExpeditedAt,
	}
	if now := time.Now(); now.After(fresh.renewDelayUntil) {
		fresh.renewDelay = renewAfter + rand.N(renewJitter)
	}
	// Agents hold no records of their own: they are sent everything at once.
	fresh.compared = link.Remote().Role == RoleAgent
	*p = fresh
}

// openLink resets the state for a new link, and has the peer sent everything soon. The mutex must
// be held.
func (c *Catalog) openLink(peer *peerLink, link *peering.Link, accepted bool) {
	peer.open(link, accepted)
	peer.unused = true
	c.wakeExchange()
	c.scheduleFlush()
}

func (p *peerLink) isEntry() bool { return p.link != nil && p.link.Remote().Role == RoleEntry }

func (p *peerLink) zone() string { return p.link.Remote().Zone }

// lost reports whether the link has ended.
func (p *peerLink) lost() bool { return !p.link.Up() }

// maintainLinks makes missing links and closes unwanted ones.
func (c *Catalog) maintainLinks(ctx context.Context) {
	agents := c.View().Agents()
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pauses.recordCheck(now)
	c.overlay.Advance(now)
	wanted := c.wantedPeers(agents)
	for ip := range wanted {
		peer := c.peerLink(ip)
		if peer.wantedSince.IsZero() {
			peer.wantedSince = now
		}
	}
	for ip, peer := range c.links {
		if peer.link == nil {
			c.adoptAccepted(peer, now)
		}
		if !wanted[ip] {
			peer.wantedSince = time.Time{}
			if peer.link == nil && !peer.dialling {
				delete(c.links, ip)
				continue
			}
		}
		c.maintainLink(ctx, peer, wanted[ip], now)
	}
}

// adoptAccepted uses the link that the other entry made, when this process has lost its own. The
// other entry listens on it and takes the answers to its probes as evidence that it works: if
// nothing were sent on it, the other entry would receive no updates without noticing. The mutex must
// be held.
func (c *Catalog) adoptAccepted(peer *peerLink, now time.Time) {
	for _, link := range c.options.Hub.Accepted() {
		remote := link.Remote()
		if remote.ID == peer.ip && remote.Role == RoleEntry && link.Up() && now.Sub(link.LastReceived()) <= linkTimeout {
			c.openLink(peer, link, true)
			return
		}
	}
}

// peerLink returns the state of the link to a machine. The mutex must be held.
func (c *Catalog) peerLink(ip string) *peerLink {
	peer, known := c.links[ip]
	if !known {
		peer = &peerLink{ip: ip, address: net.JoinHostPort(ip, strconv.Itoa(c.options.InternalPort))}
		c.links[ip] = peer
	}
	return peer
}

// wantedPeers returns the processes to link to: other entries as the overlay decides, and the
// agents that this entry feeds. The mutex must be held.
func (c *Catalog) wantedPeers(agents map[string]string) map[string]bool {
	wanted := c.overlay.Peers()
	for ip, zone := range agents {
		if feeds, _ := c.overlay.Feeds(ip, zone); feeds && ip != c.options.Self {
			wanted[ip] = true
		}
	}
	return wanted
}

// maintainLink drops a broken link and dials a missing one. A link that the peer made is left to
// the peer to close. The mutex must be held.
func (c *Catalog) maintainLink(ctx context.Context, peer *peerLink, wanted bool, now time.Time) {
	if peer.link == nil {
		if wanted && !peer.dialling && !now.Before(peer.nextDial) && !c.waitsForPeer(peer, now) {
			peer.dialling = true
			go c.dial(ctx, peer, peer.address)
		}
		return
	}
	broken := c.isBroken(peer, now)
	if peer.lost() || broken || (!wanted && !peer.accepted) {
		link := peer.link
		peer.link = nil
		if broken {
			c.overlay.Suspect(peer.ip, now)
		}
		go func() { _ = link.Close() }()
		c.wakeExchange()
	}
}

// waitsForPeer reports whether the link is still left to the peer to make. The mutex must be held.
func (c *Catalog) waitsForPeer(peer *peerLink, now time.Time) bool {
	return peer.ip < c.options.Self && c.overlay.IsMutualPeer(peer.ip) && now.Sub(peer.wantedSince) < mutualDialDelay
}

func (c *Catalog) dial(ctx context.Context, peer *peerLink, address string) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := c.options.Hub.Link(dialContext, address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer.dialling = false
	if err != nil {
		backoff := dialBackoff(peer.failures)
		peer.nextDial = time.Now().Add(backoff)
		peer.failures++
		time.AfterFunc(backoff, c.wakeExchange)
		c.overlay.Suspect(peer.ip, time.Now())
		return
	}
	c.openLink(peer, link, false)
	if remote := link.Remote(); remote.Role == RoleEntry {
		c.recordEntry(peer.ip, entryHeartbeat{Zone: remote.Zone})
	}
}

// linkOpened uses a link that another entry made, unless there is a working one that this entry
// made. An earlier link made by the peer is replaced.
func (c *Catalog) linkOpened(link *peering.Link) {
	remote := link.Remote()
	if c.options.Role != RoleEntry || remote.Role != RoleEntry || link.Address() != "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordEntry(remote.ID, entryHeartbeat{Zone: remote.Zone})
	peer := c.peerLink(remote.ID)
	if peer.link != nil && !peer.lost() && !peer.accepted && time.Since(peer.link.LastReceived()) <= probeAfter {
		return
	}
	if peer.link != nil && !peer.accepted {
		silent := peer.link
		go func() { _ = silent.Close() }()
	}
	c.openLink(peer, link, true)
}

// dialBackoff returns the delay after a failed dial that follows a number of consecutive failures.
func dialBackoff(failures int) time.Duration {
	return min(minDialBackoff<<min(failures, maxDialDoublings), maxDialBackoff)
}
