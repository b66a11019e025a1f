package mirror

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pinevane.example/pinevane/coordination/monotonic"
)

// durablePrefix begins the keys of durable records in these tests.
const durablePrefix = "durable/"

func newMirror() *Mirror {
	return New(func(key string) bool { return strings.HasPrefix(key, durablePrefix) })
}

func record(key string, revision uint64) Record {
	return Record{Key: key, Value: fmt.Appendf(nil, "%s@%d", key, revision), Revision: revision}
}

// An update that arrives late from a slower source changes nothing.
func TestOlderRecordIsIgnored(t *testing.T) {
	m := newMirror()
	assert.Len(t, m.Merge([]Record{record("a", 7)}), 1)
	assert.Empty(t, m.Merge([]Record{record("a", 5), record("a", 7)}))
	held, present := m.Get("a")
	assert.True(t, present)
	assert.Equal(t, uint64(7), held.Revision)
}

// A deletion that arrives first is not undone by an older write.
func TestDeletedKeyStaysDeleted(t *testing.T) {
	m := newMirror()
	m.Merge([]Record{{Key: "a", Revision: 9, Deleted: true}})
	m.Merge([]Record{record("a", 8)})
	_, present := m.Get("a")
	assert.False(t, present)
	m.Merge([]Record{record("a", 10)})
	_, present = m.Get("a")
	assert.True(t, present)
}

// A listing deletes the keys it lacks, except those that changed after it began.
func TestListingRemovesWhatItLacks(t *testing.T) {
	m := newMirror()
	m.Merge([]Record{record("s/a", 3), record("s/b", 4), record("s/c", 20), record("other", 1)})
	updated := m.Replace("s/", []Record{record("s/b", 4), record("s/d", 9)}, monotonic.Version{Revision: 10})
	assert.Len(t, updated, 2)
	var keys []string
	for _, held := range m.Select("") {
		keys = append(keys, held.Key)
	}
	assert.Equal(t, []string{"other", "s/b", "s/c", "s/d"}, keys)
}

// Copies that apply the same updates in any order, with repeats, end up equal.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var updates []Record
		for revision := range count {
			update := record(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), uint64(revision+1))
			update.Deleted = rapid.Bool().Draw(t, "gone")
			updates = append(updates, update)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		first, second := newMirror(), newMirror()
		first.Merge(updates)
		for _, index := range random.Perm(count) {
			second.Merge(updates[index : index+1])
			second.Merge(updates[:random.IntN(count)])
		}
		assert.Equal(t, first.All(""), second.All(""))
	})
}

// The number of deleted keys kept is bounded, and present keys are never removed.
func TestDeletedKeysAreBounded(t *testing.T) {
	m := newMirror()
	m.Merge([]Record{record("kept", 1)})
	for index := range 3 * maxTombstones {
		m.Merge([]Record{{Key: fmt.Sprint(index), Revision: uint64(index + 2), Deleted: true}})
	}
	assert.LessOrEqual(t, len(m.All("")), maxTombstones+1)
	_, present := m.Get("kept")
	assert.True(t, present)
}
