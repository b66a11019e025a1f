// Package mirror keeps a copy of a store's records, received from many sources. Every
// record carries the store revision of its last change, and the newer revision wins,
// so that copies converge whatever the order in which updates arrive, and no key ever
// reverts to an older value. It does no I/O and reads no clock.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Record is the state of one key of the store as of a revision.
type Record struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Value    []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Deleted marks a key that was deleted at the revision.
	Deleted bool `cbor:"4,keyasint,omitempty" json:"gone,omitempty"`
}

// maxTombstones bounds the deleted keys that are kept.
const maxTombstones = 4096

// Mirror is a copy of the records. It is not safe for concurrent use.
type Mirror struct {
	records    map[string]Record
	tombstones int
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{records: map[string]Record{}} }

// Merge applies records and returns those that were newer than the copy, in the order given.
func (m *Mirror) Merge(records []Record) []Record {
	var updated []Record
	for _, record := range records {
		held, known := m.records[record.Key]
		if known && held.Revision >= record.Revision {
			continue
		}
		m.put(held, known, record)
		updated = append(updated, record)
	}
	m.pruneTombstones()
	return updated
}

// Replace applies a listing of every key under a prefix that began at a revision, and
// returns the records that changed. Keys that the listing lacks are deleted unless they
// changed later.
func (m *Mirror) Replace(prefix string, listed []Record, at uint64) []Record {
	present := make(map[string]bool, len(listed))
	for _, record := range listed {
		present[record.Key] = true
	}
	update := slices.Clone(listed)
	for _, held := range m.Select(prefix) {
		if !present[held.Key] && held.Revision < at {
			update = append(update, Record{Key: held.Key, Revision: at, Deleted: true})
		}
	}
	return m.Merge(update)
}

// Get returns the record of a key that is not deleted.
func (m *Mirror) Get(key string) (Record, bool) {
	record, known := m.Lookup(key)
	return record, known && !record.Deleted
}

// Lookup returns the record of a key, which may be marked as deleted.
func (m *Mirror) Lookup(key string) (Record, bool) {
	record, known := m.records[key]
	return record, known
}

// Select returns the records under a prefix that are not deleted, in order of key.
func (m *Mirror) Select(prefix string) []Record {
	return slices.DeleteFunc(m.All(prefix), func(record Record) bool { return record.Deleted })
}

// All returns the records under a prefix, including deleted ones, in order of key.
func (m *Mirror) All(prefix string) []Record {
	var selected []Record
	for key, record := range m.records {
		if strings.HasPrefix(key, prefix) {
			selected = append(selected, record)
		}
	}
	slices.SortFunc(selected, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return selected
}

func (m *Mirror) put(held Record, known bool, record Record) {
	if known && held.Deleted {
		m.tombstones--
	}
	if record.Deleted {
		m.tombstones++
	}
	m.records[record.Key] = record
}

// pruneTombstones removes the older half of the deleted keys when there are too many.
func (m *Mirror) pruneTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	deleted := slices.DeleteFunc(slices.Collect(maps.Values(m.records)), func(record Record) bool { return !record.Deleted })
	slices.SortFunc(deleted, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, record := range deleted[:len(deleted)/2] {
		delete(m.records, record.Key)
		m.tombstones--
	}
}
