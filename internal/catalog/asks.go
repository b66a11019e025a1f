package catalog

import (
	"fmt"
	"math"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/peering"
)

// topicServerNotices carries what servers requested of entries in response headers, from each entry
// to all others: an entry also observes a notice that a server sent to another entry, and an entry
// that starts knows it before its first response.
const topicServerNotices = "server.asks"

// Bounds on the server notices held.
const (
	// noticeTTL is how long a notice is kept for entries that link later. Notices that still hold
	// are sent again within it.
	noticeTTL = 10 * time.Minute
	// maxNotices bounds the notices held; the oldest are evicted first.
	maxNotices = 2048
)

// noticeMessage is the wire form of a server notice received by an entry; dispatch documents the
// fields.
type noticeMessage struct {
	Server string `cbor:"1,keyasint"`
	Entry  string `cbor:"2,keyasint"`
	// Number orders the notices of one entry.
	Number          uint64                `cbor:"3,keyasint"`
	AgeMilliseconds int64                 `cbor:"4,keyasint"`
	StartTime       incarnation.StartTime `cbor:"5,keyasint,omitempty"`
	Leaving         bool                  `cbor:"6,keyasint,omitempty"`
	Limited         bool                  `cbor:"7,keyasint,omitempty"`
	PerSecond       float64               `cbor:"8,keyasint,omitempty"`
}

// noticeBatch is the wire form of the notices that one process sends at once.
type noticeBatch struct {
	Notices []noticeMessage `cbor:"1,keyasint"`
}

// ServerNoticeHandler is called with a server notice that another entry received, and when it did.
type ServerNoticeHandler func(notice dispatch.ServerNotice, entry string, at time.Time)

// serverNotices holds the server notices of all entries. The catalog's mutex guards it.
type serverNotices struct {
	reportStore[dispatch.ServerNotice]
	onNotice ServerNoticeHandler
	// pending is signalled when there are notices to send.
	pending chan struct{}
}

func newServerNotices(started time.Time) serverNotices {
	return serverNotices{reportStore: newReportStore[dispatch.ServerNotice](started, noticeTTL, maxNotices), pending: make(chan struct{}, 1)}
}

// OnServerNotice registers a function that is called with each notice of another entry. It must be
// registered before Run.
func (c *Catalog) OnServerNotice(function ServerNoticeHandler) { c.notices.onNotice = function }

// AnnounceNotice sends a server notice that this entry received at a given time to the other
// entries at once.
func (c *Catalog) AnnounceNotice(notice dispatch.ServerNotice, at time.Time) {
	c.mutex.Lock()
	report := heldReport[dispatch.ServerNotice]{report: notice, at: at, number: c.notices.nextNumber()}
	c.notices.add(reportKey{entry: c.options.Self, subject: notice.Server}, report, time.Now())
	c.mutex.Unlock()
	c.scheduleNotices()
}

func (c *Catalog) scheduleNotices() { signal(c.notices.pending) }

func (c *Catalog) handleServerNotices(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[noticeBatch](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	now, added := time.Now(), []receivedNotice{}
	c.mutex.Lock()
	for _, notice := range batch.Notices {
		if err := notice.validate(); err != nil {
			c.rejectFrame(link, err)
			continue
		}
		fresh := receivedNotice{heldReport: notice.toReport(now), entry: notice.Entry}
		if notice.Entry != c.options.Self && c.notices.add(reportKey{entry: notice.Entry, subject: notice.Server}, fresh.heldReport, now) {
			added = append(added, fresh)
		}
	}
	c.mutex.Unlock()
	if len(added) == 0 {
		return
	}
	c.scheduleNotices()
	if c.notices.onNotice == nil {
		return
	}
	for _, notice := range added {
		c.notices.onNotice(notice.report, notice.entry, notice.at)
	}
}

// receivedNotice is a new notice and the entry that received it from the server.
type receivedNotice struct {
	heldReport[dispatch.ServerNotice]
	entry string
}

// validate rejects a notice with impossible values. An invalid notice does not affect the others of
// its message.
func (m noticeMessage) validate() error {
	reason := ""
	switch {
	case m.Server == "" || m.Entry == "":
		reason = "no server or no reporter"
	case m.AgeMilliseconds < 0 || m.AgeMilliseconds > noticeTTL.Milliseconds():
		reason = fmt.Sprintf("age of %d ms", m.AgeMilliseconds)
	case m.StartTime < 0:
		reason = fmt.Sprintf("start time %d", m.StartTime)
	case math.IsNaN(m.PerSecond) || m.PerSecond < 0 || m.PerSecond > fleet.MaxRequestsPerSecond:
		reason = fmt.Sprintf("%g requests per second", m.PerSecond)
	default:
		return nil
	}
	return &fault.InvalidFrame{Field: topicServerNotices, Reason: reason}
}

// toReport converts a notice received now.
func (m noticeMessage) toReport(now time.Time) heldReport[dispatch.ServerNotice] {
	return heldReport[dispatch.ServerNotice]{
		report: dispatch.ServerNotice{Server: m.Server, StartTime: m.StartTime, Leaving: m.Leaving, Limited: m.Limited, PerSecond: m.PerSecond},
		at:     now.Add(-time.Duration(m.AgeMilliseconds) * time.Millisecond), number: m.Number,
	}
}

// newNoticeMessage converts an entry's notice to its wire form.
func newNoticeMessage(entry string, held heldReport[dispatch.ServerNotice], now time.Time) noticeMessage {
	return noticeMessage{
		Server: held.report.Server, Entry: entry, Number: held.number, AgeMilliseconds: max(0, now.Sub(held.at).Milliseconds()), StartTime: held.report.StartTime,
		Leaving: held.report.Leaving, Limited: held.report.Limited, PerSecond: held.report.PerSecond,
	}
}

// sendPendingNotices sends each linked entry the notices that it has not been sent. Only relays
// forward the notices of others: every entry is linked to each relay of its zone, and the relays
// are linked to other zones.
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
		notices := c.noticesFor(peer, isRelay, now)
		peer.noticesSent = c.notices.sequence
		if len(notices) > 0 {
			peer.sendingNotices = true
			go c.sendNotices(peer, peer.link, notices)
		}
	}
}

// noticesFor returns the notices to send to an entry. The mutex must be held.
func (c *Catalog) noticesFor(peer *peerLink, isRelay bool, now time.Time) []noticeMessage {
	var notices []noticeMessage
	for key, held := range c.notices.unsent(peer.noticesSent, peer.ip, c.options.Self, isRelay) {
		notices = append(notices, newNoticeMessage(key.entry, held, now))
	}
	return notices
}

func (c *Catalog) sendNotices(peer *peerLink, link *peering.Link, notices []noticeMessage) {
	c.finishSend(peer, link, &peer.sendingNotices, peering.Send(link, topicServerNotices, "", noticeBatch{Notices: notices}))
	// More notices may have arrived in the meantime.
	c.scheduleNotices()
}
