// Package blackboard provides typed entries through which the controllers of a
// process exchange state: a controller writes an entry, others read it or watch it
// for changes. Notifications use watermill's in-process pub/sub.
package blackboard

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Key identifies an entry and determines the type of its value.
type Key[T any] struct {
	name string
}

// NewKey returns the key of an entry. The name is also the pub/sub topic, such as
// "configuration.snapshot".
func NewKey[T any](name string) Key[T] { return Key[T]{name: name} }

// Name returns the entry's name.
func (k Key[T]) Name() string { return k.name }

type record struct {
	value    any
	revision uint64
	written  time.Time
}

// Board is a set of entries. It is safe for concurrent use. Values written to
// it must not be changed afterwards.
type Board struct {
	now    func() time.Time
	pubsub *gochannel.GoChannel

	mutex   sync.RWMutex
	entries map[string]record
}

// New returns an empty board; now is the clock for the ages in a dump.
func New(now func() time.Time) *Board {
	return &Board{
		now:     now,
		pubsub:  gochannel.NewGoChannel(gochannel.Config{}, watermill.NopLogger{}),
		entries: map[string]record{},
	}
}

// Close ends all watches.
func (b *Board) Close() { _ = b.pubsub.Close() }

// Write stores a value and notifies the watchers of its key.
func Write[T any](b *Board, key Key[T], value T) {
	b.mutex.Lock()
	revision := b.entries[key.name].revision + 1
	b.entries[key.name] = record{value: value, revision: revision, written: b.now()}
	b.mutex.Unlock()
	// Publish fails only after Close, when there are no watchers.
	_ = b.pubsub.Publish(key.name, message.NewMessage(watermill.NewShortUUID(), nil))
}

// Read returns the newest value of an entry and whether one was ever written.
func Read[T any](b *Board, key Key[T]) (T, bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	value, ok := b.entries[key.name].value.(T)
	return value, ok
}

// Watch returns a channel that receives a value after each change of a named entry.
// Changes in quick succession may be combined into one. The channel closes when
// the context ends.
func (b *Board) Watch(ctx context.Context, names ...string) <-chan struct{} {
	changed := make(chan struct{}, 1)
	var watchers sync.WaitGroup
	for _, name := range names {
		messages, err := b.pubsub.Subscribe(ctx, name)
		if err != nil {
			continue
		}
		watchers.Go(func() { forward(messages, changed) })
	}
	go func() {
		watchers.Wait()
		close(changed)
	}()
	return changed
}

func forward(messages <-chan *message.Message, changed chan<- struct{}) {
	for notification := range messages {
		notification.Ack()
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// DumpedEntry is an entry in a state dump.
type DumpedEntry struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// AgeSeconds is the time since the entry was written.
	AgeSeconds float64 `json:"age_seconds"`
	Value      any     `json:"value"`
}

// Dump returns all entries in order of name.
func (b *Board) Dump() []DumpedEntry {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	now := b.now()
	dump := make([]DumpedEntry, 0, len(b.entries))
	for _, name := range slices.Sorted(maps.Keys(b.entries)) {
		entry := b.entries[name]
		dump = append(dump, DumpedEntry{
			Name:       name,
			Revision:   entry.revision,
			AgeSeconds: now.Sub(entry.written).Seconds(),
			Value:      entry.value,
		})
	}
	return dump
}
