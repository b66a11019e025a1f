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

// topicServerNotices carries what servers have asked of entries in their answers, from these to all others: an
// entry leaves a server alone that has told another one to, and one that starts knows it before it has had an answer.
const topicServerNotices = "server.asks"

// Bounds of what is held of servers' wishes.
const (
	// noticeTTL is how long a word is kept for entries that are linked later; words that hold are told
	// again within it.
	noticeTTL = 10 * time.Minute
	// maxNotices bounds the words held; the oldest go first.
	maxNotices = 2048
)

// noticeMessage is an entry's word on what a server asks, as it is passed on; dispatch.Ask tells what the fields
// mean.
type noticeMessage struct {
	Server string `cbor:"1,keyasint"`
	Entry  string `cbor:"2,keyasint"`
	// Number orders the words of one entry.
	Number          uint64           `cbor:"3,keyasint"`
	AgeMilliseconds int64            `cbor:"4,keyasint"`
	StartTime       incarnation.Born `cbor:"5,keyasint,omitempty"`
	Leaving         bool             `cbor:"6,keyasint,omitempty"`
	Limited         bool             `cbor:"7,keyasint,omitempty"`
	PerSecond       float64          `cbor:"8,keyasint,omitempty"`
}

// noticeBatch is what one process passes on at once.
type noticeBatch struct {
	Notices []noticeMessage `cbor:"1,keyasint"`
}

// ServerNoticeHandler is told what a server has asked of another entry, and when.
type ServerNoticeHandler func(ask dispatch.Ask, entry string, at time.Time)

// serverNotices are the words of all entries. The catalog's mutex guards it.
type serverNotices struct {
	reportStore[dispatch.Ask]
	onNotice ServerNoticeHandler
	// pending is signalled when there is something to pass on.
	pending chan struct{}
}

func newServerNotices(started time.Time) serverNotices {
	return serverNotices{reportStore: newReportStore[dispatch.Ask](started, noticeTTL, maxNotices), pending: make(chan struct{}, 1)}
}

// OnServerNotice registers a function that is called with each word of another entry. It must be registered before Run.
func (c *Catalog) OnServerNotice(function ServerNoticeHandler) { c.notices.onNotice = function }

// AnnounceNotice has the other entries told at once what a server has asked of this one at a time.
func (c *Catalog) AnnounceNotice(ask dispatch.Ask, at time.Time) {
	c.mutex.Lock()
	word := heldReport[dispatch.Ask]{report: ask, at: at, number: c.notices.nextNumber()}
	c.notices.add(reportKey{entry: c.options.Self, server: ask.Server}, word, time.Now())
	c.mutex.Unlock()
	c.scheduleNotices()
}

func (c *Catalog) scheduleNotices() { signal(c.notices.pending) }

func (c *Catalog) handleServerNotices(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[noticeBatch](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	now, news := time.Now(), []receivedNotice{}
	c.mutex.Lock()
	for _, told := range batch.Notices {
		if err := told.validate(); err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
			continue
		}
		fresh := receivedNotice{heldReport: told.toReport(now), entry: told.Entry}
		if told.Entry != c.options.Self && c.notices.add(reportKey{entry: told.Entry, server: told.Server}, fresh.heldReport, now) {
			news = append(news, fresh)
		}
	}
	c.mutex.Unlock()
	if len(news) == 0 {
		return
	}
	c.scheduleNotices()
	if c.notices.onNotice == nil {
		return
	}
	for _, one := range news {
		c.notices.onNotice(one.report, one.entry, one.at)
	}
}

// receivedNotice is a word that is news here, and who has told it.
type receivedNotice struct {
	heldReport[dispatch.Ask]
	entry string
}

// validate rejects a word that can't be meant: one faulty word does not cost the others of its message.
func (t noticeMessage) validate() error {
	reason := ""
	switch {
	case t.Server == "" || t.Entry == "":
		reason = "no server or no teller"
	case t.AgeMilliseconds < 0 || t.AgeMilliseconds > noticeTTL.Milliseconds():
		reason = fmt.Sprintf("age of %d ms", t.AgeMilliseconds)
	case t.StartTime < 0:
		reason = fmt.Sprintf("born at %d", t.StartTime)
	case math.IsNaN(t.PerSecond) || t.PerSecond < 0 || t.PerSecond > fleet.MostRequestsPerSecond:
		reason = fmt.Sprintf("%g requests a second", t.PerSecond)
	default:
		return nil
	}
	return &fault.InvalidFrame{Field: topicServerNotices, Reason: reason}
}

// toReport is a word that was received at a time.
func (t noticeMessage) toReport(now time.Time) heldReport[dispatch.Ask] {
	return heldReport[dispatch.Ask]{
		report: dispatch.Ask{Server: t.Server, Born: t.StartTime, Leaving: t.Leaving, Limited: t.Limited, PerSecond: t.PerSecond},
		at:     now.Add(-time.Duration(t.AgeMilliseconds) * time.Millisecond), number: t.Number,
	}
}

// newNoticeMessage is an entry's word as it is passed on at a time.
func newNoticeMessage(entry string, held heldReport[dispatch.Ask], now time.Time) noticeMessage {
	return noticeMessage{
		Server: held.report.Server, Entry: entry, Number: held.number, AgeMilliseconds: max(0, now.Sub(held.at).Milliseconds()), StartTime: held.report.Born,
		Leaving: held.report.Leaving, Limited: held.report.Limited, PerSecond: held.report.PerSecond,
	}
}

// sendPendingNotices sends each linked entry the words that it has not been told. What others have said is passed on by relays
// alone: every entry is linked to each of its zone, and they to other zones.
func (c *Catalog) sendPendingNotices() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.notices.expire(now)
	isRelay := c.isRelay()
	for _, peer := range c.links {
		if peer.link == nil || !peer.isEntry() || peer.sendingNotices || peer.noticesSent == c.notices.sequence {
			continue
		}
		asks := c.noticesFor(peer, isRelay, now)
		peer.noticesSent = c.notices.sequence
		if len(asks) > 0 {
			peer.sendingNotices = true
			go c.sendNotices(peer, peer.link, asks)
		}
	}
}

// noticesFor lists the words that an entry is to be told; the mutex is held.
func (c *Catalog) noticesFor(peer *peerLink, isRelay bool, now time.Time) []noticeMessage {
	var asks []noticeMessage
	for key, held := range c.notices.unsent(peer.noticesSent, peer.ip, c.options.Self, isRelay) {
		asks = append(asks, newNoticeMessage(key.entry, held, now))
	}
	return asks
}

func (c *Catalog) sendNotices(peer *peerLink, link *peering.Link, asks []noticeMessage) {
	c.finishSend(peer, link, &peer.sendingNotices, peering.Send(link, topicServerNotices, "", noticeBatch{Notices: asks}))
	// There may be news that came meanwhile.
	c.scheduleNotices()
}
