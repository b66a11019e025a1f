// Package sharing counts the members that share a limit without exchanging messages, so that each spends its
// part. A member that counts too few others spends too much: one that has just started, or that is cut off, may
// not know all of them, so that unknown ones are assumed. The package does no I/O and reads no clock.
package sharing

import "time"

// Parameters of the count.
const (
	// MemberTTL is how long a member keeps its share after it was last seen: one that is cut off from the
	// others still spends it.
	MemberTTL = time.Minute
	// AssumedMembers is the minimum number of members assumed while some may be unknown.
	AssumedMembers = 16
	// SettleTime is how long after the start the number of members is uncertain.
	SettleTime = 3 * time.Second
	// LookupInterval is how often the known members are looked up.
	LookupInterval = 250 * time.Millisecond
)

// Member is a member that shares limits with others.
type Member struct {
	ID   string
	Zone string
}

// Members counts the members that share limits, this one included.
type Members struct {
	self Member
	// zones are the zones that have members, whether or not any is known.
	zones []string
	// seen holds the other members by ID.
	seen      map[string]sighting
	updatedAt time.Time
	// lookupPending is set while the known members are being looked up; nobody waits for this.
	lookupPending bool
	// count is the number of members as of the last update, and complete is set if each zone had one.
	count    int
	complete bool
	// largest is the largest number counted while each zone had a known member.
	largest int
}

// sighting is when a member was last known, and where.
type sighting struct {
	at   time.Time
	zone string
}

// New returns members of which only this one is known.
func New(self Member) *Members {
	m := &Members{self: self, seen: map[string]sighting{}}
	m.recount()
	return m
}

// SetZones sets the zones that have members. Without them, zones without a known member are not noticed.
func (m *Members) SetZones(zones []string) {
	m.zones = zones
	m.recount()
}

// Update records which other members are known at a time.
func (m *Members) Update(known []Member, now time.Time) {
	m.updatedAt, m.lookupPending = now, false
	for _, member := range known {
		m.seen[member.ID] = sighting{at: now, zone: member.Zone}
	}
	for id, last := range m.seen {
		if now.Sub(last.at) > MemberTTL {
			delete(m.seen, id)
		}
	}
	m.recount()
}

// LookupDue reports whether the known members should be looked up and passed to Update.
func (m *Members) LookupDue(now time.Time) bool {
	return !m.lookupPending && now.Sub(m.updatedAt) >= LookupInterval
}

// BeginLookup marks a lookup as pending until Update is called.
func (m *Members) BeginLookup() { m.lookupPending = true }

// Others calls visit with each other member that was known within MemberTTL.
func (m *Members) Others(visit func(id string)) {
	for id := range m.seen {
		visit(id)
	}
}

// Count returns the number of members to divide a limit among. Age is the time since this member's process
// started. The number is at least AssumedMembers shortly after the start, while no member of some zone is known, and
// while a lookup is pending and the last one is older than MemberTTL. While no member of some zone is known it is not
// below the largest number counted before: members that are each cut off for longer than MemberTTL don't share anew.
func (m *Members) Count(now time.Time, age time.Duration) int {
	outdated := m.lookupPending && now.Sub(m.updatedAt) > MemberTTL
	switch {
	case !m.complete:
		return max(m.count, m.largest, AssumedMembers)
	case outdated, age < SettleTime:
		return max(m.count, AssumedMembers)
	}
	return m.count
}

// recount counts the members. A zone without a known member counts as many as the largest known zone: then
// zones that are cut off from each other spend no more than their parts of the limit in sum.
func (m *Members) recount() {
	byZone := map[string]int{m.self.Zone: 1}
	for _, last := range m.seen {
		byZone[last.zone]++
	}
	largest := 0
	for _, members := range byZone {
		largest = max(largest, members)
	}
	m.count, m.complete = len(m.seen)+1, true
	for _, zone := range m.zones {
		if byZone[zone] == 0 {
			m.count += largest
			m.complete = false
		}
	}
	if m.complete {
		m.largest = max(m.largest, m.count)
	}
}
