package catalog

import (
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/compression"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Messages that grow with the number of servers are compressed for processes that can read that:
// agents' status reports, most of what an entry receives, are alike, and so are the records of
// servers, all of which a process that has lost everything is sent by each of its relays.

// Versions of the protocol between processes. Each version reads the earlier ones.
const (
	// packingProtocol reads statusBatch.Packed and update.Bundle.
	packingProtocol = 1
	// epochProtocol states the store's epoch in update and pullRequest.
	epochProtocol = 2
	// ProtocolVersion is the version that processes of this build announce in peering.Hello.
	ProtocolVersion = epochProtocol
)

// readsPacked reports whether the peer of a link reads compressed messages.
func readsPacked(link *peering.Link) bool {
	return link != nil && link.Remote().Protocol >= packingProtocol
}

// minPackedStatuses is the number of status reports from which compression makes a batch smaller.
const minPackedStatuses = 3

// pack returns the batch in the form for peers that read compressed messages.
func (b statusBatch) pack() (statusBatch, error) {
	if len(b.Statuses) < minPackedStatuses {
		return b, nil
	}
	packed, err := compression.Encode(b.Statuses)
	return statusBatch{Packed: packed}, err
}

// unpack returns the status reports of a batch in either form.
func (b statusBatch) unpack() ([]statusMessage, error) {
	if len(b.Packed) == 0 {
		return b.Statuses, nil
	}
	return compression.Decode[[]statusMessage](b.Packed)
}

// minBundledRecords is the number of records from which they are compressed together.
const minBundledRecords = 8

// bundle is the compressed form of the records changed after one sequence and up to another. It is
// cached, because all links of an entry that starts or reconnects are sent the same records.
type bundle struct {
	after    uint64
	sequence uint64
	packed   []byte
}

// addRecords adds the records changed after a sequence to an update for a link. The mutex must be
// held.
func (c *Catalog) addRecords(message *update, link *peering.Link, after uint64, records []mirror.Record) {
	if len(records) < minBundledRecords || !readsPacked(link) {
		message.Records = records
		return
	}
	if sequence := c.changes.Sequence(); c.lastBundle.packed == nil || c.lastBundle.after != after || c.lastBundle.sequence != sequence {
		packed, err := compression.Encode(records)
		if err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.Error(err))
			message.Records = records
			return
		}
		c.lastBundle = bundle{after: after, sequence: sequence, packed: packed}
	}
	message.Bundle = c.lastBundle.packed
}

// unbundle returns the records of an update in either form.
func (u *update) unbundle() ([]mirror.Record, error) {
	if len(u.Bundle) == 0 {
		return u.Records, nil
	}
	bundled, err := compression.Decode[[]mirror.Record](u.Bundle)
	return append(u.Records, bundled...), err
}
