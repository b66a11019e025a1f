package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// headerEpoch states in every answer how often the store has been restored from a copy.
const headerEpoch = "Store-Era"

// firstEpoch is the epoch of a store that was never restored.
const firstEpoch = 1

// timedWrite is a write with its time, from which an earlier state of the store is rebuilt.
type timedWrite struct {
	record record
	at     time.Time
}

// Restore returns the store to its state of some time ago and returns the writes that are lost, the
// last one of each key. Revisions go on from that state's, so that those of lost writes are given out again;
// watches from a revision beyond it get 410, and the epoch rises.
func (s *Store) Restore(age time.Duration) []LostWrite {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	until := time.Now().Add(-age)
	kept, _ := slices.BinarySearchFunc(s.writes, until, func(write timedWrite, until time.Time) int { return write.at.Compare(until) })
	lost := lastOfEachKey(s.writes[kept:])
	s.writes, s.restoredWrites = s.writes[:kept], kept
	s.items, s.history, s.revision = map[string]record{}, nil, 0
	for _, write := range s.writes {
		s.revision = write.record.Revision
		s.history = append(s.history, write.record)
		s.setItem(write.record)
	}
	for _, write := range lost {
		delete(s.heartbeats, write.Key)
	}
	s.compactedTo = min(s.compactedTo, s.revision)
	s.epoch++
	s.notifyWatches()
	return lost
}

// LostWrite is a write that the store has lost in a restore.
type LostWrite struct {
	Key string
	// Value is nil for a deletion.
	Value []byte
}

func lastOfEachKey(writes []timedWrite) []LostWrite {
	var lost []LostWrite
	for _, write := range writes {
		lost = slices.DeleteFunc(lost, func(earlier LostWrite) bool { return earlier.Key == write.record.Key })
		lost = append(lost, LostWrite{Key: write.record.Key, Value: write.record.Value})
	}
	return lost
}

// Rewrite writes again what was lost, as its writers do after a restore, but for keys that have been
// written since.
func (s *Store) Rewrite(lost []LostWrite) {
	s.mutex.Lock()
	since := map[string]bool{}
	for _, write := range s.writes[min(s.restoredWrites, len(s.writes)):] {
		since[write.record.Key] = true
	}
	s.mutex.Unlock()
	for _, write := range lost {
		if !since[write.Key] {
			s.write(record{Key: write.Key, Value: write.Value, Removed: write.Value == nil})
		}
	}
}

// SetStatesEpoch sets whether answers state the epoch.
func (s *Store) SetStatesEpoch(states bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hidesEpoch = !states
}

// SetEpoch makes the store state another epoch.
func (s *Store) SetEpoch(epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.epoch = epoch
}

// SetQuietHeartbeats sets whether a server's heartbeat that changes nothing but its sequence leaves the
// revision as it is, as it does at the users' store, and causes no event.
func (s *Store) SetQuietHeartbeats(quiet bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.quietHeartbeats = quiet
}

// PutHeartbeat writes a server's record. Content is the record without its sequence.
func (s *Store) PutHeartbeat(key string, value map[string]any, content string) {
	s.mutex.Lock()
	held, listed := s.items[key]
	if s.quietHeartbeats && listed && s.heartbeats[key] == content {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		held.Value = data
		s.items[key] = held
		s.mutex.Unlock()
		return
	}
	s.heartbeats[key] = content
	s.mutex.Unlock()
	s.Put(key, value)
}

// stateEpoch sets the header of the epoch. The mutex must be held.
func (s *Store) stateEpoch(header http.Header) {
	if !s.hidesEpoch {
		header.Set(headerEpoch, strconv.FormatUint(s.epoch, 10))
	}
}
