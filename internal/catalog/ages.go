package catalog

import (
	"cmp"
	"errors"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// versionAge is how long ago a version had been announced when its record was received.
type versionAge struct {
	// revision is the revision of the record to which the age belongs.
	revision uint64
	age      time.Duration
	// assumed is set when the age is an estimate.
	assumed bool
}

// assumedAge returns the age assumed for a version that a process finds when it has just started,
// until a peer sends its age. The version may be in force already; the process is bound by it only
// after the contact time, and sends nothing to an older version from then on. If the settings have
// no contact time, half of the bound is assumed.
func (c *Catalog) assumedAge() versionAge {
	age := c.options.VersionApply / 2
	if c.options.Contact > 0 {
		age = max(age, c.options.VersionApply-c.options.Contact)
	}
	return versionAge{age: age, assumed: true}
}

// lateAnnouncement is the age from which an announcement counts as received late: a watch that
// works returns it within one wait and one interval.
const lateAnnouncement = watchWait + watchInterval

// ageOfWatched returns the maximum age of a version that a watch has just returned. The watermark
// holds without a margin: the store still knew the changes after the watch's position, whereas a
// store that withheld a change from any reader loses its history at least up to that change, and
// refuses each watch that starts before it. The mutex must be held.
func (c *Catalog) ageOfWatched() versionAge {
	return c.ageAfter(c.watermark)
}

// ageOfUnseen returns the maximum age of a version that is new to the copy and was not returned by
// a watch. The mutex must be held.
func (c *Catalog) ageOfUnseen() versionAge {
	return c.ageAfter(c.safeWatermark())
}

// ageAfter returns the maximum age that a watermark allows. Time before the last fleet-wide outage
// of the store does not count.
func (c *Catalog) ageAfter(known watermark) versionAge {
	known = known.atLeast(c.storeOutUntil)
	age, bounded := known.maxAge(time.Now())
	if !bounded {
		return c.assumedAge()
	}
	return versionAge{age: age}
}

// fleetOutageAge is the age that this process's copy must exceed before a store that refuses the
// process is taken to be out for the whole fleet. An entry that the store serves updates the others
// every watchWait, and a silent link is replaced within about 2 s.
const fleetOutageAge = 2500 * time.Millisecond

// recordRefused records that the store refused a call sent at a given time. Requirement VERSION
// counts time only within one period of a stable store, so no time before this call counts,
// whichever process learns of the version: ages are sent to peers as they are counted here. A
// machine that the store refuses while it serves others must not conclude this: updates of peers
// keep its copy fresh. Agents do not conclude it: they learn the age from entries, and ask the
// store only without any entry. A timeout proves nothing, nor does a reset, which may be a fault of
// the connection, nor a 429, which a healthy store returns when called too often.
func (c *Catalog) recordRefused(sent time.Time, err error) {
	if c.options.Role != RoleEntry || !isRefusal(err) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.freshAt.IsZero() && time.Since(c.freshAt) > fleetOutageAge && sent.After(c.storeOutUntil) {
		c.storeOutUntil = sent
	}
}

// isRefusal reports whether a call failed because the store, or its machine, stated that it does
// not serve.
func isRefusal(err error) bool {
	var unavailable *fault.Unavailable
	if errors.As(err, &unavailable) && unavailable.Status == http.StatusServiceUnavailable {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// historyLossMargin is the uncertainty of a watermark that no watch has confirmed: before the store
// loses its history, its watches may return nothing for a second while the watermark advances. The
// other half second is reserve.
const historyLossMargin = 1500 * time.Millisecond

// safeWatermark returns the watermark that holds even if the store is about to report, or has
// reported to another process, that it lost its history. The margin is subtracted where the
// watermark is used, not when the store reports the loss: by then others have adopted the watermark
// and would send it to each other and back to this process. The mutex must be held.
func (c *Catalog) safeWatermark() watermark {
	return c.watermark.minus(historyLossMargin)
}

// recordComplete advances the watermark to the moment up to which an answer of the store shows
// every change. It must be called after the answer was applied.
func (c *Catalog) recordComplete(call storeCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watermark.advance(call.completeUntil())
}

// recordPeerComplete advances the watermark to that of a peer whose copy is the same as this one,
// less the transit time of the message. The mutex must be held.
func (c *Catalog) recordPeerComplete(peerUpdate update, flight time.Duration, flightKnown bool, received time.Time) {
	if peerUpdate.CompleteMilliseconds == 0 || !flightKnown {
		return
	}
	c.watermark.advance(received.Add(-flight - time.Duration(peerUpdate.CompleteMilliseconds)*time.Millisecond))
}

// recordAges stores, for applyVersion, the ages of those versions among the records that are newer
// than what is held. The age of a record that is not newer must not be stored: it would be used for
// the next version. The mutex must be held.
func (c *Catalog) recordAges(records []mirror.Record, ageOf func(mirror.Record) versionAge) {
	for _, record := range records {
		if c.options.Decoder.Kind(record.Key) != fleet.RecordVersion {
			continue
		}
		if !c.mirror.Supersedes(record) {
			continue
		}
		age := ageOf(record)
		age.revision = record.Revision
		c.versionAges[record.Key] = age
	}
}

// correctAges replaces assumed ages by those that a peer sent. It must be called after the records
// were merged. The mutex must be held.
func (c *Catalog) correctAges(records []mirror.Record, ages map[string]peerAge) {
	for _, record := range records {
		reported, known := ages[record.Key]
		announced, err := c.options.Decoder.Version(record)
		if !known || err != nil {
			continue
		}
		if since, bounded := reported.earliest(); bounded {
			c.correctAge(announced, since)
		}
	}
}

// correctAge sets since when a version has been announced, if that was assumed.
func (c *Catalog) correctAge(announced fleet.PublishedVersion, since time.Time) {
	old := c.view.Load()
	announcements := slices.Clone(old.Versions[announced.Model])
	for index := range announcements {
		if announcements[index].Revision != announced.Revision || !announcements[index].Assumed {
			continue
		}
		announcements[index].Since, announcements[index].Assumed = since, false
		next := *old
		next.Versions = maps.Clone(old.Versions)
		next.Versions[announced.Model] = announcements
		c.view.Store(&next)
		return
	}
}

// announcementMessage is the wire form of an announced version. The store and the exchange of
// records hold only the newest version of each model; without the earlier ones, a process that
// missed them would let an old version run until the newest one's deadline.
type announcementMessage struct {
	Model    string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// AgeMilliseconds is the maximum time since the announcement, rounded up.
	AgeMilliseconds int64 `cbor:"4,keyasint"`
}

// announcements returns the versions known to this process, except those of an assumed age. The
// mutex must be held.
func (c *Catalog) announcements(now time.Time) []announcementMessage {
	var all []announcementMessage
	for model, announcements := range c.View().Versions {
		for _, announcement := range announcements {
			if announcement.Assumed {
				continue
			}
			all = append(all, announcementMessage{
				Model: model, Version: announcement.Version, Revision: announcement.Revision, AgeMilliseconds: now.Sub(announcement.Since).Milliseconds() + 1,
			})
		}
	}
	return all
}

// applyAnnouncements applies a peer's ages of versions where they are shorter than the local ones or
// the local ones are assumed, and adds versions missed here. Each age is an upper bound; flight is
// the maximum transit time of the message. Without it, a process that was disconnected for seconds
// when it learned of a version would count it as that much older until its deadline.
func (c *Catalog) applyAnnouncements(messages []announcementMessage, flight time.Duration, received time.Time) {
	c.updateView(func(next *View) bool { return next.applyAnnouncements(messages, flight, received) })
}

// applyAnnouncements does so for a view under construction and reports whether the view changed.
func (v *View) applyAnnouncements(messages []announcementMessage, flight time.Duration, received time.Time) bool {
	v.Versions = maps.Clone(v.Versions)
	changed := false
	for _, message := range messages {
		since := received.Add(-flight - time.Duration(message.AgeMilliseconds)*time.Millisecond)
		announcements, differs := withAnnouncement(v.Versions[message.Model], message, since)
		v.Versions[message.Model] = announcements
		changed = changed || differs
	}
	return changed
}

// withAnnouncement returns the announcements, the newest last, with one that a peer sent, and
// reports whether they changed. A version newer than all held ones comes with its record and is not
// added here.
func withAnnouncement(announcements []VersionAnnouncement, message announcementMessage, since time.Time) ([]VersionAnnouncement, bool) {
	index, held := slices.BinarySearchFunc(announcements, message.Version, func(announcement VersionAnnouncement, version uint64) int {
		return cmp.Compare(announcement.Version, version)
	})
	switch {
	case index == len(announcements):
		return announcements, false
	case held:
		changed := slices.Clone(announcements)
		differs := changed[index].Revision == message.Revision && changed[index].tighten(since)
		return changed, differs
	}
	return slices.Insert(slices.Clone(announcements), index, VersionAnnouncement{Version: message.Version, Revision: message.Revision, Since: since}), true
}

// Stamp returns the current stamp of this process, for message whose round trip is measured.
func (c *Catalog) Stamp() int64 { return c.stamp(time.Now()) }

func (c *Catalog) stamp(now time.Time) int64 { return stampAt(c.started, now) }

// recordStamp stores a peer's newest stamp, to be echoed to it. The mutex must be held.
func (c *Catalog) recordStamp(ip string, stamp int64, now time.Time) {
	if peer, linked := c.links[ip]; linked {
		peer.stamps.record(stamp, now)
	}
}
