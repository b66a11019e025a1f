package catalog

import (
	"context"
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
	// linkSilence is the silence after which a link is taken for broken.
	linkSilence = 1500 * time.Millisecond
	// probeAfter is the silence after which a link is probed: early enough for an
	// answer over a slow link to come within linkSilence.
	probeAfter = linkSilence / 2
	// entryRecent is the age of its last sign up to which an entry counts as alive that
	// has not failed to answer this one: lists of entries bring signs of up to two list
	// periods and a link's silence.
	entryRecent = 4 * time.Second
	// entryMemory is how long an entry that nobody hears is remembered.
	entryMemory = 12 * time.Second
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
	// many entries had been new by then.
	listedAt       time.Time
	listedArrivals uint64

	// nearTold and farTold are up to which status the other was told of agents of the
	// own and of other zones; farToldAt is when. passing is set while it is being told.
	nearTold  uint64
	farTold   uint64
	farToldAt time.Time
	passing   bool
}

// open begins anew with a link.
func (p *peerLink) open(link *peering.Link, accepted bool) {
	fresh := peerLink{ip: p.ip, address: p.address, wantedSince: p.wantedSince, dialling: p.dialling, link: link, accepted: accepted}
	// Agents hold nothing of their own: they are told everything at once.
	fresh.compared = link.Remote().Role == RoleAgent
	*p = fresh
}

func (p *peerLink) isEntry() bool { return p.link != nil && p.link.Remote().Role == RoleEntry }

func (p *peerLink) zone() string { return p.link.Remote().Zone }

// lost reports whether the link has ended.
func (p *peerLink) lost() bool {
	select {
	case <-p.link.Done():
		return true
	default:
		return false
	}
}

// keepLinks makes the links that are missing and ends those that are not wanted.
func (c *Catalog) keepLinks(ctx context.Context) {
	agents := c.View().Agents()
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.overlay.Advance(now)
	wanted := c.wantedPeers(agents)
	for ip := range wanted {
		peer := c.peerLink(ip)
		if peer.wantedSince.IsZero() {
			peer.wantedSince = now
		}
	}
	for ip, peer := range c.links {
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

// keepLink drops a silent link and dials a missing one; the mutex is held. Of a link
// that two entries have made at the same time one is silent and sound: it is probed
// before it is taken for broken. A link that the other has made is left to it to end.
func (c *Catalog) keepLink(ctx context.Context, peer *peerLink, wanted bool, now time.Time) {
	if peer.link == nil {
		if wanted && !peer.dialling && !now.Before(peer.nextDial) && !c.waitsForOther(peer, now) {
			peer.dialling = true
			go c.dial(ctx, peer, peer.address)
		}
		return
	}
	silent := now.Sub(peer.link.LastHeard())
	broken := silent > linkSilence
	if peer.lost() || broken || (!wanted && !peer.accepted) {
		link := peer.link
		peer.link = nil
		if broken {
			c.overlay.Suspect(peer.ip, now)
		}
		go func() { _ = link.Close() }()
		c.kickExchange()
		return
	}
	if silent > probeAfter {
		go peer.link.Probe(linkSilence - probeAfter)
	}
}

// waitsForOther reports whether the link is for the other process to make, at first;
// the mutex is held.
func (c *Catalog) waitsForOther(peer *peerLink, now time.Time) bool {
	return peer.ip < c.options.Self && c.overlay.Mutual(peer.ip) && now.Sub(peer.wantedSince) < mutualPause
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
	peer.open(link, false)
	if remote := link.Remote(); remote.Role == RoleEntry {
		c.hearEntry(peer.ip, remote.Zone, 0)
	}
	c.kickExchange()
}

// linkOpened takes over a link that another entry has made, unless there is one.
func (c *Catalog) linkOpened(link *peering.Link) {
	remote := link.Remote()
	if c.options.Role != RoleEntry || remote.Role != RoleEntry || link.Address() != "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hearEntry(remote.ID, remote.Zone, 0)
	peer := c.peerLink(remote.ID)
	if peer.link != nil && !peer.lost() {
		return
	}
	peer.open(link, true)
	c.kickExchange()
}

// pauseAfter is how long a dial waits after it has failed once more than a number of
// times in a row.
func pauseAfter(failures int) time.Duration {
	return min(firstDialPause<<min(failures, maximumDialDoublings), dialPause)
}

// hearEntry notes a sign of an entry of an age; the mutex is held.
func (c *Catalog) hearEntry(ip, zone string, age time.Duration) {
	now := time.Now()
	if c.overlay.Hear(ip, zone, now.Add(-age), now) {
		c.kickExchange()
	}
}

// Entries lists the other entries heard of lately.
func (c *Catalog) Entries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.overlay.IDs()
}

// Peers returns how many other entries were heard of lately.
func (c *Catalog) Peers() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.overlay.Count()
}
