package mirror

import "pinevane.example/pinevane/coordination/monotonic"

// Version returns the record's place in the order of the store's writes: within an epoch revisions rise,
// and a restore from a copy begins a later epoch in which they are given out again.
func (r Record) Version() monotonic.Version {
	return monotonic.Version{Epoch: r.Epoch, Revision: r.Revision}
}

// Supersedes reports whether a record would replace the one held of its key.
func (m *Mirror) Supersedes(record Record) bool {
	held, known := m.records[record.Key]
	if !known {
		return m.accepts(record)
	}
	return m.Newer(record, held)
}

// Newer reports whether one record of a key is newer than another.
func (m *Mirror) Newer(record, held Record) bool {
	switch {
	case record.Epoch == held.Epoch:
		return record.Revision > held.Revision
	case record.Epoch > held.Epoch:
		return m.precedes(held, record)
	}
	return !m.precedes(record, held)
}

// accepts reports whether the record of an unknown key is taken. Once an epoch is settled, an earlier
// record of an unknown key is one that the store has lost.
func (m *Mirror) accepts(record Record) bool {
	return record.Epoch >= m.epoch || !m.settled || m.isDurable(record.Key)
}

// precedes reports whether, of two records of one key from different epochs, the one of the older epoch
// gives way to the one of the newer epoch.
//
// The newer one may be a former state of the key, which the restored copy shows until its writer has written
// again. While the epoch is not settled, what the older one says is kept where the two are known to be in the
// opposite order: by the number that their writer gave them, or because the older one deleted
// exactly the newer one. Durable records are in the order of their writer for good.
func (m *Mirror) precedes(older, newer Record) bool {
	switch {
	case m.isDurable(newer.Key):
		return newer.Sequence >= older.Sequence
	case m.settled || newer.Deleted:
		return true
	case older.Deleted && older.DeletedRevision == newer.Revision:
		return false
	case older.Incarnation != newer.Incarnation && older.Incarnation != 0 && newer.Incarnation != 0:
		return newer.Incarnation > older.Incarnation
	case older.Sequence == 0 || newer.Sequence == 0:
		return true
	case older.Deleted:
		return newer.Sequence > older.Sequence
	}
	return newer.Sequence >= older.Sequence
}

// removedBy reports whether a listing that lacks a held record removes it.
//
// A restored copy lacks what was written after it was made. A record that its writer repeats (one with a
// sequence) will be back if the writer lives. Others stay until the epoch is settled, and
// durable ones until their writer says otherwise.
func (m *Mirror) removedBy(held Record, listed monotonic.Version) bool {
	switch {
	case held.Epoch == listed.Epoch:
		return held.Revision < listed.Revision
	case held.Epoch > listed.Epoch || m.isDurable(held.Key):
		return false
	}
	return m.settled || held.Sequence != 0
}

// deleting returns a deletion with what is known of the record that it deleted: the latest one before it.
func (r Record) deleting(other Record) Record {
	revision := other.Revision
	if other.Deleted {
		revision = other.DeletedRevision
	}
	if other.Epoch > r.Epoch || revision <= r.DeletedRevision || (other.Epoch == r.Epoch && revision >= r.Revision) {
		return r
	}
	r.DeletedRevision, r.Incarnation, r.Sequence = revision, other.Incarnation, other.Sequence
	return r
}
