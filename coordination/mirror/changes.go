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
	last  map[string]uint64
	order []change
	// revisions is the digest of keys and revisions, contents that of keys, revisions and contents.
	revisions digest
	contents  digest
}

// digest is the exclusive or of the hashes that keys contribute.
type digest struct {
	sum       uint64
	keyHashes map[string]uint64
}

// set replaces a key's hash; 0 stands for none.
func (d *digest) set(key string, hash uint64) {
	d.sum ^= d.keyHashes[key] ^ hash
	if hash == 0 {
		delete(d.keyHashes, key)
		return
	}
	d.keyHashes[key] = hash
}

type change struct {
	sequence uint64
	key      string
}

// NewChangeLog returns an empty change log.
func NewChangeLog() *ChangeLog {
	return &ChangeLog{last: map[string]uint64{}, revisions: digest{keyHashes: map[string]uint64{}}, contents: digest{keyHashes: map[string]uint64{}}}
}

// Add appends a changed record to the log. Content identifies what it says, so that two writes that the
// store has given one revision, before and after a restore, are told apart.
func (c *ChangeLog) Add(record Record, content uint64) {
	c.sequence++
	c.last[record.Key] = c.sequence
	c.order = append(c.order, change{sequence: c.sequence, key: record.Key})
	c.updateDigests(record, content)
	if len(c.order) > compactFrom && len(c.order) > 2*len(c.last) {
		c.compact()
	}
}

// compactFrom is the length above which the log is compacted when more than half of
// its entries are superseded.
const compactFrom = 256

// updateDigests replaces a key's hashes in the digests. A deleted key has none, so that a
// peer that never had the key has the same digest.
func (c *ChangeLog) updateDigests(record Record, content uint64) {
	if record.Deleted {
		c.revisions.set(record.Key, 0)
		c.contents.set(record.Key, 0)
		return
	}
	hasher := xxhash.New()
	_, _ = hasher.WriteString(record.Key)
	_, _ = hasher.Write(binary.LittleEndian.AppendUint64(nil, record.Revision))
	c.revisions.set(record.Key, hasher.Sum64())
	_, _ = hasher.Write(binary.LittleEndian.AppendUint64(nil, content))
	c.contents.set(record.Key, hasher.Sum64())
}

func (c *ChangeLog) compact() {
	c.order = slices.DeleteFunc(c.order, func(entry change) bool { return c.last[entry.key] != entry.sequence })
}

// Sequence returns the sequence of the last change.
func (c *ChangeLog) Sequence() uint64 { return c.sequence }

// Digest returns a digest of the keys that are not deleted and their revisions; it is 0 for none.
// Processes that know no epochs compare it.
func (c *ChangeLog) Digest() uint64 { return c.revisions.sum }

// ContentDigest returns a digest of the keys that are not deleted, their revisions and contents; it is
// 0 for none.
func (c *ChangeLog) ContentDigest() uint64 { return c.contents.sum }

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
