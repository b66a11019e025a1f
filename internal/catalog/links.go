package catalog

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"pinevane.example/pinevane/coordination/placement"
)

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

// keepLink drops a silent link and dials a missing one; the mutex is held. The other
// process sends its own news on the link that it dialled itself, so that a link may be
// silent and sound: it is probed before it is taken for broken.
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
			return
		}
		if time.Since(out.link.LastHeard()) > probeAfter {
			go out.link.Probe(linkSilence - probeAfter)
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
		out.nextDial = time.Now().Add(pauseAfter(out.failures))
		out.failures++
		return
	}
	out.failures = 0
	out.link, out.sequence, out.statusSequence, out.listedAt = link, 0, 0, time.Time{}
	if remote := link.Remote(); remote.Role == RoleEntry {
		c.heardEntry(ip, remote.Zone, 0)
	}
	c.kickExchange()
}

// pauseAfter is how long a dial waits after it has failed once more than a number of
// times in a row.
func pauseAfter(failures int) time.Duration {
	return min(firstDialPause<<min(failures, maximumDialDoublings), dialPause)
}

// kickExchange has the links looked after and the news sent at once.
func (c *Catalog) kickExchange() {
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
		c.entriesSequence++
		c.kickExchange()
	}
	if zone != "" {
		peer.zone = zone
	}
	if heard.After(peer.heard) {
		peer.heard = heard
	}
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

// feeds reports whether this entry is one of those that tell an agent the news;
// the mutex is held.
func (c *Catalog) feeds(agent, zone string) bool {
	return slices.Contains(c.feedersOf(agent, zone), c.options.Self)
}

// feedersOf are the entries that speak with an agent: of its zone, or of all when
// none of its zone is heard; the mutex is held.
func (c *Catalog) feedersOf(agent, zone string) []string {
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
	return placement.Top("feed/"+agent, near, feedersPerAgent)
}

// peerAddress is where a machine accepts links.
func (c *Catalog) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.options.InternalPort))
}
