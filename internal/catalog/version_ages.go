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

// versionAge is how long ago a version was named when its record was learnt.
type versionAge struct {
	// revision is that of the record which the age belongs to.
	revision uint64
	age      time.Duration
	// assumed is set when the age is a guess.
	assumed bool
}

// assumedAge is the age of a version that a process meets when it has just started, until
// somebody says how old it is. The version may be in force already; the process is held to
// that only once it has run for the contact time, and sends nothing to an older one from
// then on. Where the settings do not tell that time, half of the bound is assumed.
func (c *Catalog) assumedAge() versionAge {
	age := c.options.VersionApply / 2
	if c.options.Contact > 0 {
		age = max(age, c.options.VersionApply-c.options.Contact)
	}
	return versionAge{age: age, assumed: true}
}

// lateAnnouncement is the age from which a version counts as heard of late: a watch of the store
// that goes well tells of it within one time of waiting and one pace.
const lateAnnouncement = watchWait + watchInterval

// ageOfWatched is the longest age of a version that a watch has just brought; the mutex is
// held. That the store still knew the changes after the watch's position confirms the horizon:
// a store that told nothing of a change, to whomever, forgets its history up to that change at
// the least, and refuses each watch that goes on from before it.
func (c *Catalog) ageOfWatched() versionAge {
	return c.ageAfter(c.watermark)
}

// ageOfUnseen is the longest age of a version that the copy lacks until now and that no watch
// has brought; the mutex is held.
func (c *Catalog) ageOfUnseen() versionAge {
	return c.ageAfter(c.safeWatermark())
}

// ageAfter is the longest age that a horizon allows for: no time counts before the store was
// last out for all.
func (c *Catalog) ageAfter(known watermark) versionAge {
	known = known.atLeast(c.storeOutUntil)
	age, bounded := known.maxAge(time.Now())
	if !bounded {
		return c.assumedAge()
	}
	return versionAge{age: age}
}

// fleetOutageAge is the age of a copy from which a store that refuses this process counts as out
// for all. An entry that the store serves tells the others at each watchWait, and a link that
// has gone silent is replaced in some 2 s.
const fleetOutageAge = 2500 * time.Millisecond

// recordRefused notes that the store has refused a call that was sent at a moment. VERSION counts
// time within one stretch only in which the store is stable, and so none before this call, by
// whomever the version is then learnt: ages are told to others as they are counted here. A
// machine that the store turns away while it serves others must not conclude this: their words
// keep its copy fresh. An agent hears of the age by entries, and asks the store only when it
// hears of none. Silence proves nothing, nor does a reset, which may be due to the
// connection, nor 429, which a store that is well answers to too many calls.
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

// isRefusal reports whether a call failed because the store, or its machine, said that it does
// not serve.
func isRefusal(err error) bool {
	var unavailable *fault.Unavailable
	if errors.As(err, &unavailable) && unavailable.Status == http.StatusServiceUnavailable {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// historyLossMargin is how far a horizon is doubted that no watch has confirmed: before the store
// forgets its history, its watches may hear nothing for a second, and the horizon moves on by
// them. Half a second is left over.
const historyLossMargin = 1500 * time.Millisecond

// safeWatermark is the horizon that holds also if the store is about to say, or has said to
// somebody else, that it has forgotten its history; the mutex is held. The doubt is taken off
// where the horizon is used, rather than once the store has said so: until then others have
// taken the horizon over, and would tell it to each other and back to this process.
func (c *Catalog) safeWatermark() watermark {
	return c.watermark.minus(historyLossMargin)
}

// recordComplete notes up to when an answer of the store shows every change. It is called after
// the answer was taken in.
func (c *Catalog) recordComplete(call storeCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watermark.advance(call.completeUntil())
}

// recordPeerComplete notes up to when a peer's copy is complete that is the same as this one; the
// mutex is held. How long the word was on its way counts against it.
func (c *Catalog) recordPeerComplete(news update, flight time.Duration, flightKnown bool, received time.Time) {
	if news.CompleteMilliseconds == 0 || !flightKnown {
		return
	}
	c.watermark.advance(received.Add(-flight - time.Duration(news.CompleteMilliseconds)*time.Millisecond))
}

// recordAges keeps the ages of those versions among records that are newer than what
// is held, for takeVersion; the mutex is held. An age of a record that is not news
// must not be kept: it would be taken for that of the next version.
func (c *Catalog) recordAges(records []mirror.Record, ageOf func(mirror.Record) versionAge) {
	for _, record := range records {
		if c.options.Decoder.Kind(record.Key) != fleet.RecordVersion {
			continue
		}
		if held, known := c.mirror.Get(record.Key); known && held.Revision >= record.Revision {
			continue
		}
		age := ageOf(record)
		age.revision = record.Revision
		c.versionAges[record.Key] = age
	}
}

// correctAges replaces assumed ages by those that a peer knows; the mutex is held.
// It is called after the records were merged.
func (c *Catalog) correctAges(records []mirror.Record, ages map[string]peerAge) {
	for _, record := range records {
		told, known := ages[record.Key]
		named, err := c.options.Decoder.Version(record)
		if !known || err != nil {
			continue
		}
		if since, bounded := told.earliest(); bounded {
			c.correctAge(named, since)
		}
	}
}

// correctAge sets since when a version is known, if that was assumed.
func (c *Catalog) correctAge(named fleet.NamedVersion, since time.Time) {
	old := c.view.Load()
	notices := slices.Clone(old.Versions[named.Model])
	for index := range notices {
		if notices[index].Revision != named.Revision || !notices[index].Assumed {
			continue
		}
		notices[index].Since, notices[index].Assumed = since, false
		next := *old
		next.Versions = maps.Clone(old.Versions)
		next.Versions[named.Model] = notices
		c.view.Store(&next)
		return
	}
}

// announcementMessage is one named version as peers tell each other. The store and the exchange of records hold
// the newest of each model only; without the ones before it a process that has missed them would
// let an old version run until the newest one's bound.
type announcementMessage struct {
	Model    string `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// AgeMilliseconds is the longest time since the naming, cut up to a whole one.
	AgeMilliseconds int64 `cbor:"4,keyasint"`
}

// announcements tells the versions that this process knows, but for those of an assumed age; the
// mutex is held.
func (c *Catalog) announcements(now time.Time) []announcementMessage {
	var all []announcementMessage
	for model, notices := range c.View().Versions {
		for _, notice := range notices {
			if notice.Assumed {
				continue
			}
			all = append(all, announcementMessage{
				Model: model, Version: notice.Version, Revision: notice.Revision, AgeMilliseconds: now.Sub(notice.Since).Milliseconds() + 1,
			})
		}
	}
	return all
}

// applyAnnouncements takes over a peer's ages of versions where they are shorter than the own ones, or
// the own ones are assumed, and the versions that were missed here: each age is an upper bound.
// Flight is the longest time that the word was on its way until it was received. A process that
// had lost touch for seconds when it heard of a version would else count it as that much older
// until its bound.
func (c *Catalog) applyAnnouncements(told []announcementMessage, flight time.Duration, received time.Time) {
	c.updateView(func(next *View) bool { return next.applyAnnouncements(told, flight, received) })
}

// applyAnnouncements is the same for a view that is being made; it reports whether that differs.
func (v *View) applyAnnouncements(told []announcementMessage, flight time.Duration, received time.Time) bool {
	v.Versions = maps.Clone(v.Versions)
	changed := false
	for _, one := range told {
		since := received.Add(-flight - time.Duration(one.AgeMilliseconds)*time.Millisecond)
		notices, differs := withAnnouncement(v.Versions[one.Model], one, since)
		v.Versions[one.Model] = notices
		changed = changed || differs
	}
	return changed
}

// withAnnouncement returns notices, the newest last, with one that a peer has told, and reports whether
// they differ. A version newer than all held ones comes with its record and is left to that.
func withAnnouncement(notices []VersionAnnouncement, told announcementMessage, since time.Time) ([]VersionAnnouncement, bool) {
	index, held := slices.BinarySearchFunc(notices, told.Version, func(notice VersionAnnouncement, version uint64) int {
		return cmp.Compare(notice.Version, version)
	})
	switch {
	case index == len(notices):
		return notices, false
	case held:
		changed := slices.Clone(notices)
		differs := changed[index].Revision == told.Revision && changed[index].tighten(since)
		return changed, differs
	}
	return slices.Insert(slices.Clone(notices), index, VersionAnnouncement{Version: told.Version, Revision: told.Revision, Since: since}), true
}

// Stamp is this process's stamp of now, for messages whose way back is to be measured.
func (c *Catalog) Stamp() int64 { return c.stamp(time.Now()) }

func (c *Catalog) stamp(now time.Time) int64 { return stampAt(c.started, now) }

// recordStamp keeps a process's newest stamp, to be returned to it; the mutex is held.
func (c *Catalog) recordStamp(ip string, stamp int64, now time.Time) {
	if peer, linked := c.links[ip]; linked {
		peer.stamps.record(stamp, now)
	}
}
