package catalog

import (
	"pinevane.example/pinevane/coordination/mirror"
)

// recordHead is a large record without its value: what says whether it is newer than another.
type recordHead struct {
	Epoch    uint64 `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint"`
	// Sequence is the number that the writer gave the record.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
}

func headOf(record mirror.Record) recordHead {
	return recordHead{Epoch: record.Epoch, Revision: record.Revision, Sequence: record.Sequence}
}

// record returns the record of a key that the head stands for.
func (h recordHead) record(key string) mirror.Record {
	return mirror.Record{Key: key, Epoch: h.Epoch, Revision: h.Revision, Sequence: h.Sequence}
}

// peerHeads returns the large records of a peer. A process that knows no epochs states their revisions
// only.
func (u update) peerHeads() map[string]recordHead {
	if u.LargeRecords != nil {
		return u.LargeRecords
	}
	heads := make(map[string]recordHead, len(u.Heads))
	for key, revision := range u.Heads {
		heads[key] = recordHead{Revision: revision}
	}
	return heads
}

// headRevisions returns the revisions of the large records held, for processes that know no epochs. The
// mutex must be held.
func (c *Catalog) headRevisions() map[string]uint64 {
	revisions := make(map[string]uint64, len(c.heads))
	for key, head := range c.heads {
		revisions[key] = head.Revision
	}
	return revisions
}
