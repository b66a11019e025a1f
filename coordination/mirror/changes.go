package mirror

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChangeLog orders the keys of a mirror by their last change, so that what a peer lacks
// is found without looking at every record, and sums up all of them in a digest, so
// that peers that hold the same need not send it to each other. It is not safe for
// concurrent use.
type ChangeLog struct {
	sequence uint64
	// last is the sequence of each key's last change, order all of them by sequence;
	// entries that a later change of the key has replaced stay until compact.
	last   map[string]uint64
	order  []change
	digest uint64
	// summed is what each key adds to the digest.
	summed map[string]uint64
}

type change struct {
	sequence uint64
	key      string
}

// NewChangeLog returns an empty order.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{last: map[string]uint64{}, summed: map[string]uint64{}}
}

// Add notes that a record has changed.
func (c *ChangeLog) Add(record Record) {
	c.sequence++
	c.last[record.Key] = c.sequence
	c.order = append(c.order, change{sequence: c.sequence, key: record.Key})
	c.sum(record)
	if len(c.order) > compactFrom && len(c.order) > 2*len(c.last) {
		c.compact()
	}
}

// compactFrom is the length from which the order is compacted when more than half of
// it is outdated.
const compactFrom = 256

// sum replaces what a key adds to the digest. A deleted key adds nothing: a peer that
// never knew of it holds the same.
func (c *ChangeLog) sum(record Record) {
	c.digest ^= c.summed[record.Key]
	if record.Deleted {
		delete(c.summed, record.Key)
		return
	}
	hasher := xxhash.New()
	_, _ = hasher.WriteString(record.Key)
	_, _ = hasher.Write(binary.LittleEndian.AppendUint64(nil, record.Revision))
	sum := hasher.Sum64()
	c.summed[record.Key] = sum
	c.digest ^= sum
}

func (c *ChangeLog) compact() {
	c.order = slices.DeleteFunc(c.order, func(one change) bool { return c.last[one.key] != one.sequence })
}

// Sequence is that of the last change.
func (c *ChangeLog) Sequence() uint64 { return c.sequence }

// Digest sums up the keys that are not deleted and their revisions; it is 0 for none.
func (c *ChangeLog) Digest() uint64 { return c.digest }

// After lists the keys that have changed after a sequence, by their last change.
func (c *ChangeLog) After(sequence uint64) []string {
	start, _ := slices.BinarySearchFunc(c.order, sequence+1, func(one change, wanted uint64) int {
		return cmp.Compare(one.sequence, wanted)
	})
	var keys []string
	for _, one := range c.order[start:] {
		if c.last[one.key] == one.sequence {
			keys = append(keys, one.key)
		}
	}
	return keys
}
