package catalog

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Topics between processes.
const (
	topicUpdate = "catalog.update"
	topicPull   = "catalog.pull"
)

// Times of the exchange.
const (
	// updatePeriod is the pace of signs of life; changes are sent at once.
	updatePeriod = 300 * time.Millisecond
	// linkSilence is the silence after which a link is taken for broken.
	linkSilence = 1500 * time.Millisecond
	// entryMemory is how long an entry that nobody hears is remembered.
	entryMemory = 12 * time.Second
	// listPeriod is how often the list of entries is sent on a link, and farRecent
	// the age up to which an entry of another zone, of which only the list tells,
	// counts as alive.
	listPeriod = 900 * time.Millisecond
	farRecent  = 4 * time.Second
	// gatesPerZone is how many entries of a zone speak with those of others.
	gatesPerZone = 2
	// dialTimeout and dialPause bound the making of links.
	dialTimeout = 1200 * time.Millisecond
	dialPause   = 700 * time.Millisecond
	// pullAfter is how long the store is given to bring what a peer already has.
	pullAfter = 250 * time.Millisecond
	// feedersPerAgent is how many entries tell each agent the news.
	feedersPerAgent = 2
)

// update is the news of one process. Large records (configurations) are only
// announced, with Heads; whoever lacks one asks for it.
type update struct {
	Records []mirror.Record `cbor:"1,keyasint,omitempty"`
	// AgesMilliseconds tells since when the versions among the records are known.
	AgesMilliseconds map[string]int64 `cbor:"2,keyasint,omitempty"`
	// FreshMilliseconds is the age of the sender's copy.
	FreshMilliseconds int64 `cbor:"3,keyasint"`
	// Heads maps the keys of large records to the revision held.
	Heads map[string]uint64 `cbor:"4,keyasint,omitempty"`
	// Entries maps the entries heard of to the zone and the age of their last sign;
	// it is not in every update.
	Entries map[string]entrySign `cbor:"5,keyasint,omitempty"`
}

type entrySign struct {
	Zone            string `cbor:"1,keyasint"`
	AgeMilliseconds int64  `cbor:"2,keyasint"`
}

// entryPeer is another entry.
type entryPeer struct {
	zone  string
	heard time.Time
}

// outLink is a link to another process that this one makes and sends on.
type outLink struct {
	address string
	// sequence is the catalog's sequence up to which the other was told.
	sequence uint64
	link     *peering.Link
	dialling bool
	nextDial time.Time
	sending  bool
	// statusSequence is up to which the other was told of agents; passing is set
	// while it is being told.
	statusSequence uint64
	passing        bool
	// listedAt is when the other was last sent the list of entries.
	listedAt time.Time
}

// peerAddress is where a machine accepts links.
func (c *Catalog) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.options.InternalPort))
}

// Entries lists the other entries heard of lately.
func (c *Catalog) Entries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var entries []string
	for ip := range c.entries {
		entries = append(entries, ip)
	}
	slices.Sort(entries)
	return entries
}

// entriesOf lists the other entries of a zone whose signs are recent.
func (c *Catalog) entriesOf(zone string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.recentEntries(zone)
}

func (c *Catalog) recentEntries(zone string) []string {
	recent := farRecent
	if zone == c.options.Zone {
		recent = linkSilence
	}
	var entries []string
	for ip, peer := range c.entries {
		if peer.zone == zone && time.Since(peer.heard) < recent {
			entries = append(entries, ip)
		}
	}
	slices.Sort(entries)
	return entries
}

// exchange keeps the links and sends the news. Agents only listen.
func (c *Catalog) exchange(ctx context.Context) {
	if c.options.Role == RoleAgent {
		return
	}
	c.mutex.Lock()
	for _, seed := range c.options.Seeds {
		c.entries[seed] = &entryPeer{heard: time.Now()}
	}
	c.mutex.Unlock()
	ticker := time.NewTicker(updatePeriod)
	defer ticker.Stop()
	statusTicker := time.NewTicker(statusPace)
	defer statusTicker.Stop()
	for {
		c.keepLinks(ctx)
		c.sendAll()
		for waiting := true; waiting; {
			select {
			case <-statusTicker.C:
				c.passStatuses()
			case <-ticker.C:
				waiting = false
			case <-c.kick:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
	}
}

// keepLinks dials the entries and agents that have no link.
func (c *Catalog) keepLinks(ctx context.Context) {
	agents := c.View().Agents()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wanted := c.wantedPeers(agents)
	for ip := range wanted {
		if _, exists := c.links[ip]; !exists {
			c.links[ip] = &outLink{address: c.peerAddress(ip)}
		}
	}
	for ip, out := range c.links {
		if !wanted[ip] && out.link == nil && !out.dialling {
			delete(c.links, ip)
			continue
		}
		c.keepLink(ctx, ip, out, wanted[ip])
	}
}

// wantedPeers lists whom this entry speaks with: the entries of its zone, the gates
// of the others if it is one itself, and the agents that it feeds; the mutex is
// held.
func (c *Catalog) wantedPeers(agents map[string]string) map[string]bool {
	wanted := map[string]bool{}
	zones := map[string]bool{}
	for ip, peer := range c.entries {
		if time.Since(peer.heard) > entryMemory {
			delete(c.entries, ip)
			continue
		}
		zones[peer.zone] = true
		if peer.zone == c.options.Zone || peer.zone == "" {
			wanted[ip] = true
		}
	}
	if c.isGate() {
		for zone := range zones {
			for _, ip := range c.gates(zone) {
				wanted[ip] = true
			}
		}
	}
	for ip, zone := range agents {
		if c.feeds(ip, zone) {
			wanted[ip] = true
		}
	}
	delete(wanted, c.options.Self)
	return wanted
}

// gates are the entries of a zone that speak with those of other zones; the mutex
// is held.
func (c *Catalog) gates(zone string) []string {
	entries := c.recentEntries(zone)
	if zone == c.options.Zone {
		entries = append(entries, c.options.Self)
	}
	return placement.Top("reader/"+zone, entries, gatesPerZone)
}

func (c *Catalog) isGate() bool {
	return slices.Contains(c.gates(c.options.Zone), c.options.Self)
}

// keepLink drops a silent link and dials a missing one; the mutex is held.
func (c *Catalog) keepLink(ctx context.Context, ip string, out *outLink, wanted bool) {
	if out.link != nil {
		lost := false
		select {
		case <-out.link.Done():
			lost = true
		default:
		}
		if lost || !wanted || time.Since(out.link.LastHeard()) > linkSilence {
			link := out.link
			out.link = nil
			go func() { _ = link.Close() }()
		}
		return
	}
	if !wanted || out.dialling || time.Now().Before(out.nextDial) {
		return
	}
	out.dialling = true
	go c.dial(ctx, ip, out)
}

func (c *Catalog) dial(ctx context.Context, ip string, out *outLink) {
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err := c.options.Hub.Link(dialContext, out.address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out.dialling = false
	if err != nil {
		out.nextDial = time.Now().Add(dialPause)
		return
	}
	out.link, out.sequence, out.statusSequence, out.listedAt = link, 0, 0, time.Time{}
	if remote := link.Remote(); remote.Role == RoleEntry {
		c.heardEntry(ip, remote.Zone, 0)
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// heardEntry notes a sign of an entry; the mutex is held.
func (c *Catalog) heardEntry(ip, zone string, age time.Duration) {
	if ip == c.options.Self || ip == "" {
		return
	}
	heard := time.Now().Add(-age)
	peer, known := c.entries[ip]
	if !known {
		if age > entryMemory {
			return
		}
		peer = &entryPeer{}
		c.entries[ip] = peer
	}
	if zone != "" {
		peer.zone = zone
	}
	if heard.After(peer.heard) {
		peer.heard = heard
	}
}

// sendAll sends each link what it lacks, or a sign of life.
func (c *Catalog) sendAll() {
	agents := c.View().Agents()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for ip, out := range c.links {
		if out.link == nil || out.sending {
			continue
		}
		_, isAgent := agents[ip]
		withList := !isAgent && time.Since(out.listedAt) > listPeriod
		if withList {
			out.listedAt = time.Now()
		}
		message := c.compose(out.sequence, withList)
		out.sequence = c.sequence
		out.sending = true
		go c.send(out, out.link, message)
	}
}

// feeds reports whether this entry is one of those that tell an agent the news;
// the mutex is held.
func (c *Catalog) feeds(agent, zone string) bool {
	near := c.recentEntries(zone)
	if zone == c.options.Zone {
		near = append(near, c.options.Self)
	}
	if len(near) == 0 {
		for ip, peer := range c.entries {
			if time.Since(peer.heard) < linkSilence {
				near = append(near, ip)
			}
		}
		near = append(near, c.options.Self)
	}
	return slices.Contains(placement.Top("feed/"+agent, near, feedersPerAgent), c.options.Self)
}

func (c *Catalog) send(out *outLink, link *peering.Link, message update) {
	err := peering.Send(link, topicUpdate, "", message)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out.sending = false
	if err != nil && out.link == link {
		out.link = nil
	}
}

// compose builds an update with every change after a sequence; the mutex is held.
func (c *Catalog) compose(after uint64, withList bool) update {
	message := update{FreshMilliseconds: time.Since(c.fresh).Milliseconds(), Heads: map[string]uint64{}}
	if c.fresh.IsZero() {
		message.FreshMilliseconds = int64(time.Hour / time.Millisecond)
	}
	for _, record := range c.mirror.All(c.options.Decoder.Prefix()) {
		kind := c.options.Decoder.Kind(record.Key)
		switch {
		case kind == fleet.RecordConfiguration:
			message.Heads[record.Key] = record.Revision
		case c.changedAt[record.Key] > after:
			message.Records = append(message.Records, record)
			if kind == fleet.RecordVersion {
				c.addAge(&message, record)
			}
		}
	}
	if withList {
		message.Entries = map[string]entrySign{}
		for ip, peer := range c.entries {
			message.Entries[ip] = entrySign{Zone: peer.zone, AgeMilliseconds: time.Since(peer.heard).Milliseconds()}
		}
	}
	return message
}

func (c *Catalog) addAge(message *update, record mirror.Record) {
	named, err := c.options.Decoder.Version(record)
	if err != nil {
		return
	}
	if message.AgesMilliseconds == nil {
		message.AgesMilliseconds = map[string]int64{}
	}
	if notice, known := c.View().Newest(named.Model); known {
		message.AgesMilliseconds[record.Key] = time.Since(notice.Since).Milliseconds()
	}
}

func (c *Catalog) handleUpdate(link *peering.Link, received *message.Message) {
	news, err := peering.Decode[update](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	ages := map[string]time.Duration{}
	for key, age := range news.AgesMilliseconds {
		ages[key] = time.Duration(age) * time.Millisecond
	}
	c.mutex.Lock()
	c.heardEntry(link.Remote().ID, link.Remote().Zone, 0)
	for ip, sign := range news.Entries {
		c.heardEntry(ip, sign.Zone, time.Duration(sign.AgeMilliseconds)*time.Millisecond)
	}
	fresh := time.Now().Add(-time.Duration(news.FreshMilliseconds) * time.Millisecond)
	if fresh.After(c.fresh) {
		c.fresh = fresh
	}
	lacking := c.lacking(news.Heads)
	c.mutex.Unlock()
	if len(news.Records) > 0 {
		c.take(news.Records, ages)
	}
	if len(lacking) > 0 {
		time.AfterFunc(c.pullDelay(link), func() { c.pullFrom(link, lacking) })
	}
}

// pullDelay leaves the store time to bring a record first where this process
// reads it, and the own zone where another does.
func (c *Catalog) pullDelay(link *peering.Link) time.Duration {
	if c.View().Configuration == nil || (link.Remote().Zone == c.options.Zone && c.zoneRank() > 0) {
		return 0
	}
	return pullAfter
}

// lacking returns the large records that a peer has newer; the mutex is
// held. An agent takes only its first configuration from peers.
func (c *Catalog) lacking(heads map[string]uint64) map[string]uint64 {
	if c.options.Role == RoleAgent && c.view.Load().Configuration != nil {
		return nil
	}
	lacking := map[string]uint64{}
	for key, revision := range heads {
		if held, _ := c.mirror.Get(key); held.Revision < revision {
			lacking[key] = revision
		}
	}
	return lacking
}

func (c *Catalog) pullFrom(link *peering.Link, heads map[string]uint64) {
	c.mutex.Lock()
	wanted := map[string]uint64{}
	for key, revision := range heads {
		if held, _ := c.mirror.Get(key); held.Revision < revision {
			wanted[key] = held.Revision
		}
	}
	c.mutex.Unlock()
	if len(wanted) > 0 {
		_ = peering.Send(link, topicPull, "", pullSince{Held: wanted})
	}
}

// pullSince asks for records that are newer than those held.
type pullSince struct {
	Held map[string]uint64 `cbor:"1,keyasint"`
}

func (c *Catalog) handlePull(link *peering.Link, received *message.Message) {
	request, err := peering.Decode[pullSince](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	var answer update
	c.mutex.Lock()
	answer.FreshMilliseconds = int64(time.Hour / time.Millisecond)
	for key, revision := range request.Held {
		if held, present := c.mirror.Get(key); present && held.Revision > revision {
			answer.Records = append(answer.Records, held)
		}
	}
	c.mutex.Unlock()
	if len(answer.Records) == 0 {
		return
	}
	go func() { _ = peering.Send(link, topicUpdate, "", answer) }()
}
