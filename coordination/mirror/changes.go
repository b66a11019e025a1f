package mirror

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChangeLog orders the keys of a mirror by their last change, so that the records that
// a peer lacks are found without a scan of all records. It also keeps a digest of all
// records, so that peers with equal records need not send them to each other. It is not
// safe for concurrent use.
type ChangeLog struct {
	sequence uint64
	// last is the sequence of each key's last change. order lists the changes by sequence;
	// entries superseded by a later change of the key stay until compact.
	last   map[string]uint64
	order  []change
	digest uint64
	// keyHashes holds the hash that each key contributes to the digest.
	keyHashes map[string]uint64
}

type change struct {
	sequence uint64
	key      string
}

// NewChangeLog returns an empty change log.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{last: map[string]uint64{}, keyHashes: map[string]uint64{}}
}

// Add appends a changed record to the log.
func (c *ChangeLog) Add(record Record) {
	c.sequence++
	c.last[record.Key] = c.sequence
	c.order = append(c.order, change{sequence: c.sequence, key: record.Key})
	c.updateDigest(record)
	if len(c.order) > compactFrom && len(c.order) > 2*len(c.last) {
		c.compact()
	}
}

// compactFrom is the length above which the log is compacted when more than half of
// its entries are superseded.
const compactFrom = 256

// updateDigest replaces a key's hash in the digest. A deleted key has none, so that a
// peer that never had the key has the same digest.
func (c *ChangeLog) updateDigest(record Record) {
	c.digest ^= c.keyHashes[record.Key]
	if record.Deleted {
		delete(c.keyHashes, record.Key)
		return
	}
	hasher := xxhash.New()
	_, _ = hasher.WriteString(record.Key)
	_, _ = hasher.Write(binary.LittleEndian.AppendUint64(nil, record.Revision))
	sum := hasher.Sum64()
	c.keyHashes[record.Key] = sum
	c.digest ^= sum
}

func (c *ChangeLog) compact() {
	c.order = slices.DeleteFunc(c.order, func(entry change) bool { return c.last[entry.key] != entry.sequence })
}

// Sequence returns the sequence of the last change.
func (c *ChangeLog) Sequence() uint64 { return c.sequence }

// Digest returns a digest of the keys that are not deleted and their revisions; it is 0 for none.
func (c *ChangeLog) Digest() uint64 { return c.digest }

// After returns the keys that have changed after a sequence, ordered by their last change.
func (c *ChangeLog) After(sequence uint64) []string {
	start, _ := slices.BinarySearchFunc(c.order, sequence+1, func(entry change, target uint64) int {
		return cmp.Compare(entry.sequence, target)
	})
	var keys []string
	for _, entry := range c.order[start:] {
		if c.last[entry.key] == entry.sequence {
			keys = append(keys, entry.key)
		}
	}
	return keys
}
