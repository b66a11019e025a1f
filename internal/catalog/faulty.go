package catalog

import (
	"errors"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

// maxFaultyRecords bounds the faulty records that are remembered, at about 100 KB; further ones are
// only counted. maxReportedFaulty bounds those listed in the state dump.
const (
	maxFaultyRecords  = 512
	maxReportedFaulty = 32
)

// faultyRecords are the server records that are unusable. The catalog's mutex guards it.
type faultyRecords struct {
	// reasons maps the keys of current faulty records to the reason; counts holds the total by
	// fault.
	reasons map[string]string
	counts  map[fault.RecordFault]uint64
}

func newFaultyRecords() faultyRecords {
	return faultyRecords{reasons: map[string]string{}, counts: map[fault.RecordFault]uint64{}}
}

// recordFaulty counts a faulty record, and logs it unless it is known. The mutex must be held.
func (c *Catalog) recordFaulty(key string, revision uint64, err error) {
	kind := fault.RecordUnreadable
	var invalid *fault.InvalidRecord
	if errors.As(err, &invalid) {
		kind = invalid.Fault
	}
	c.faulty.counts[kind]++
	if c.faulty.reasons[key] == err.Error() {
		return
	}
	if _, known := c.faulty.reasons[key]; !known && len(c.faulty.reasons) >= maxFaultyRecords {
		return
	}
	c.faulty.reasons[key] = err.Error()
	c.options.Log.Log(logging.RecordInvalid, zap.String("key", key), zap.Uint64("revision", revision), zap.String("fault", string(kind)), zap.Error(err))
}

// FaultyRecords returns the number of faulty records received, by fault.
func (c *Catalog) FaultyRecords() map[fault.RecordFault]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := map[fault.RecordFault]uint64{fault.RecordUnreadable: 0, fault.RecordIncomplete: 0}
	for kind, count := range c.faulty.counts {
		counts[kind] = count
	}
	return counts
}

// reportedFaulty returns the reasons of some of the current faulty records, by key.
func (c *Catalog) reportedFaulty() map[string]string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reported := map[string]string{}
	for key, reason := range c.faulty.reasons {
		if len(reported) >= maxReportedFaulty {
			break
		}
		reported[key] = reason
	}
	return reported
}
