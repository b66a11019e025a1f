package catalog

import (
	"fmt"
	"math"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicAsks carries what servers have asked of entries in their answers, from these to all others: an
// entry leaves a server alone that has told another one to, and one that starts knows it before it has had an answer.
const topicAsks = "server.asks"

// Bounds of what is held of servers' wishes.
const (
	// askMemory is how long a word is kept for entries that are linked later; words that hold are told
	// again within it.
	askMemory = 10 * time.Minute
	// mostAsks bounds the words held; the oldest go first.
	mostAsks = 2048
)

// toldAsk is an entry's word on what a server asks, as it is passed on; dispatch.Ask tells what the fields
// mean.
type toldAsk struct {
	Server string `cbor:"1,keyasint"`
	Entry  string `cbor:"2,keyasint"`
	// Number orders the words of one entry.
	Number          uint64           `cbor:"3,keyasint"`
	AgeMilliseconds int64            `cbor:"4,keyasint"`
	Born            incarnation.Born `cbor:"5,keyasint,omitempty"`
	Leaving         bool             `cbor:"6,keyasint,omitempty"`
	Limited         bool             `cbor:"7,keyasint,omitempty"`
	PerSecond       float64          `cbor:"8,keyasint,omitempty"`
}

// askBatch is what one process passes on at once.
type askBatch struct {
	Asks []toldAsk `cbor:"1,keyasint"`
}

// AskFunction is told what a server has asked of another entry, and when.
type AskFunction func(ask dispatch.Ask, entry string, at time.Time)

// serverAsks are the words of all entries. The catalog's mutex guards it.
type serverAsks struct {
	heldWords[dispatch.Ask]
	onWord AskFunction
	// fresh is signalled when there is something to pass on.
	fresh chan struct{}
}

func newServerAsks(started time.Time) serverAsks {
	return serverAsks{heldWords: newHeldWords[dispatch.Ask](started, askMemory, mostAsks), fresh: make(chan struct{}, 1)}
}

// OnAsk registers a function that is called with each word of another entry. It must be registered before Run.
func (c *Catalog) OnAsk(function AskFunction) { c.asks.onWord = function }

// AnnounceNotice has the other entries told at once what a server has asked of this one at a time.
func (c *Catalog) AnnounceNotice(ask dispatch.Ask, at time.Time) {
	c.mutex.Lock()
	word := heldWord[dispatch.Ask]{word: ask, at: at, number: c.asks.nextNumber()}
	c.asks.hold(wordKey{entry: c.options.Self, server: ask.Server}, word, time.Now())
	c.mutex.Unlock()
	c.passAsksSoon()
}

func (c *Catalog) passAsksSoon() { signal(c.asks.fresh) }

func (c *Catalog) handleAsks(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[askBatch](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	now, news := time.Now(), []freshAsk{}
	c.mutex.Lock()
	for _, told := range batch.Asks {
		if err := told.check(); err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
			continue
		}
		fresh := freshAsk{heldWord: told.held(now), entry: told.Entry}
		if told.Entry != c.options.Self && c.asks.hold(wordKey{entry: told.Entry, server: told.Server}, fresh.heldWord, now) {
			news = append(news, fresh)
		}
	}
	c.mutex.Unlock()
	if len(news) == 0 {
		return
	}
	c.passAsksSoon()
	if c.asks.onWord == nil {
		return
	}
	for _, one := range news {
		c.asks.onWord(one.word, one.entry, one.at)
	}
}

// freshAsk is a word that is news here, and who has told it.
type freshAsk struct {
	heldWord[dispatch.Ask]
	entry string
}

// check rejects a word that can't be meant: one faulty word does not cost the others of its message.
func (t toldAsk) check() error {
	reason := ""
	switch {
	case t.Server == "" || t.Entry == "":
		reason = "no server or no teller"
	case t.AgeMilliseconds < 0 || t.AgeMilliseconds > askMemory.Milliseconds():
		reason = fmt.Sprintf("age of %d ms", t.AgeMilliseconds)
	case t.Born < 0:
		reason = fmt.Sprintf("born at %d", t.Born)
	case math.IsNaN(t.PerSecond) || t.PerSecond < 0 || t.PerSecond > fleet.MostRequestsPerSecond:
		reason = fmt.Sprintf("%g requests a second", t.PerSecond)
	default:
		return nil
	}
	return &fault.InvalidFrame{Field: topicAsks, Reason: reason}
}

// held is a word that was received at a time.
func (t toldAsk) held(now time.Time) heldWord[dispatch.Ask] {
	return heldWord[dispatch.Ask]{
		word: dispatch.Ask{Server: t.Server, Born: t.Born, Leaving: t.Leaving, Limited: t.Limited, PerSecond: t.PerSecond},
		at:   now.Add(-time.Duration(t.AgeMilliseconds) * time.Millisecond), number: t.Number,
	}
}

// toldAskOf is an entry's word as it is passed on at a time.
func toldAskOf(entry string, held heldWord[dispatch.Ask], now time.Time) toldAsk {
	return toldAsk{
		Server: held.word.Server, Entry: entry, Number: held.number, AgeMilliseconds: max(0, now.Sub(held.at).Milliseconds()), Born: held.word.Born,
		Leaving: held.word.Leaving, Limited: held.word.Limited, PerSecond: held.word.PerSecond,
	}
}

// passAsks sends each linked entry the words that it has not been told. What others have said is passed on by relays
// alone: every entry is linked to each of its zone, and they to other zones.
func (c *Catalog) passAsks() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asks.expire(now)
	isRelay := c.isRelay()
	for _, peer := range c.links {
		if peer.link == nil || !peer.isEntry() || peer.tellingAsks || peer.asksTold == c.asks.sequence {
			continue
		}
		asks := c.asksFor(peer, isRelay, now)
		peer.asksTold = c.asks.sequence
		if len(asks) > 0 {
			peer.tellingAsks = true
			go c.sendAsks(peer, peer.link, asks)
		}
	}
}

// asksFor lists the words that an entry is to be told; the mutex is held.
func (c *Catalog) asksFor(peer *peerLink, isRelay bool, now time.Time) []toldAsk {
	var asks []toldAsk
	for key, held := range c.asks.untold(peer.asksTold, peer.ip, c.options.Self, isRelay) {
		asks = append(asks, toldAskOf(key.entry, held, now))
	}
	return asks
}

func (c *Catalog) sendAsks(peer *peerLink, link *peering.Link, asks []toldAsk) {
	c.sent(peer, link, &peer.tellingAsks, peering.Send(link, topicAsks, "", askBatch{Asks: asks}))
	// There may be news that came meanwhile.
	c.passAsksSoon()
}
