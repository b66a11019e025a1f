package catalog

import (
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// OlderRecords returns how many records from the store were older than the ones held.
func (c *Catalog) OlderRecords() uint64 { return c.olderRecords.Load() }

// observeEpoch records the epoch that an answer of the store states.
func (c *Catalog) observeEpoch(answer fleet.Listing) {
	if answer.EpochFault != nil {
		c.options.Log.Log(logging.StoreEpochInvalid, zap.Error(answer.EpochFault))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer.Epoch == 0 || answer.Epoch == c.epoch {
		return
	}
	if c.epoch != 0 {
		c.options.Log.Log(logging.StoreRestored, zap.Uint64("before", c.epoch), zap.Uint64("now", answer.Epoch),
			zap.Uint64("complete_revision", c.completeRevision))
	}
	c.epoch = answer.Epoch
}

// reportOlder counts and logs the records of a store's answer that are older than the ones held.
func (c *Catalog) reportOlder(answer fleet.Listing) {
	c.mutex.Lock()
	var older []mirror.Record
	var held mirror.Record
	for _, record := range answer.Records {
		if present, known := c.mirror.Lookup(record.Key); known && present.Revision > record.Revision {
			if len(older) == 0 {
				held = present
			}
			older = append(older, record)
		}
	}
	c.mutex.Unlock()
	if len(older) == 0 {
		return
	}
	c.olderRecords.Add(uint64(len(older)))
	c.options.Log.Log(logging.OlderRecordsIgnored, zap.Int("records", len(older)), zap.String("key", older[0].Key),
		zap.Uint64("held", held.Revision), zap.Uint64("offered", older[0].Revision), zap.Uint64("answer_revision", answer.Revision))
}
