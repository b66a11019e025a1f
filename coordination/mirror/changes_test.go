package mirror

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestKeysAreOrderedByTheirLastChange(t *testing.T) {
	changes := NewChangeLog()
	for revision, key := range []string{"a", "b", "a", "c"} {
		changes.Add(Record{Key: key, Revision: uint64(revision + 1)}, 0)
	}
	assert.Equal(t, []string{"b", "a", "c"}, changes.After(0))
	assert.Equal(t, []string{"a", "c"}, changes.After(2))
	assert.Empty(t, changes.After(changes.Sequence()))
}

// Copies with equal records have equal digests, whatever their history; other copies differ.
func TestDigestIdentifiesContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewChangeLog(), NewChangeLog()
		final := map[string]Record{}
		steps := rapid.IntRange(1, 600).Draw(t, "steps")
		for revision := range steps {
			key := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
			record := Record{Key: key, Revision: uint64(revision + 1), Deleted: rapid.Bool().Draw(t, "gone")}
			first.Add(record, 0)
			final[key] = record
		}
		for _, record := range final {
			second.Add(record, 0)
		}
		assert.Equal(t, first.Digest(), second.Digest())
		assert.Len(t, first.After(0), len(final))
		second.Add(Record{Key: "new", Revision: uint64(steps + 1)}, 0)
		assert.NotEqual(t, first.Digest(), second.Digest())
	})
}
