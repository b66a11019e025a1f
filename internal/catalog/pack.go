package catalog

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/peering"
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

// pack encodes and compresses a record. Configurations consist of many routes that are
// nearly alike: the fastest compression makes a tenth of them.
func (p *packs) pack(record mirror.Record) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, held := p.newest[record.Key]; held && known.revision == record.Revision {
		return known.data, nil
	}
	encoded, err := cbor.Marshal(record)
	if err != nil {
		return nil, &fault.InvalidFrame{Field: "record", Reason: err.Error()}
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, &fault.InvalidFrame{Field: "record", Reason: err.Error()}
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, &fault.InvalidFrame{Field: "record", Reason: err.Error()}
	}
	if err := writer.Close(); err != nil {
		return nil, &fault.InvalidFrame{Field: "record", Reason: err.Error()}
	}
	if p.newest == nil {
		p.newest = map[string]packedRecord{}
	}
	p.newest[record.Key] = packedRecord{revision: record.Revision, data: compressed.Bytes()}
	return compressed.Bytes(), nil
}

// unpack reads a record that pack has written. What unpacks to more than a frame may
// hold is refused.
func unpack(data []byte) (mirror.Record, error) {
	reader := flate.NewReader(bytes.NewReader(data))
	defer func() { _ = reader.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(reader, peering.MaximumFrameBytes+1))
	if err != nil {
		return mirror.Record{}, &fault.InvalidFrame{Field: "packed record", Reason: err.Error()}
	}
	if len(encoded) > peering.MaximumFrameBytes {
		return mirror.Record{}, &fault.InvalidFrame{Field: "packed record", Reason: "too large"}
	}
	var record mirror.Record
	if err := cbor.Unmarshal(encoded, &record); err != nil {
		return mirror.Record{}, &fault.InvalidFrame{Field: "packed record", Reason: err.Error()}
	}
	return record, nil
}
