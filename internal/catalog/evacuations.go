package catalog

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/logging"
)

// applyEvacuation applies the evacuation of a zone, or its end. A faulty record that names a zone
// is in force: it can only have been written to empty that zone.
func (c *Catalog) applyEvacuation(next *View, record mirror.Record) {
	evacuation, err := c.options.Decoder.Evacuation(record)
	if err != nil {
		c.options.Log.Log(logging.EvacuationInvalid, zap.String("key", record.Key), zap.Uint64("revision", record.Revision), zap.Error(err))
	}
	if evacuation.Zone == "" {
		return
	}
	evacuations := maps.Clone(next.Evacuations)
	if evacuations == nil {
		evacuations = map[string]time.Time{}
	}
	next.Evacuations = evacuations
	if record.Deleted {
		delete(evacuations, evacuation.Zone)
		return
	}
	if _, known := c.options.Zones[evacuation.Zone]; !known {
		c.options.Log.Log(logging.EvacuationInvalid, zap.String("key", record.Key), zap.Uint64("revision", record.Revision),
			zap.String("unknown_zone", evacuation.Zone))
	}
	if _, known := evacuations[evacuation.Zone]; !known {
		evacuations[evacuation.Zone] = time.Now()
	}
}
