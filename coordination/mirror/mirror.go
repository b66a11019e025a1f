// Package mirror keeps a copy of a store's records, received from many sources. Every
// record carries the store's epoch and the revision of its last change, and the newer one wins,
// so that copies converge whatever the order in which updates arrive, and no key ever
// reverts to an older value. It does no I/O and reads no clock.
//
// A store that is restored from a copy of itself begins a new epoch: it has lost its last changes,
// and gives out their revisions again. What the copy shows is then not always newer than what is
// held; see Mirror.Advance.
package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"pinevane.example/pinevane/coordination/monotonic"
)

// Record is the state of one key of the store as of a revision.
type Record struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Value    []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Deleted marks a key that was deleted at the revision.
	Deleted bool `cbor:"4,keyasint,omitempty" json:"gone,omitempty"`
	// Epoch is the store's epoch in which the record was read, 0 if the store states none.
	Epoch uint64 `cbor:"5,keyasint,omitempty" json:"epoch,omitempty"`
	// Sequence is the number that the record's writer raises with each write, and Incarnation that
	// of the writer's present life; 0 if there is none. Unlike revisions they don't go back when
	// the store is restored. Those of a deletion are of the record that it deleted.
	Incarnation uint64 `cbor:"6,keyasint,omitempty" json:"incarnation,omitempty"`
	Sequence    uint64 `cbor:"7,keyasint,omitempty" json:"sequence,omitempty"`
	// DeletedRevision is the revision of the record that a deletion deleted, 0 if unknown.
	DeletedRevision uint64 `cbor:"8,keyasint,omitempty" json:"deleted_revision,omitempty"`
}

// maxTombstones bounds the deleted keys that are kept.
const maxTombstones = 4096

// Mirror is a copy of the records. It is not safe for concurrent use.
type Mirror struct {
	records    map[string]Record
	tombstones int
	isDurable  func(key string) bool
	// epoch is the store's epoch. It is settled once the writers have had the time to write again
	// what the store has lost.
	epoch   uint64
	settled bool
}

// New returns an empty mirror. Durable records stay in the order of their writer's sequence in all
// epochs, and a listing of a later epoch does not remove them.
func New(isDurable func(key string) bool) *Mirror {
	return &Mirror{records: map[string]Record{}, isDurable: isDurable, settled: true}
}

// Advance begins a later epoch. Until Settle, a copy's former state of a key does not replace a later
// one, as far as the two can be told apart.
func (m *Mirror) Advance(epoch uint64) { m.epoch, m.settled = epoch, false }

// Settle ends the time in which what the store has lost may be missing there. From now on what the
// store shows is true for all but durable records.
func (m *Mirror) Settle() { m.settled = true }

// Settled reports whether the present epoch is settled.
func (m *Mirror) Settled() bool { return m.settled }

// Confirm marks records as those of the present epoch, so that what others still have from before
// replaces none of them. It is called for a copy that is known to hold what the store holds up to a
// revision. Records of a greater one, which the store has lost and which are kept, are not marked:
// the store will give out that revision again for another write.
func (m *Mirror) Confirm(revision uint64) {
	for key, held := range m.records {
		if held.Epoch < m.epoch && held.Revision <= revision {
			held.Epoch = m.epoch
			m.records[key] = held
		}
	}
}

// Rebase begins an epoch that is in no order with the records held: any record of it replaces them.
func (m *Mirror) Rebase(epoch uint64) {
	m.epoch, m.settled = epoch, true
	for key, held := range m.records {
		held.Epoch = 0
		m.records[key] = held
	}
}

// Merge applies records and returns those that were newer than the copy, in the order given.
func (m *Mirror) Merge(records []Record) []Record {
	var updated []Record
	for _, record := range records {
		held, known := m.records[record.Key]
		if !m.Supersedes(record) {
			if known && held.Deleted {
				m.records[record.Key] = held.deleting(record)
			}
			continue
		}
		if known && record.Deleted {
			record = record.deleting(held)
		}
		m.put(held, known, record)
		updated = append(updated, record)
	}
	m.pruneTombstones()
	return updated
}

// Replace applies a listing of every key under a prefix that began at a version, and
// returns the records that changed. Keys that the listing lacks are deleted unless they
// changed later, or are kept for the time after a restore.
func (m *Mirror) Replace(prefix string, listed []Record, at monotonic.Version) []Record {
	present := make(map[string]bool, len(listed))
	for _, record := range listed {
		present[record.Key] = true
	}
	update := slices.Clone(listed)
	for _, held := range m.Select(prefix) {
		if !present[held.Key] && m.removedBy(held, at) {
			update = append(update, Record{Key: held.Key, Epoch: at.Epoch, Revision: at.Revision, Deleted: true})
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
	slices.SortFunc(deleted, func(a, b Record) int { return a.Version().Compare(b.Version()) })
	for _, record := range deleted[:len(deleted)/2] {
		delete(m.records, record.Key)
		m.tombstones--
	}
}
