// Package monotonic replicates a versioned set of documents that never reverts
// to an older version. A Feed is a pure state machine: the caller applies updates
// and reads out updates for others; it does no I/O and reads no clock.
package monotonic

import (
	"fmt"
	"maps"
	"slices"
	"sort"
)

// Version orders the states of a publication. Epoch increases when the publishing
// service restarts with smaller revisions.
type Version struct {
	Epoch    uint64 `cbor:"1,keyasint" json:"epoch"`
	Revision uint64 `cbor:"2,keyasint" json:"revision"`
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	switch {
	case v.Epoch < other.Epoch:
		return -1
	case v.Epoch > other.Epoch:
		return 1
	case v.Revision < other.Revision:
		return -1
	case v.Revision > other.Revision:
		return 1
	}
	return 0
}

// IsZero reports whether v is the zero version, which stands for none.
func (v Version) IsZero() bool { return v == Version{} }

func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// Document is one keyed value of a publication.
type Document struct {
	Key  string `cbor:"1,keyasint" json:"key"`
	Data []byte `cbor:"2,keyasint" json:"data"`
}

// Update moves a publication from Base to Version. A zero Base means that
// Changed holds every document.
type Update struct {
	Base    Version    `cbor:"1,keyasint" json:"base"`
	Version Version    `cbor:"2,keyasint" json:"version"`
	Changed []Document `cbor:"3,keyasint" json:"changed"`
	Removed []string   `cbor:"4,keyasint,omitempty" json:"removed,omitempty"`
}

// Outcome is the result of applying an update.
type Outcome int

// The outcomes of Apply.
const (
	// Applied means that the feed moved to the update's version.
	Applied Outcome = iota + 1
	// Stale means that the update is not newer than the feed.
	Stale
	// Gap means that the base of the update is not the feed's version.
	Gap
)

// HistoryLimit is the number of past versions for which a feed can produce deltas.
const HistoryLimit = 64

type change struct {
	version Version
	keys    []string
}

// Feed holds the newest known version of a publication.
type Feed struct {
	version   Version
	documents map[string][]byte
	// history lists the keys changed by each version, oldest first.
	history []change
	// historyBase is the version before the oldest entry of history.
	historyBase Version
	// monotonic is false only in tests that disable the safeguard.
	monotonic bool
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	return &Feed{documents: map[string][]byte{}, monotonic: true}
}

// DisableOrdering makes the feed accept older versions, so that tests can show
// that they detect the fault.
func (f *Feed) DisableOrdering() { f.monotonic = false }

// Version returns the newest version applied.
func (f *Feed) Version() Version { return f.version }

// Documents returns a copy of the map from key to value; values are shared and
// must not be changed.
func (f *Feed) Documents() map[string][]byte { return maps.Clone(f.documents) }

// Apply applies an update, or returns why it can't be applied.
func (f *Feed) Apply(update Update) Outcome {
	if f.monotonic && update.Version.Compare(f.version) <= 0 {
		return Stale
	}
	if update.Base.IsZero() {
		f.replace(update)
		return Applied
	}
	if update.Base != f.version {
		return Gap
	}
	f.advance(update)
	return Applied
}

func (f *Feed) replace(update Update) {
	documents := make(map[string][]byte, len(update.Changed))
	for _, document := range update.Changed {
		documents[document.Key] = document.Data
	}
	changed := differingKeys(f.documents, documents)
	previous := f.version
	f.documents = documents
	f.version = update.Version
	if previous.IsZero() {
		f.history = nil
		f.historyBase = update.Version
		return
	}
	f.appendHistory(change{version: update.Version, keys: changed})
}

func (f *Feed) advance(update Update) {
	keys := make([]string, 0, len(update.Changed)+len(update.Removed))
	for _, document := range update.Changed {
		f.documents[document.Key] = document.Data
		keys = append(keys, document.Key)
	}
	for _, key := range update.Removed {
		delete(f.documents, key)
		keys = append(keys, key)
	}
	f.version = update.Version
	f.appendHistory(change{version: update.Version, keys: keys})
}

func (f *Feed) appendHistory(c change) {
	f.history = append(f.history, c)
	if len(f.history) > HistoryLimit {
		f.historyBase = f.history[0].version
		f.history = slices.Delete(f.history, 0, 1)
	}
}

// Since returns the update from base to the feed's version: a delta when base is
// within the history, else every document. The second result is false when base
// is up to date.
func (f *Feed) Since(base Version) (Update, bool) {
	if base.Compare(f.version) >= 0 {
		return Update{}, false
	}
	keys, known := f.keysChangedSince(base)
	if !known {
		return f.full(), true
	}
	update := Update{Base: base, Version: f.version}
	for _, key := range keys {
		if data, held := f.documents[key]; held {
			update.Changed = append(update.Changed, Document{Key: key, Data: data})
		} else {
			update.Removed = append(update.Removed, key)
		}
	}
	return update, true
}

func (f *Feed) full() Update {
	update := Update{Version: f.version}
	for _, key := range slices.Sorted(maps.Keys(f.documents)) {
		update.Changed = append(update.Changed, Document{Key: key, Data: f.documents[key]})
	}
	return update
}

func (f *Feed) keysChangedSince(base Version) ([]string, bool) {
	start := -1
	if base == f.historyBase && !base.IsZero() {
		start = 0
	}
	for i := range f.history {
		if f.history[i].version == base {
			start = i + 1
		}
	}
	if start < 0 {
		return nil, false
	}
	changed := map[string]struct{}{}
	for _, c := range f.history[start:] {
		for _, key := range c.keys {
			changed[key] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(changed)), true
}

func differingKeys(before, after map[string][]byte) []string {
	var keys []string
	for key, data := range after {
		if old, held := before[key]; !held || !slices.Equal(old, data) {
			keys = append(keys, key)
		}
	}
	for key := range before {
		if _, held := after[key]; !held {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
