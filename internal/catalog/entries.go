package catalog

import (
	"math/bits"
	"time"

	"pinevane.example/pinevane/coordination/overlay"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/peering"
)

// Lifetimes of what is known of entries.
const (
	// entryTimeout is the age of the last heartbeat up to which an entry that has not failed to
	// answer this one counts as alive. Lists of entries carry heartbeats as old as two list
	// intervals and a link timeout.
	entryTimeout = 4 * time.Second
	// entryTTL is how long an entry is remembered without a heartbeat.
	entryTTL = 12 * time.Second
)

// entryHeartbeat is what one process sends another about an entry.
type entryHeartbeat struct {
	Zone            string `cbor:"1,keyasint"`
	AgeMilliseconds int64  `cbor:"2,keyasint"`
	// Capacity is the class of the entry's link, see capacityClass; 0 if unknown.
	Capacity int `cbor:"3,keyasint,omitempty"`
}

// toOverlay converts the heartbeat, with its age counted from now.
func (s entryHeartbeat) toOverlay(now time.Time) overlay.MemberInfo {
	return overlay.MemberInfo{Zone: s.Zone, LastSeen: now.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond), Capacity: s.Capacity}
}

// capacityClass returns the class of a link's bandwidth, one more for each doubling. The classes
// are coarse, so that machines with similar links are ranked by their hashes.
func capacityClass(bytesPerSecond float64) int {
	return bits.Len64(uint64(max(0, bytesPerSecond)) / minLinkBytes)
}

// minLinkBytes is the bandwidth in bytes per second up to which all machines are in the lowest
// class, together with those whose bandwidth is unknown: builds that send no capacity agree with
// others on the relays of a zone of such machines.
const minLinkBytes = 16 << 20

// roster is the wire form of an overlay.Roster. Without ages it only identifies the set of known
// entries.
type roster struct {
	Digest           uint64           `cbor:"1,keyasint"`
	AgesMilliseconds []int64          `cbor:"2,keyasint,omitempty"`
	Late             map[string]int64 `cbor:"3,keyasint,omitempty"`
}

func rosterOf(known overlay.Roster) *roster {
	result := &roster{Digest: known.Digest}
	for _, age := range known.Ages {
		result.AgesMilliseconds = append(result.AgesMilliseconds, ceilMilliseconds(age))
	}
	for ip, age := range known.OutlierAges {
		if result.Late == nil {
			result.Late = map[string]int64{}
		}
		result.Late[ip] = ceilMilliseconds(age)
	}
	return result
}

// ceilMilliseconds rounds up: an age must never be sent shorter than it is, or a dead entry would
// be refreshed by its own echoes.
func ceilMilliseconds(age time.Duration) int64 {
	return int64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
}

func (r *roster) toOverlay() overlay.Roster {
	known := overlay.Roster{Digest: r.Digest, OutlierAges: map[string]time.Duration{}}
	for _, age := range r.AgesMilliseconds {
		known.Ages = append(known.Ages, time.Duration(age)*time.Millisecond)
	}
	for ip, age := range r.Late {
		known.OutlierAges[ip] = time.Duration(age) * time.Millisecond
	}
	return known
}

// addEntries adds the known entries to an update. A process with the same roster is sent the ages
// of its members, any other process the list, whose size grows with the fleet. Builds that send no
// roster are sent lists. The mutex must be held.
func (c *Catalog) addEntries(message *update, peer *peerLink, now time.Time, aged func() *roster) {
	message.Capacity = capacityClass(c.options.LinkBytesPerSecond)
	message.Roster = &roster{Digest: c.overlay.Digest()}
	if !c.listDue(peer, now) {
		return
	}
	peer.listedAt, peer.listedArrivals = now, c.overlay.Joins()
	if peer.rosterDigest == message.Roster.Digest {
		message.Roster = aged()
		return
	}
	message.Entries = map[string]entryHeartbeat{}
	for ip, heartbeat := range c.overlay.Members() {
		message.Entries[ip] = entryHeartbeat{Zone: heartbeat.Zone, AgeMilliseconds: ceilMilliseconds(now.Sub(heartbeat.LastSeen)), Capacity: heartbeat.Capacity}
	}
}

// applyEntries applies what another entry sent about itself and other entries. The mutex must be
// held.
func (c *Catalog) applyEntries(remote peering.Hello, peerUpdate update, now time.Time) {
	c.recordEntry(remote.ID, entryHeartbeat{Zone: remote.Zone, Capacity: peerUpdate.Capacity})
	for ip, heartbeat := range peerUpdate.Entries {
		c.recordEntry(ip, heartbeat)
	}
	if peerUpdate.Roster == nil {
		return
	}
	if peer, linked := c.links[remote.ID]; linked {
		peer.rosterDigest = peerUpdate.Roster.Digest
	}
	c.overlay.ApplyRoster(peerUpdate.Roster.toOverlay(), now)
}

// listDue reports whether a link is due the list of entries: periodically, and soon after a new
// entry, so that entries that start together know each other quickly. The mutex must be held.
func (c *Catalog) listDue(peer *peerLink, now time.Time) bool {
	return now.Sub(peer.listedAt) > listInterval || c.newEntriesDue(peer, now)
}

func (c *Catalog) newEntriesDue(peer *peerLink, now time.Time) bool {
	return peer.listedArrivals != c.overlay.Joins() && now.Sub(peer.listedAt) > minListInterval
}

// recordEntry records a heartbeat of an entry. The mutex must be held.
func (c *Catalog) recordEntry(ip string, heartbeat entryHeartbeat) {
	now := time.Now()
	if c.overlay.Observe(ip, heartbeat.toOverlay(now), now) {
		c.wakeExchange()
	}
}

// Entries returns the other entries with a recent heartbeat.
func (c *Catalog) Entries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.overlay.IDs()
}

// EntryMembers returns the other entries with a recent heartbeat, with their zones.
func (c *Catalog) EntryMembers() []sharing.Member {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.overlay.Members()
	members := make([]sharing.Member, 0, len(known))
	for id, heartbeat := range known {
		members = append(members, sharing.Member{ID: id, Zone: heartbeat.Zone})
	}
	return members
}

// ZoneEntries returns the other entries of the local zone with a recent heartbeat.
func (c *Catalog) ZoneEntries() []string {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ids []string
	for id, heartbeat := range c.overlay.Members() {
		if heartbeat.Zone == c.options.Zone && now.Sub(heartbeat.LastSeen) < entryTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// EntryCount returns the number of other entries with a recent heartbeat.
func (c *Catalog) EntryCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.overlay.Count()
}
