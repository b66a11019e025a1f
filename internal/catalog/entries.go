package catalog

import (
	"math/bits"
	"time"

	"pinevane.example/pinevane/coordination/overlay"
	"pinevane.example/pinevane/internal/peering"
)

// Times of what is known of entries.
const (
	// entryRecent is the age of its last sign up to which an entry counts as alive that
	// has not failed to answer this one: lists of entries bring signs of up to two list
	// periods and a link's silence.
	entryRecent = 4 * time.Second
	// entryMemory is how long an entry that nobody hears is remembered.
	entryMemory = 12 * time.Second
)

// entrySign is what one process tells another of an entry.
type entrySign struct {
	Zone            string `cbor:"1,keyasint"`
	AgeMilliseconds int64  `cbor:"2,keyasint"`
	// Capacity is the class of its machine's link, see capacityOf; 0 when that is not known.
	Capacity int `cbor:"3,keyasint,omitempty"`
}

// at is the sign as of now.
func (s entrySign) at(now time.Time) overlay.MemberInfo {
	return overlay.MemberInfo{Zone: s.Zone, LastSeen: now.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond), Capacity: s.Capacity}
}

// capacityOf is the class of a link's bytes a second: one more for each doubling. The classes are
// coarse, so that machines of about the same link are ranked by their hashes.
func capacityOf(bytesPerSecond float64) int {
	return bits.Len64(uint64(max(0, bytesPerSecond)) / leastLinkBytes)
}

// leastLinkBytes a second is the link up to which all machines are of one class, and of that of machines
// whose link is not known: builds that tell none agree with others on the relays of a zone of such.
const leastLinkBytes = 16 << 20

// roster is an overlay.Roster on the wire. Without ages it tells only which entries are known.
type roster struct {
	Digest           uint64           `cbor:"1,keyasint"`
	AgesMilliseconds []int64          `cbor:"2,keyasint,omitempty"`
	Late             map[string]int64 `cbor:"3,keyasint,omitempty"`
}

func rosterOf(known overlay.Roster) *roster {
	told := &roster{Digest: known.Digest}
	for _, age := range known.Ages {
		told.AgesMilliseconds = append(told.AgesMilliseconds, wholeMilliseconds(age))
	}
	for ip, age := range known.OutlierAges {
		if told.Late == nil {
			told.Late = map[string]int64{}
		}
		told.Late[ip] = wholeMilliseconds(age)
	}
	return told
}

// wholeMilliseconds rounds up: an age must never be told shorter than it is, or a dead entry would be
// refreshed by its own echoes.
func wholeMilliseconds(age time.Duration) int64 {
	return int64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

func (r *roster) known() overlay.Roster {
	known := overlay.Roster{Digest: r.Digest, OutlierAges: map[string]time.Duration{}}
	for _, age := range r.AgesMilliseconds {
		known.Ages = append(known.Ages, time.Duration(age)*time.Millisecond)
	}
	for ip, age := range r.Late {
		known.OutlierAges[ip] = time.Duration(age) * time.Millisecond
	}
	return known
}

// addEntries adds what this entry knows of the others: to a process that has told the same roster the
// ages of its members, to any other the list, whose size grows with the fleet. Builds that tell no roster
// are sent lists. The mutex is held.
func (c *Catalog) addEntries(message *update, peer *peerLink, now time.Time, aged func() *roster) {
	message.Capacity = capacityOf(c.options.LinkBytesPerSecond)
	message.Roster = &roster{Digest: c.overlay.Digest()}
	if !c.listDue(peer, now) {
		return
	}
	peer.listedAt, peer.listedArrivals = now, c.overlay.Joins()
	if peer.roster == message.Roster.Digest {
		message.Roster = aged()
		return
	}
	message.Entries = map[string]entrySign{}
	for ip, sign := range c.overlay.Members() {
		message.Entries[ip] = entrySign{Zone: sign.Zone, AgeMilliseconds: wholeMilliseconds(now.Sub(sign.LastSeen)), Capacity: sign.Capacity}
	}
}

// takeEntries takes over what another entry has told of itself and of others; the mutex is held.
func (c *Catalog) takeEntries(remote peering.Hello, news update, now time.Time) {
	c.hearEntry(remote.ID, entrySign{Zone: remote.Zone, Capacity: news.Capacity})
	for ip, sign := range news.Entries {
		c.hearEntry(ip, sign)
	}
	if news.Roster == nil {
		return
	}
	if peer, linked := c.links[remote.ID]; linked {
		peer.roster = news.Roster.Digest
	}
	c.overlay.ApplyRoster(news.Roster.known(), now)
}

// listDue reports whether a link is to be sent the list of entries: from time to time,
// and soon after an entry was new, so that entries that start together know each other
// quickly; the mutex is held.
func (c *Catalog) listDue(peer *peerLink, now time.Time) bool {
	return now.Sub(peer.listedAt) > listPeriod || c.newEntriesDue(peer, now)
}

func (c *Catalog) newEntriesDue(peer *peerLink, now time.Time) bool {
	return peer.listedArrivals != c.overlay.Joins() && now.Sub(peer.listedAt) > newListPause
}

// hearEntry notes a sign of an entry; the mutex is held.
func (c *Catalog) hearEntry(ip string, sign entrySign) {
	now := time.Now()
	if c.overlay.Observe(ip, sign.at(now), now) {
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
		if sign.Zone == c.options.Zone && now.Sub(sign.LastSeen) < entryRecent {
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
