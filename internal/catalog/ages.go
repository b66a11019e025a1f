package catalog

import (
	"maps"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/mirror"
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

// assumedAge is the age of a version of which nobody says how old it is.
func (c *Catalog) assumedAge() versionAge {
	return versionAge{age: c.options.VersionApply / 2, assumed: true}
}

// noteAges keeps the ages of those versions among records that are newer than what
// is held, for takeVersion; the mutex is held. An age of a record that is not news
// must not be kept: it would be taken for that of the next version.
func (c *Catalog) noteAges(records []mirror.Record, ageOf func(mirror.Record) versionAge) {
	for _, record := range records {
		if c.options.Decoder.Kind(record.Key) != fleet.RecordVersion {
			continue
		}
		if held, known := c.mirror.Get(record.Key); known && held.Revision >= record.Revision {
			continue
		}
		age := ageOf(record)
		age.revision = record.Revision
		c.ages[record.Key] = age
	}
}

// correctAges replaces assumed ages by those that a peer knows; the mutex is held.
// It is called after the records were merged.
func (c *Catalog) correctAges(records []mirror.Record, ages map[string]time.Duration) {
	for _, record := range records {
		age, told := ages[record.Key]
		named, err := c.options.Decoder.Version(record)
		if !told || err != nil {
			continue
		}
		c.correctAge(named, age)
	}
}

// correctAge sets since when a version is known, if that was assumed.
func (c *Catalog) correctAge(named fleet.NamedVersion, age time.Duration) {
	old := c.view.Load()
	notices := slices.Clone(old.Versions[named.Model])
	for index := range notices {
		if notices[index].Revision != named.Revision || !notices[index].Assumed {
			continue
		}
		notices[index].Since, notices[index].Assumed = time.Now().Add(-age), false
		next := *old
		next.Versions = maps.Clone(old.Versions)
		next.Versions[named.Model] = notices
		c.view.Store(&next)
		return
	}
}
