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
	// relaysPerZone is how many entries of a zone pass on what is said in it: one for
	// each failure at a time, and one more.
	relaysPerZone = 3
	// gatesPerZone is how many of them speak with those of other zones.
	gatesPerZone = 2
	// feedersPerAgent is how many relays hear each agent and tell it the news.
	feedersPerAgent = 2
)

// Times of links.
const (
	// linkSilence is the silence after which a link is taken for broken, and its other end for
	// gone.
	linkSilence = 1500 * time.Millisecond
	// linkLook is the longest time between two looks at the links, linkLookLeast the shortest:
	// they are looked at when one is to be probed or renewed.
	linkLook      = 60 * time.Millisecond
	linkLookLeast = 10 * time.Millisecond
	// dialTimeout bounds the making of a link. After the first failure, which at the
	// start means that the other does not listen yet, firstDialPause goes by until the
	// next try; it doubles up to dialPause.
	dialTimeout          = 1200 * time.Millisecond
	firstDialPause       = 100 * time.Millisecond
	dialPause            = 700 * time.Millisecond
	maximumDialDoublings = 3
	// mutualPause is how long the one of two entries that both want a link waits for
	// the other to make it.
	mutualPause = 400 * time.Millisecond
)

// peerLink is the link to another process, which either of the two has made; both send
// on it.
type peerLink struct {
	ip      string
	address string
	link    *peering.Link
	// accepted is set when the other process made the link.
	accepted bool
	dialling bool
	nextDial time.Time
	// failures counts the dials in a row that failed.
	failures int
	// probedAt is when the link was last probed.
	probedAt time.Time
	// probedAgain is set when that was the second time in a silence.
	probedAgain bool
	// patience is the silence after which a second link is made, by which it is doubled until
	// patientTill if the first one was only slow.
	patience    time.Duration
	patientTill time.Time
	// replaced is the link that this one has replaced at replacedAt, until it is known
	// whether it was silent; silent is for how long it was.
	replaced   *peering.Link
	replacedAt time.Time
	silent     time.Duration
	// wantedSince is since when this process wants the link; zero if it does not.
	wantedSince time.Time

	// compared is set once the other process's records were compared with the own ones;
	// it is told of changes after sequence.
	compared  bool
	sequence  uint64
	sending   bool
	updatedAt time.Time
	// freshTold is the freshSequence that the other was told.
	freshTold uint64
	// servicesTold is the version of the configuration whose services an agent was told.
	servicesTold uint64
	// listedAt is when the other was last sent the list of entries, listedArrivals how
	// many entries had been new by then; roster identifies the entries that the other has last
	// told to know, 0 until it has told any.
	listedAt       time.Time
	listedArrivals uint64
	roster         uint64

	// nearTold and farTold are up to which status the other was told of agents of the
	// own and of other zones; farToldAt is when. passing is set while it is being told.
	nearTold  uint64
	farTold   uint64
	farToldAt time.Time
	passing   bool
	// farHastened is set when a round of words to its zone was hastened, which was last done at
	// farHastenedAt; untold when nothing has been told on the link.
	farHastened   bool
	farHastenedAt time.Time
	untold        bool
	// healthTold is up to which word on a server's health the other was told;
	// tellingHealth is set while it is being told.
	healthTold    uint64
	tellingHealth bool
	// quarantineTold is up to which word on contents that end servers the other was told;
	// tellingQuarantine is set while it is being told.
	quarantineTold    uint64
	tellingQuarantine bool
	// asksTold and tellingAsks are the same for what servers have asked.
	asksTold    uint64
	tellingAsks bool

	// stamps tells how long the other's messages can have been on their way.
	stamps stamps
}

// open begins anew with a link.
func (p *peerLink) open(link *peering.Link, accepted bool) {
	fresh := peerLink{
		ip: p.ip, address: p.address, wantedSince: p.wantedSince, dialling: p.dialling, link: link, accepted: accepted,
		patience: p.patience, patientTill: p.patientTill, farHastenedAt: p.farHastenedAt,
	}
	if now := time.Now(); now.After(fresh.patientTill) {
		fresh.patience = renewAfter + rand.N(renewSpread)
	}
	// Agents hold nothing of their own: they are told everything at once.
	fresh.compared = link.Remote().Role == RoleAgent
	*p = fresh
}

// open begins anew with a link, and has the other process told all soon. The mutex is held.
func (c *Catalog) open(peer *peerLink, link *peering.Link, accepted bool) {
	peer.open(link, accepted)
	peer.untold = true
	c.kickExchange()
	c.passSoon()
}

func (p *peerLink) isEntry() bool { return p.link != nil && p.link.Remote().Role == RoleEntry }

func (p *peerLink) zone() string { return p.link.Remote().Zone }

// lost reports whether the link has ended.
func (p *peerLink) lost() bool { return !p.link.Up() }

// keepLinks makes the links that are missing and ends those that are not wanted.
func (c *Catalog) keepLinks(ctx context.Context) {
	agents := c.View().Agents()
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pause.look(now)
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
			c.adopt(peer, now)
		}
		if !wanted[ip] {
			peer.wantedSince = time.Time{}
			if peer.link == nil && !peer.dialling {
				delete(c.links, ip)
				continue
			}
		}
		c.keepLink(ctx, peer, wanted[ip], now)
	}
}

// adopt takes over the link that the other entry has made, where the own one is gone. The other
// listens on it, and takes the answers to its probes for signs of life: without words on it
// it would hear of nothing, and not know. The mutex is held.
func (c *Catalog) adopt(peer *peerLink, now time.Time) {
	for _, link := range c.options.Hub.Accepted() {
		remote := link.Remote()
		if remote.ID == peer.ip && remote.Role == RoleEntry && link.Up() && now.Sub(link.LastHeard()) <= linkSilence {
			c.open(peer, link, true)
			return
		}
	}
}

// peerLink returns what is kept of the link to a machine; the mutex is held.
func (c *Catalog) peerLink(ip string) *peerLink {
	peer, known := c.links[ip]
	if !known {
		peer = &peerLink{ip: ip, address: net.JoinHostPort(ip, strconv.Itoa(c.options.InternalPort))}
		c.links[ip] = peer
	}
	return peer
}

// wantedPeers lists whom this entry speaks with: other entries as the overlay says,
// and the agents that it feeds; the mutex is held.
func (c *Catalog) wantedPeers(agents map[string]string) map[string]bool {
	wanted := c.overlay.Peers()
	for ip, zone := range agents {
		if feeds, _ := c.overlay.Feeds(ip, zone); feeds && ip != c.options.Self {
			wanted[ip] = true
		}
	}
	return wanted
}

// keepLink drops a broken link and dials a missing one; the mutex is held. A link that the
// other has made is left to it to end.
func (c *Catalog) keepLink(ctx context.Context, peer *peerLink, wanted bool, now time.Time) {
	if peer.link == nil {
		if wanted && !peer.dialling && !now.Before(peer.nextDial) && !c.waitsForOther(peer, now) {
			peer.dialling = true
			go c.dial(ctx, peer, peer.address)
		}
		return
	}
	broken := c.broken(peer, now)
	if peer.lost() || broken || (!wanted && !peer.accepted) {
		link := peer.link
		peer.link = nil
		if broken {
			c.overlay.Suspect(peer.ip, now)
		}
		go func() { _ = link.Close() }()
		c.kickExchange()
	}
}

// waitsForOther reports whether the link is for the other process to make, at first;
// the mutex is held.
func (c *Catalog) waitsForOther(peer *peerLink, now time.Time) bool {
	return peer.ip < c.options.Self && c.overlay.IsMutualPeer(peer.ip) && now.Sub(peer.wantedSince) < mutualPause
}

func (c *Catalog) dial(ctx context.Context, peer *peerLink, address string) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := c.options.Hub.Link(dialContext, address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer.dialling = false
	if err != nil {
		pause := pauseAfter(peer.failures)
		peer.nextDial = time.Now().Add(pause)
		peer.failures++
		time.AfterFunc(pause, c.kickExchange)
		c.overlay.Suspect(peer.ip, time.Now())
		return
	}
	c.open(peer, link, false)
	if remote := link.Remote(); remote.Role == RoleEntry {
		c.hearEntry(peer.ip, entrySign{Zone: remote.Zone})
	}
}

// linkOpened takes over a link that another entry has made, unless there is one that this entry
// has made and hears. One that the other has made before is replaced.
func (c *Catalog) linkOpened(link *peering.Link) {
	remote := link.Remote()
	if c.options.Role != RoleEntry || remote.Role != RoleEntry || link.Address() != "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hearEntry(remote.ID, entrySign{Zone: remote.Zone})
	peer := c.peerLink(remote.ID)
	if peer.link != nil && !peer.lost() && !peer.accepted && time.Since(peer.link.LastHeard()) <= probeAfter {
		return
	}
	if peer.link != nil && !peer.accepted {
		silent := peer.link
		go func() { _ = silent.Close() }()
	}
	c.open(peer, link, true)
}

// pauseAfter is how long a dial waits after it has failed once more than a number of
// times in a row.
func pauseAfter(failures int) time.Duration {
	return min(firstDialPause<<min(failures, maximumDialDoublings), dialPause)
}
