package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicHealth carries what entries have found out of servers, within a zone.
const topicHealth = "server.health"

// Bounds of what is held of servers' health.
const (
	// healthMemory is how long a word is kept for entries that are linked later: as long as an
	// ejection and its trials usually last.
	healthMemory = 10 * time.Second
	// mostHealthWords bounds the words held; the oldest go first.
	mostHealthWords = 2048
)

// toldHealth is an entry's word on a server as it is passed on.
type toldHealth struct {
	Server   string  `cbor:"1,keyasint"`
	Entry    string  `cbor:"2,keyasint"`
	Ejected  bool    `cbor:"3,keyasint,omitempty"`
	Returned bool    `cbor:"4,keyasint,omitempty"`
	Trying   bool    `cbor:"5,keyasint,omitempty"`
	Evidence float32 `cbor:"6,keyasint,omitempty"`
	Round    int     `cbor:"7,keyasint,omitempty"`
	Failed   float32 `cbor:"8,keyasint,omitempty"`
	Served   float32 `cbor:"9,keyasint,omitempty"`
	// The spans count from when the word was said, which AgeMilliseconds tells.
	SinceMilliseconds   int64 `cbor:"10,keyasint,omitempty"`
	ChangedMilliseconds int64 `cbor:"11,keyasint,omitempty"`
	LeftMilliseconds    int64 `cbor:"12,keyasint,omitempty"`
	AgeMilliseconds     int64 `cbor:"13,keyasint,omitempty"`
	Mute                bool  `cbor:"14,keyasint,omitempty"`
	// Those below are 0 if there was nothing of the kind lately.
	AnsweredMilliseconds int64 `cbor:"16,keyasint,omitempty"`
	TriedMilliseconds    int64 `cbor:"17,keyasint,omitempty"`
	// Number orders the words of one entry.
	Number uint64 `cbor:"15,keyasint"`
}

// healthBatch is what one entry passes on at once.
type healthBatch struct {
	Words []toldHealth `cbor:"1,keyasint"`
}

// heldHealth is the newest word of an entry on a server.
type heldHealth = heldWord[health.Word]

// HealthFunction is told what another entry of the zone has said of a server, and when.
type HealthFunction func(word health.Word, at time.Time)

// healthWords are what the zone's entries have said of servers. The catalog's mutex guards it.
type healthWords struct {
	heldWords[health.Word]
	onWord HealthFunction
}

func newHealthWords(started time.Time) healthWords {
	return healthWords{heldWords: newHeldWords[health.Word](started, healthMemory, mostHealthWords)}
}

// OnHealth registers a function that is called with each word of another entry. It must be
// registered before Run.
func (c *Catalog) OnHealth(function HealthFunction) { c.health.onWord = function }

// AnnounceHealth has the zone's other entries told what this one has found out at a time, at the next pace.
func (c *Catalog) AnnounceHealth(words []health.Word, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for _, word := range words {
		c.holdHealth(heldHealth{word: word, at: at, number: c.health.nextNumber()}, now)
	}
}

// holdHealth keeps a word if it is newer than the one held; the mutex is held.
func (c *Catalog) holdHealth(fresh heldHealth, now time.Time) bool {
	return c.health.hold(wordKey{entry: fresh.word.Entry, server: fresh.word.Server}, fresh, now)
}

func (c *Catalog) handleHealth(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[healthBatch](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	if link.Remote().Zone != c.options.Zone {
		return
	}
	now := time.Now()
	var fresh []heldHealth
	c.mutex.Lock()
	for _, told := range batch.Words {
		held, err := told.checked(now)
		if err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
			continue
		}
		if told.Entry != c.options.Self && c.holdHealth(held, now) {
			fresh = append(fresh, held)
		}
	}
	c.mutex.Unlock()
	if c.health.onWord == nil {
		return
	}
	for _, held := range fresh {
		c.health.onWord(held.word, held.at)
	}
}

// longestMilliseconds keeps the spans of words within what a time.Duration holds.
const longestMilliseconds = int64(health.LongestSpan / time.Millisecond)

// checked is a word that was received at a time, if it can be meant: one faulty word does not cost
// the others of its message.
func (t toldHealth) checked(now time.Time) (heldHealth, error) {
	for _, one := range []struct {
		field        string
		milliseconds int64
		least        int64
	}{
		{"since", t.SinceMilliseconds, 0}, {"changed", t.ChangedMilliseconds, 0}, {"age", t.AgeMilliseconds, 0},
		{"answered", t.AnsweredMilliseconds, 0}, {"tried", t.TriedMilliseconds, 0},
		{"left", t.LeftMilliseconds, -longestMilliseconds},
	} {
		if one.milliseconds < one.least || one.milliseconds > longestMilliseconds {
			return heldHealth{}, &fault.InvalidFrame{Field: topicHealth, Reason: fmt.Sprintf("%s of %d ms", one.field, one.milliseconds)}
		}
	}
	held := t.held(now)
	return held, held.word.Check()
}

// held is a word that was received at a time.
func (t toldHealth) held(now time.Time) heldHealth {
	span := func(milliseconds int64) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
	return heldHealth{
		at: now.Add(-span(t.AgeMilliseconds)), number: t.Number,
		word: health.Word{
			Server: t.Server, Entry: t.Entry, Ejected: t.Ejected, Returned: t.Returned, Trying: t.Trying, Mute: t.Mute, Evidence: float64(t.Evidence),
			Failed: float64(t.Failed), Served: float64(t.Served),
			Round: t.Round, Since: span(t.SinceMilliseconds), Changed: span(t.ChangedMilliseconds), Left: span(t.LeftMilliseconds),
			Answered: span(t.AnsweredMilliseconds), Tried: span(t.TriedMilliseconds),
		},
	}
}

// toldHealthOf is a word as it is passed on at a time.
func toldHealthOf(h heldHealth, now time.Time) toldHealth {
	return toldHealth{
		Server: h.word.Server, Entry: h.word.Entry, Ejected: h.word.Ejected, Returned: h.word.Returned, Trying: h.word.Trying, Mute: h.word.Mute,
		Evidence: float32(h.word.Evidence), Failed: float32(h.word.Failed), Served: float32(h.word.Served), Round: h.word.Round, SinceMilliseconds: h.word.Since.Milliseconds(),
		ChangedMilliseconds: h.word.Changed.Milliseconds(), LeftMilliseconds: h.word.Left.Milliseconds(),
		AnsweredMilliseconds: h.word.Answered.Milliseconds(), TriedMilliseconds: h.word.Tried.Milliseconds(),
		AgeMilliseconds: now.Sub(h.at).Milliseconds(), Number: h.number,
	}
}

// passHealth sends each linked entry of the zone the words that it has not been told. What
// others have said is passed on by relays alone: every entry is linked to each of them.
func (c *Catalog) passHealth() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.health.expire(now)
	isRelay := c.isRelay()
	for _, peer := range c.links {
		if !peer.isEntry() || peer.zone() != c.options.Zone || peer.tellingHealth || peer.healthTold == c.health.sequence {
			continue
		}
		words := c.healthFor(peer, isRelay, now)
		peer.healthTold = c.health.sequence
		if len(words) > 0 {
			peer.tellingHealth = true
			go c.sendHealth(peer, peer.link, words)
		}
	}
}

// healthFor lists the words that an entry is to be told; the mutex is held.
func (c *Catalog) healthFor(peer *peerLink, isRelay bool, now time.Time) []toldHealth {
	var words []toldHealth
	for _, held := range c.health.untold(peer.healthTold, peer.ip, c.options.Self, isRelay) {
		words = append(words, toldHealthOf(held, now))
	}
	slices.SortFunc(words, func(a, b toldHealth) int { return int(b.AgeMilliseconds - a.AgeMilliseconds) })
	return words
}

func (c *Catalog) sendHealth(peer *peerLink, link *peering.Link, words []toldHealth) {
	c.sent(peer, link, &peer.tellingHealth, peering.Send(link, topicHealth, "", healthBatch{Words: words}))
}
