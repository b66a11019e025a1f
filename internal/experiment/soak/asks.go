package soak

import (
	"fmt"
	"strconv"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Parameters of the notices that servers send.
const (
	// minLimitTime is the minimum time for which a rate limit is announced; the fault's duration is added to it. It
	// leaves time for checks after recoveryMargin.
	minLimitTime = 8 * time.Second
	// backoffRequests is how many requests are refused with a backoff notice, backoffTime the backoff.
	backoffRequests = 3
	backoffTime     = 2500 * time.Millisecond
)

// Tolerances for requests that servers may still receive after a notice.
const (
	// noticeDelay is how long after a response its notice takes effect at the entry that received it.
	noticeDelay          = 500 * time.Millisecond
	allowedDuringBackoff = 2
)

// announceRateLimit has a server announce a limit of 0.5 to 4 requests a second for a time.
func (r *run) announceRateLimit(server *site.Server, fault Fault) {
	server.AnnounceLimit(strconv.FormatFloat(float64(fault.Count)/2, 'f', -1, 64))
	now := time.Now()
	r.record.LimitTimes = append(r.record.LimitTimes, Interval{From: now, To: now.Add(minLimitTime + fault.Duration), Name: server.ID()})
	r.schedule(minLimitTime+fault.Duration, func() error { server.AnnounceLimit(""); return nil })
}

// announceLeavingInResponses has a server announce in its responses, but not in its store record, that it leaves, and
// replaces it by an empty one later.
func (r *run) announceLeavingInResponses(zone, index int, server *site.Server) {
	if r.busy[server.ID()] {
		return
	}
	r.busy[server.ID()] = true
	server.AnnounceLeaving(true)
	r.restartAfterDrain(zone, index, server)
}

// requestBackoff has a server refuse some requests and request a backoff in its responses.
func (r *run) requestBackoff(server *site.Server, fault Fault) {
	r.setServerFaultsFor(server, site.Faults{Shed: backoffRequests, ShedBackoff: backoffTime}, minFalseHealthTime+fault.Duration)
}

// entryUndisturbed reports whether an entry was neither stopped, killed nor frozen between two times. An entry that was
// may have lost the notices that it received before.
func (r Record) entryUndisturbed(entry string, from, to time.Time) bool {
	for _, intervals := range [][]Interval{r.Disturbances, r.Stops} {
		for _, interval := range intervals {
			if interval.Name == entry && interval.overlaps(from, to) {
				return false
			}
		}
	}
	return true
}

// serverNotices are the notices of one server, each with the entry that received it.
type serverNotices struct {
	notices []site.ServerNotice
	entries []string
}

// checkNotices checks the requests that servers received from entries after a notice of theirs: that the server
// leaves, a backoff, or a rate limit.
func (r Record) checkNotices(senders map[string]string) []Violation {
	byServer := map[string]*serverNotices{}
	for _, notice := range r.Notices {
		entry, known := senders[notice.RequestID]
		if !known {
			continue
		}
		if byServer[notice.Server] == nil {
			byServer[notice.Server] = &serverNotices{}
		}
		ofServer := byServer[notice.Server]
		ofServer.notices, ofServer.entries = append(ofServer.notices, notice), append(ofServer.entries, entry)
	}
	deliveries := map[string][]site.Delivery{}
	for _, delivery := range r.Deliveries {
		if byServer[delivery.Server] != nil {
			deliveries[delivery.Server] = append(deliveries[delivery.Server], delivery)
		}
	}
	var found []Violation
	for server, received := range byServer {
		found = append(found, r.checkLeavingNotices(received, deliveries[server], senders)...)
		found = append(found, r.checkBackoffs(received, deliveries[server], senders)...)
		for _, spell := range r.limitTimes(server, received) {
			found = append(found, r.checkRateLimit(spell, deliveries[server], senders)...)
		}
	}
	return found
}

// checkLeavingNotices finds requests to a server from entries that received its leaving notice more than the drain time
// before.
func (r Record) checkLeavingNotices(received *serverNotices, deliveries []site.Delivery, senders map[string]string) []Violation {
	firstReceived := map[string]time.Time{}
	for index, notice := range received.notices {
		if _, known := firstReceived[received.entries[index]]; notice.Leaving && !known {
			firstReceived[received.entries[index]] = notice.At
		}
	}
	var found []Violation
	for _, delivery := range deliveries {
		entry := senders[delivery.RequestID]
		at, known := firstReceived[entry]
		if known && delivery.At.After(at.Add(r.Drain+slack)) && r.entryUndisturbed(entry, at, delivery.At) {
			found = append(found, Violation{
				Guarantee: NoWorkToLeaving, At: delivery.At, Request: delivery.RequestID,
				Detail: fmt.Sprintf("%s sent it to %s %s after receiving the server's leaving notice", entry, delivery.Server, delivery.At.Sub(at)),
			})
		}
	}
	return found
}

// checkBackoffs finds requests to a server from entries that received its backoff notice.
func (r Record) checkBackoffs(received *serverNotices, deliveries []site.Delivery, senders map[string]string) []Violation {
	var found []Violation
	for index, notice := range received.notices {
		entry, count := received.entries[index], 0
		if notice.Backoff == 0 {
			continue
		}
		for _, delivery := range deliveries {
			if senders[delivery.RequestID] != entry || delivery.At.Before(notice.At.Add(noticeDelay)) || delivery.At.After(notice.At.Add(notice.Backoff)) {
				continue
			}
			count++
			if count == allowedDuringBackoff+1 && r.entryUndisturbed(entry, notice.At, delivery.At) {
				found = append(found, Violation{
					Guarantee: BackoffKept, At: delivery.At, Request: delivery.RequestID,
					Detail: fmt.Sprintf("%s sent it and %d more to %s, which had requested a backoff of %s %s before", entry, allowedDuringBackoff, delivery.Server, notice.Backoff, delivery.At.Sub(notice.At)),
				})
			}
		}
	}
	return found
}

// limitTimes divides the notices of a server by the times in which it announced a limit: between two of them its
// responses name none, which lifts the limit. Without such times on record all its notices are of one.
func (r Record) limitTimes(server string, received *serverNotices) []*serverNotices {
	var divided []*serverNotices
	for _, announced := range r.LimitTimes {
		if announced.Name != server {
			continue
		}
		within := &serverNotices{}
		for index, notice := range received.notices {
			if !notice.At.Before(announced.From) && !notice.At.After(announced.To.Add(slack)) {
				within.notices, within.entries = append(within.notices, notice), append(within.entries, received.entries[index])
			}
		}
		divided = append(divided, within)
	}
	if divided == nil {
		return []*serverNotices{received}
	}
	return divided
}

// checkRateLimit finds the first interval in which a server received more than its announced rate from entries that
// had received the announcement.
func (r Record) checkRateLimit(received *serverNotices, deliveries []site.Delivery, senders map[string]string) []Violation {
	var limits []site.ServerNotice
	firstReceived := map[string]time.Time{}
	for index, notice := range received.notices {
		if !notice.Limited {
			continue
		}
		limits = append(limits, notice)
		if _, known := firstReceived[received.entries[index]]; !known {
			firstReceived[received.entries[index]] = notice.At
		}
	}
	if len(limits) == 0 {
		return nil
	}
	from, last, maxRate := limits[0].At.Add(recoveryMargin), limits[len(limits)-1].At, 0.0
	for _, notice := range limits {
		maxRate = max(maxRate, notice.PerSecond)
	}
	allowed := site.MaxUnderLimit(maxRate)
	var counted []site.Delivery
	for _, delivery := range deliveries {
		entry := senders[delivery.RequestID]
		at, known := firstReceived[entry]
		if !known || delivery.At.Before(from) || delivery.At.After(last) || delivery.At.Before(at.Add(noticeDelay)) || !r.entryUndisturbed(entry, at, delivery.At) {
			continue
		}
		counted = append(counted, delivery)
		for delivery.At.Sub(counted[0].At) >= site.LimitWindow {
			counted = counted[1:]
		}
		if float64(len(counted)) > allowed {
			return []Violation{{
				Guarantee: RateLimitKept, At: delivery.At, Request: delivery.RequestID,
				Detail: fmt.Sprintf("%s received %d requests in %s from entries that had received its limit of %g a second", delivery.Server, len(counted), site.LimitWindow, maxRate),
			}}
		}
	}
	return nil
}
