package catalog

import (
	"sync"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/compression"
)

// packs compresses large records. The newest form of each key is kept, because a record
// that has changed is asked for by many at the same time.
type packs struct {
	mutex  sync.Mutex
	newest map[string]packedRecord
}

type packedRecord struct {
	revision uint64
	data     []byte
}

// pack encodes and compresses a record; compression.Decode reads it.
func (p *packs) pack(record mirror.Record) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, held := p.newest[record.Key]; held && known.revision == record.Revision {
		return known.data, nil
	}
	data, err := compression.Encode(record)
	if err != nil {
		return nil, err
	}
	if p.newest == nil {
		p.newest = map[string]packedRecord{}
	}
	p.newest[record.Key] = packedRecord{revision: record.Revision, data: data}
	return data, nil
}
