package catalog

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/logging"
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
	// probeAfter is the silence after which a link is probed: somewhat more than the time
	// between two updates, or two words of an agent.
	probeAfter = 350 * time.Millisecond
	// renewAfter is the silence after which a second link is made beside one whose probe is not
	// answered within probeGrace, a few times the way to another region and back. Each link
	// adds up to renewSpread, so that links which fall silent together are not made together.
	renewAfter  = 420 * time.Millisecond
	renewSpread = 80 * time.Millisecond
	probeGrace  = 50 * time.Millisecond
	// probeTime is how long a probe may be answered.
	probeTime = linkSilence - probeAfter
	// judgeAfter is how long a replaced link may still bring something until it is counted as
	// silent; the hub closes it soon after that.
	judgeAfter = 900 * time.Millisecond
	// linkLook is the longest time between two looks at the links, linkLookLeast the shortest:
	// they are looked at when one is to be probed or renewed.
	linkLook      = 60 * time.Millisecond
	linkLookLeast = 10 * time.Millisecond
	// pauseLeast is the time between two looks at the links, which are due each linkLook, after
	// which the process itself stood still; resumeTime is what readers are given then to read
	// what has come meanwhile.
	pauseLeast = 300 * time.Millisecond
	resumeTime = 200 * time.Millisecond
	// stallLeast is the time between two looks after which the process was short of time: twice
	// linkLook. Probes then have the time for an answer anew.
	stallLeast = 2 * linkLook
	// doubtMemory is how long a link that was slow, not silent, is given more time.
	doubtMemory = 30 * time.Second
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

// pause notices when the process itself stood still, so that links are not judged by what their
// readers have not read yet: without it all links are dropped after a pause of linkSilence, and
// their other ends suspected (TestLinksOutlastAPauseOfTheProcess).
type pause struct {
	// looked is when the links were last looked at, resumed when the last pause ended, stalled
	// when the last shorter one did.
	looked  time.Time
	resumed time.Time
	stalled time.Time
}

// look notes that the links are looked at.
func (p *pause) look(now time.Time) {
	if gap := now.Sub(p.looked); !p.looked.IsZero() {
		if gap > stallLeast {
			p.stalled = now
		}
		if gap > pauseLeast {
			p.resumed = now
		}
	}
	p.looked = now
}

// resuming is for how long readers may still read what came during a pause.
func (p *pause) resuming(now time.Time) time.Duration { return resumeTime - now.Sub(p.resumed) }

// grantedSince is since when the answer to a probe could be read: later than it was sent if the
// process was short of time meanwhile.
func (p *pause) grantedSince(probedAt time.Time) time.Time {
	if p.stalled.After(probedAt) {
		return p.stalled
	}
	return probedAt
}

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

// broken reports whether a link has been silent for linkSilence and a probe was not answered, while
// the process had time to read an answer. A sound link to another entry that sends on a link of
// its own brings answers to probes only: without asking for one, processes that got a third of
// their time dropped such links, and suspected the other entry. The mutex is held.
func (c *Catalog) broken(peer *peerLink, now time.Time) bool {
	if now.Sub(peer.link.LastHeard()) <= linkSilence {
		return false
	}
	peer.probe(now, c.pause.resumed)
	return now.Sub(peer.answerable(&c.pause)) >= resumeTime
}

// probe asks for a sign of life, once in a silence, and once more after a pause of the process, in
// which the time for the answer may have run out.
func (p *peerLink) probe(now, resumed time.Time) {
	again := false
	if !p.probedAt.Before(p.link.LastHeard()) {
		if again = !p.probedAgain && p.probedAt.Before(resumed); !again {
			return
		}
	}
	p.probedAt, p.probedAgain = now, again
	go p.link.Probe(probeTime)
}

// answerable is since when the answer to the probe could be read. Stalls of the process move it up
// to the end of probeTime: otherwise a process whose stalls go on never finds that a link is dead.
func (p *peerLink) answerable(pause *pause) time.Time {
	granted, last := pause.grantedSince(p.probedAt), p.probedAt.Add(probeTime)
	if granted.After(last) {
		return last
	}
	return granted
}

// checkLinks looks after links that have been silent for a short time. Of a link that two entries
// have made at the same time one is silent and sound, which a probe shows. One that does not
// answer the probe may be silent for good, or slow, or its other end may stand still: the process
// that made it makes another one beside it, and goes over to that when it is up. Nobody is
// suspected meanwhile. A configuration changed at the beginning of a silence of all connections is
// in force after 0.7 to 1.0 s by it, instead of 1.3 s; a linkSilence of 0.6 s, which would do the
// same, broke half as many links again where packets are lost.
// It returns the time until the next look.
func (c *Catalog) checkLinks(ctx context.Context) time.Duration {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pause.look(now)
	next := linkLook
	for _, peer := range c.links {
		if peer.link != nil {
			c.judgeReplaced(peer, now)
			next = min(next, c.checkLink(ctx, peer, now))
		}
	}
	return max(next, linkLookLeast)
}

// checkLink probes or renews a link if that is due, and returns the time until something is. The
// mutex is held.
func (c *Catalog) checkLink(ctx context.Context, peer *peerLink, now time.Time) time.Duration {
	silent := now.Sub(peer.link.LastHeard())
	if silent <= probeAfter {
		return probeAfter - silent
	}
	peer.probe(now, c.pause.resumed)
	if peer.accepted || peer.dialling {
		return linkLook
	}
	answerTime := probeGrace - now.Sub(peer.answerable(&c.pause))
	if early := max(peer.patience-silent, answerTime, c.pause.resuming(now)); early > 0 {
		return early
	}
	peer.dialling = true
	go c.renew(ctx, peer, peer.link)
	return linkLook
}

// renew makes a link beside one that is silent.
func (c *Catalog) renew(ctx context.Context, peer *peerLink, silent *peering.Link) {
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
		peer.doubt(now)
		return
	}
	c.open(peer, link, false)
	heard := silent.LastHeard()
	if heard.After(began) {
		peer.doubt(now)
		return
	}
	peer.replaced, peer.replacedAt, peer.silent = silent, now, now.Sub(heard)
}

// doubt gives a link more time before it is made anew.
func (p *peerLink) doubt(now time.Time) {
	p.patience, p.patientTill = min(2*p.patience, linkSilence), now.Add(doubtMemory)
}

// judgeReplaced tells whether a link that was replaced had gone silent: until it is closed it
// may still bring something, and then it was only slow. The mutex is held.
func (c *Catalog) judgeReplaced(peer *peerLink, now time.Time) {
	if peer.replaced == nil {
		return
	}
	if peer.replaced.LastHeard().After(peer.replacedAt) {
		peer.replaced = nil
		peer.doubt(now)
		return
	}
	if now.Sub(peer.replacedAt) >= judgeAfter && c.pause.resuming(now) <= 0 {
		peer.replaced = nil
		c.options.OnSilent(peer.ip, peer.silent)
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

// hearEntry notes a sign of an entry; the mutex is held.
func (c *Catalog) hearEntry(ip string, sign entrySign) {
	now := time.Now()
	if c.overlay.Hear(ip, sign.at(now), now) {
		c.kickExchange()
	}
}

// Entries lists the other entries heard of lately.
func (c *Catalog) Entries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.overlay.IDs()
}

// ZoneEntries lists the other entries of the own zone that were heard of lately.
func (c *Catalog) ZoneEntries() []string {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ids []string
	for id, sign := range c.overlay.Members() {
		if sign.Zone == c.options.Zone && now.Sub(sign.Heard) < entryRecent {
			ids = append(ids, id)
		}
	}
	return ids
}

// Peers returns how many other entries were heard of lately.
func (c *Catalog) Peers() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.overlay.Count()
}
