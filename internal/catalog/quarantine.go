package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicQuarantine carries what entries have found out of contents that end servers, to every process.
// Agents decide nothing by it: they hold it for entries that start when all others are gone.
const topicQuarantine = "quarantine.words"

// Bounds of messages and words.
const (
	// wordsPerMessage keeps a message within 100 KB, which a link of 7.3 Mbit/s passes in 0.1 s.
	wordsPerMessage = 32
	// longestWordTime bounds the spans of words: no quarantine lasts longer, and no word is held for
	// twice as long.
	longestWordTime = 48 * time.Hour
	// mostWordServers bounds the ended servers that a quarantine names.
	mostWordServers = 16
)

// toldContent is the identity of a content.
type toldContent struct {
	ID     []byte `cbor:"1,keyasint"`
	Caller uint64 `cbor:"2,keyasint"`
}

// toldSuspect is a content that was under way at a server when that ended, and how long before it was
// sent there.
type toldSuspect struct {
	Content            toldContent `cbor:"1,keyasint"`
	BeforeMilliseconds int64       `cbor:"2,keyasint"`
}

// toldWord is a word as it is passed on; quarantine.Word tells what the fields mean.
type toldWord struct {
	Kind              int           `cbor:"1,keyasint"`
	Entry             string        `cbor:"2,keyasint"`
	Number            uint64        `cbor:"3,keyasint"`
	AgeMilliseconds   int64         `cbor:"4,keyasint"`
	Server            string        `cbor:"5,keyasint,omitempty"`
	Suspects          []toldSuspect `cbor:"6,keyasint,omitempty"`
	Content           *toldContent  `cbor:"7,keyasint,omitempty"`
	Lifts             bool          `cbor:"8,keyasint,omitempty"`
	Servers           []string      `cbor:"9,keyasint,omitempty"`
	Round             int           `cbor:"10,keyasint,omitempty"`
	LastsMilliseconds int64         `cbor:"11,keyasint,omitempty"`
}

// quarantineBatch is what a process passes on at once.
type quarantineBatch struct {
	Words []toldWord `cbor:"1,keyasint"`
}

// QuarantineFunction is told what another process has found out. The word's moment counts from a time.
type QuarantineFunction func(word quarantine.Word, from time.Time)

// quarantineWords are the words of all entries. The catalog's mutex guards the archive.
type quarantineWords struct {
	archive *quarantine.Archive
	onWord  QuarantineFunction
	// fresh is signalled when there is something to pass on.
	fresh chan struct{}
}

func newQuarantineWords() quarantineWords {
	return quarantineWords{archive: quarantine.NewArchive(), fresh: make(chan struct{}, 1)}
}

// OnQuarantine registers a function that is called with each word of another process. It must be
// registered before Run.
func (c *Catalog) OnQuarantine(function QuarantineFunction) { c.quarantine.onWord = function }

// AnnounceQuarantine has all other processes told at once what this one has found out. The words' moments
// count from a time.
func (c *Catalog) AnnounceQuarantine(words []quarantine.Word, from time.Time) {
	c.mutex.Lock()
	for _, word := range words {
		word.At += from.Sub(c.started)
		c.quarantine.archive.Hold(word, time.Since(c.started))
	}
	c.mutex.Unlock()
	c.passQuarantineSoon()
}

func (c *Catalog) passQuarantineSoon() { signal(c.quarantine.fresh) }

func (c *Catalog) handleQuarantine(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[quarantineBatch](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	now := time.Since(c.started)
	var news []quarantine.Word
	for _, told := range batch.Words {
		word, err := told.checked(now)
		if err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
			continue
		}
		c.mutex.Lock()
		if c.quarantine.archive.Hold(word, now) {
			news = append(news, word)
		}
		c.mutex.Unlock()
	}
	if len(news) == 0 {
		return
	}
	c.passQuarantineSoon()
	if c.quarantine.onWord == nil {
		return
	}
	for _, word := range news {
		c.quarantine.onWord(word, c.started)
	}
}

// checked is a word that was received at a moment, if it can be meant: one faulty word does not cost
// the others of its message.
func (t toldWord) checked(now time.Duration) (quarantine.Word, error) {
	word := quarantine.Word{
		Kind: quarantine.Kind(t.Kind), Entry: t.Entry, Number: t.Number, Server: t.Server, Lifts: t.Lifts, Servers: t.Servers, Round: t.Round,
	}
	for _, one := range []struct {
		field        string
		milliseconds int64
		target       *time.Duration
	}{{"age", t.AgeMilliseconds, &word.At}, {"lasts", t.LastsMilliseconds, &word.Lasts}} {
		if one.milliseconds < 0 || one.milliseconds > longestWordTime.Milliseconds() {
			return word, &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("%s of %d ms", one.field, one.milliseconds)}
		}
		*one.target = time.Duration(one.milliseconds) * time.Millisecond
	}
	word.At = now - word.At
	switch {
	case t.Entry == "" || t.Round < 0 || len(t.Servers) > mostWordServers:
		return word, &fault.InvalidFrame{Field: topicQuarantine, Reason: "no teller, a round below 0 or too many servers"}
	case word.Kind == quarantine.Ended:
		return word, t.readSuspects(&word)
	case word.Kind == quarantine.Cleared || word.Kind == quarantine.Quarantined:
		if t.Content == nil {
			return word, &fault.InvalidFrame{Field: topicQuarantine, Reason: "no content"}
		}
		return word, t.Content.read(&word.Content)
	}
	return word, &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("kind %d", t.Kind)}
}

// readSuspects reads the contents of an end.
func (t toldWord) readSuspects(word *quarantine.Word) error {
	if t.Server == "" || len(t.Suspects) > quarantine.MostSuspects {
		return &fault.InvalidFrame{Field: topicQuarantine, Reason: "an end without a server, or with too many contents"}
	}
	for _, told := range t.Suspects {
		var one quarantine.Suspect
		if err := told.Content.read(&one.Content); err != nil {
			return err
		}
		if told.BeforeMilliseconds < 0 || told.BeforeMilliseconds > longestWordTime.Milliseconds() {
			return &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("sent %d ms before", told.BeforeMilliseconds)}
		}
		one.Before = time.Duration(told.BeforeMilliseconds) * time.Millisecond
		word.Suspects = append(word.Suspects, one)
	}
	return nil
}

func (t toldContent) read(content *quarantine.Content) error {
	if len(t.ID) != quarantine.ContentSize {
		return &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("a content of %d bytes", len(t.ID))}
	}
	copy(content.ID[:], t.ID)
	content.Caller = t.Caller
	return nil
}

func toldContentOf(content quarantine.Content) toldContent {
	return toldContent{ID: content.ID[:], Caller: content.Caller}
}

// toldWordOf is a word as it is passed on at a moment.
func toldWordOf(word quarantine.Word, now time.Duration) toldWord {
	told := toldWord{
		Kind: int(word.Kind), Entry: word.Entry, Number: word.Number, AgeMilliseconds: max(0, now-word.At).Milliseconds(), Server: word.Server, Lifts: word.Lifts,
		Servers: word.Servers, Round: word.Round, LastsMilliseconds: word.Lasts.Milliseconds(),
	}
	for _, one := range word.Suspects {
		told.Suspects = append(told.Suspects, toldSuspect{Content: toldContentOf(one.Content), BeforeMilliseconds: one.Before.Milliseconds()})
	}
	if word.Kind != quarantine.Ended {
		content := toldContentOf(word.Content)
		told.Content = &content
	}
	return told
}

// passQuarantine sends each linked process the words that it has not been told. What others have said
// is passed on by relays alone: every entry is linked to each of its zone, and they to other zones and
// to the agents.
func (c *Catalog) passQuarantine() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Since(c.started)
	c.quarantine.archive.Expire(now)
	sequence := c.quarantine.archive.Sequence()
	isRelay := c.isRelay()
	for _, peer := range c.links {
		if peer.link == nil || peer.tellingQuarantine || peer.quarantineTold == sequence {
			continue
		}
		words := c.quarantineFor(peer, isRelay, now)
		peer.quarantineTold = sequence
		if len(words) > 0 {
			peer.tellingQuarantine = true
			go c.sendQuarantine(peer, peer.link, words)
		}
	}
}

// quarantineFor lists the words that a process is to be told; the mutex is held.
func (c *Catalog) quarantineFor(peer *peerLink, isRelay bool, now time.Duration) []toldWord {
	var words []toldWord
	for _, word := range c.quarantine.archive.Since(peer.quarantineTold) {
		if word.Entry == c.options.Self || isRelay {
			words = append(words, toldWordOf(word, now))
		}
	}
	return words
}

func (c *Catalog) sendQuarantine(peer *peerLink, link *peering.Link, words []toldWord) {
	err := sendWords(link, words)
	c.sent(peer, link, &peer.tellingQuarantine, err)
	// There may be news that came meanwhile.
	c.passQuarantineSoon()
}

func sendWords(link *peering.Link, words []toldWord) error {
	for batch := range slices.Chunk(words, wordsPerMessage) {
		if err := peering.Send(link, topicQuarantine, "", quarantineBatch{Words: batch}); err != nil {
			return err
		}
	}
	return nil
}

// greetQuarantine has an agent tell an entry that has linked to it what it holds: the entry may have
// just started, and all others be gone.
func (c *Catalog) greetQuarantine(link *peering.Link) {
	if c.options.Role != RoleAgent || link.Remote().Role != RoleEntry {
		return
	}
	c.mutex.Lock()
	now := time.Since(c.started)
	c.quarantine.archive.Expire(now)
	var words []toldWord
	for _, word := range c.quarantine.archive.Since(0) {
		words = append(words, toldWordOf(word, now))
	}
	c.mutex.Unlock()
	if len(words) == 0 {
		return
	}
	go func() {
		if err := sendWords(link, words); err != nil {
			// The entry is told when it links again.
			c.options.Log.Log(logging.PeerLost, zap.String("peer", link.Remote().ID), zap.Error(err))
		}
	}()
}
