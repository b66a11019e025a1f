package mirror

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinevane.example/pinevane/coordination/monotonic"
)

// Guards against a restored store whose copy undoes what was acknowledged before: each case is a key that the
// copy shows in a former state, or lacks, until its writer has written again.
func TestCopyOfTheStoreUndoesNothing(t *testing.T) {
	server := func(epoch, revision, sequence uint64, value string) Record {
		return Record{Key: "server", Epoch: epoch, Revision: revision, Incarnation: 100, Sequence: sequence, Value: []byte(value)}
	}
	configuration := func(epoch, revision, version uint64) Record {
		return Record{Key: durablePrefix + "configuration", Epoch: epoch, Revision: revision, Sequence: version, Value: fmt.Append(nil, version, epoch)}
	}
	evacuation := func(epoch, revision uint64) Record {
		return Record{Key: "zone", Epoch: epoch, Revision: revision, Value: []byte("{}")}
	}
	gone := func(record Record, revision uint64) Record {
		return Record{Key: record.Key, Epoch: record.Epoch, Revision: revision, Deleted: true}
	}
	for _, one := range []struct {
		name string
		// before are records of epoch 1, listed what the restored store shows at revision 20.
		before []Record
		listed []Record
		// kept reports whether the last record of before is in force until the epoch is settled, and for good.
		kept    bool
		forGood bool
	}{
		{"a server that leaves is shown as ready", []Record{server(1, 10, 5, "ready"), server(1, 30, 7, "draining")}, []Record{server(2, 10, 5, "ready")}, true, false},
		{"a server that leaves has written again", []Record{server(1, 30, 7, "draining")}, []Record{server(2, 18, 8, "draining")}, false, false},
		{"a server that has ended is listed", []Record{server(1, 10, 5, "ready"), gone(server(1, 0, 0, ""), 30)}, []Record{server(2, 10, 5, "ready")}, true, false},
		{"a server whose record had expired has written again", []Record{server(1, 10, 5, "ready"), gone(server(1, 0, 0, ""), 30)}, []Record{server(2, 18, 9, "ready")}, false, false},
		{"a server born after the copy is missing", []Record{server(1, 30, 1, "ready")}, nil, false, false},
		{"a configuration is shown in a former version", []Record{configuration(1, 30, 8)}, []Record{configuration(2, 10, 5)}, true, true},
		{"a configuration is missing", []Record{configuration(1, 30, 8)}, nil, true, true},
		{"a configuration of the same version has other content", []Record{configuration(1, 30, 8)}, []Record{configuration(2, 18, 8)}, false, false},
		{"a later configuration has been written", []Record{configuration(1, 30, 8)}, []Record{configuration(2, 18, 9)}, false, false},
		{"an evacuation begun after the copy is missing", []Record{evacuation(1, 30)}, nil, true, false},
		{"an evacuation ended after the copy is listed", []Record{evacuation(1, 10), gone(evacuation(1, 0), 30)}, []Record{evacuation(2, 10)}, true, false},
		{"an evacuation ended after the copy has begun again", []Record{evacuation(1, 10), gone(evacuation(1, 0), 30)}, []Record{evacuation(2, 18)}, false, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			m := newMirror()
			m.Merge(one.before)
			last := one.before[len(one.before)-1]
			isLast := func() bool {
				held, known := m.Lookup(last.Key)
				require.True(t, known)
				return held.Epoch == last.Epoch && held.Revision == last.Revision
			}
			m.Advance(2)
			m.Replace("", one.listed, monotonic.Version{Epoch: 2, Revision: 20})
			assert.Equal(t, one.kept, isLast(), "until the epoch is settled")
			m.Settle()
			m.Replace("", one.listed, monotonic.Version{Epoch: 2, Revision: 21})
			assert.Equal(t, one.forGood, isLast(), "for good")
		})
	}
}

// What a process that was cut off still holds from before the restore replaces nothing that the restored
// store shows, whatever its revision, and brings back no key.
func TestRecordsOfAFormerEpochAreIgnored(t *testing.T) {
	m := newMirror()
	m.Advance(2)
	m.Settle()
	m.Merge([]Record{{Key: "a", Epoch: 2, Revision: 3}})
	assert.Empty(t, m.Merge([]Record{{Key: "a", Epoch: 1, Revision: 90, Sequence: 9}, {Key: "lost", Epoch: 1, Revision: 91}}))
	assert.Len(t, m.Merge([]Record{{Key: durablePrefix + "c", Epoch: 1, Revision: 92, Sequence: 4}}), 1, "a durable record is still in force")
	assert.Len(t, m.Merge([]Record{{Key: "a", Epoch: 2, Revision: 4}}), 1)
}

// A confirmed copy is of the present epoch: what others still hold from the lost time replaces nothing in it.
func TestConfirmedCopyKeepsItsRecords(t *testing.T) {
	m := newMirror()
	m.Merge([]Record{{Key: "a", Epoch: 1, Revision: 10}})
	m.Advance(2)
	m.Settle()
	m.Confirm(20)
	assert.Empty(t, m.Merge([]Record{{Key: "a", Epoch: 1, Revision: 30}}))
}

// Guards against what is kept against a restored store and counts as written in its present epoch: the next
// write of its key has a lower revision.
func TestKeptRecordsGiveWayToLaterWrites(t *testing.T) {
	m := newMirror()
	kept, ended := durablePrefix+"kept", "ended"
	m.Merge([]Record{{Key: kept, Epoch: 1, Revision: 39, Sequence: 28}, {Key: ended, Epoch: 1, Revision: 40, Deleted: true}})
	m.Advance(2)
	m.Replace("", nil, monotonic.Version{Epoch: 2, Revision: 20})
	m.Settle()
	m.Replace("", nil, monotonic.Version{Epoch: 2, Revision: 21})
	m.Confirm(21)
	assert.Len(t, m.Merge([]Record{{Key: kept, Epoch: 2, Revision: 22, Sequence: 29}, {Key: ended, Epoch: 2, Revision: 23}}), 2)
}

// After an implausible epoch was replaced, every record of the store counts as newer.
func TestRebasedCopyTakesEveryRecord(t *testing.T) {
	m := newMirror()
	m.Advance(1_000_000_000)
	m.Merge([]Record{{Key: "a", Epoch: 1_000_000_000, Revision: 90}})
	m.Rebase(3)
	assert.Len(t, m.Replace("", []Record{{Key: "a", Epoch: 3, Revision: 2}}, monotonic.Version{Epoch: 3, Revision: 2}), 1)
}

// simulatedStore is a store that may be restored to an earlier state.
type simulatedStore struct {
	epoch    uint64
	revision uint64
	items    map[string]Record
	history  []map[string]Record
}

func (s *simulatedStore) write(record Record) {
	s.history = append(s.history, cloneItems(s.items))
	s.revision++
	record.Epoch, record.Revision = s.epoch, s.revision
	s.items[record.Key] = record
	if record.Deleted {
		delete(s.items, record.Key)
	}
}

// restore returns to the state of some writes ago.
func (s *simulatedStore) restore(writes int) {
	s.epoch++
	s.revision -= uint64(writes)
	s.items = s.history[len(s.history)-writes]
	s.history = s.history[:len(s.history)-writes]
}

// list returns what the store shows, of its present epoch.
func (s *simulatedStore) list() (listed []Record, at monotonic.Version) {
	for _, item := range s.items {
		item.Epoch = s.epoch
		listed = append(listed, item)
	}
	return listed, monotonic.Version{Epoch: s.epoch, Revision: s.revision}
}

func cloneItems(items map[string]Record) map[string]Record {
	clone := make(map[string]Record, len(items))
	for key, item := range items {
		clone[key] = item
	}
	return clone
}

// Copies that learn of restores at different times, from the store or from each other, with updates in any
// order and lost ones, end up with what the store holds; a durable record never goes back in any of them.
func TestCopiesConvergeAfterRestores(t *testing.T) {
	const copies = 3
	rapid.Check(t, func(t *rapid.T) {
		store := &simulatedStore{epoch: 1, items: map[string]Record{}}
		var mirrors [copies]*Mirror
		var epochs [copies]uint64
		for index := range mirrors {
			mirrors[index] = newMirror()
		}
		sequences := map[string]uint64{}
		learn := func(index int, epoch uint64) {
			if epoch > epochs[index] {
				epochs[index] = epoch
				mirrors[index].Advance(epoch)
			}
		}
		list := func(index int) {
			learn(index, store.epoch)
			listed, at := store.list()
			mirrors[index].Replace("", listed, at)
		}
		highest := [copies]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index := rapid.IntRange(0, copies-1).Draw(t, "copy")
			switch rapid.SampledFrom([]string{"write", "write", "read", "tell", "restore"}).Draw(t, "step") {
			case "write":
				key := rapid.SampledFrom([]string{"server", "zone", durablePrefix + "c"}).Draw(t, "key")
				record := Record{Key: key}
				if key != "zone" {
					sequences[key]++
					record.Sequence = sequences[key]
				}
				if key != durablePrefix+"c" && rapid.Bool().Draw(t, "gone") {
					record.Deleted, record.Sequence = true, 0
				}
				store.write(record)
			case "read":
				list(index)
			case "tell":
				to := rapid.IntRange(0, copies-1).Draw(t, "to")
				learn(to, epochs[index])
				all := mirrors[index].All("")
				mirrors[to].Merge(all[:rapid.IntRange(0, len(all)).Draw(t, "told")])
			case "restore":
				if len(store.history) > 0 {
					store.restore(rapid.IntRange(1, min(4, len(store.history))).Draw(t, "lost"))
				}
			}
			for number, one := range mirrors {
				held, _ := one.Get(durablePrefix + "c")
				assert.GreaterOrEqual(t, held.Sequence, highest[number], "a durable record goes back")
				highest[number] = held.Sequence
			}
		}
		exchange := func() {
			for range copies {
				for from := range mirrors {
					for to := range mirrors {
						mirrors[to].Merge(mirrors[from].All(""))
					}
				}
			}
		}
		// The operator writes again what was lost; then the epoch is settled everywhere, one copy is listed
		// anew, and copies are exchanged. A copy that then still differs is listed, too.
		if sequences[durablePrefix+"c"] > 0 {
			store.write(Record{Key: durablePrefix + "c", Sequence: sequences[durablePrefix+"c"]})
		}
		for index := range mirrors {
			learn(index, store.epoch)
			mirrors[index].Settle()
		}
		for index := range mirrors {
			list(index)
			mirrors[index].Confirm(store.revision)
			exchange()
		}
		assertHeld := func() {
			listed, _ := store.list()
			want := map[string]uint64{}
			for _, item := range listed {
				want[item.Key] = item.Revision
			}
			for _, one := range mirrors {
				present := map[string]uint64{}
				for _, held := range one.Select("") {
					present[held.Key] = held.Revision
				}
				assert.Equal(t, want, present)
			}
		}
		assertHeld()
		// Later writes, which one copy watches, reach all.
		for _, key := range []string{"server", "zone", durablePrefix + "c"} {
			sequences[key]++
			store.write(Record{Key: key, Sequence: sequences[key]})
			mirrors[0].Merge([]Record{store.items[key]})
		}
		exchange()
		assertHeld()
	})
}
