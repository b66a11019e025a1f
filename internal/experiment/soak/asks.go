package soak

import (
	"fmt"
	"strconv"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Shapes of what servers ask for.
const (
	// minLimitTime is how long a limit is named; what was drawn comes on top of it. It leaves time to judge after
	// contact.
	minLimitTime = 8 * time.Second
	// backoffRequests is how many requests are turned away with a wish for rest, restTime the rest.
	backoffRequests = 3
	backoffTime     = 2500 * time.Millisecond
)

// Bounds of what servers that ask for something may get all the same.
const (
	// noticeDelay is how long after an answer its wish binds the entry that has passed it on.
	noticeDelay          = 500 * time.Millisecond
	allowedDuringBackoff = 2
)

// announceRateLimit has a server name half a request to four a second for a while.
func (r *run) announceRateLimit(server *site.Server, fault Fault) {
	server.NameLimit(strconv.FormatFloat(float64(fault.Count)/2, 'f', -1, 64))
	r.schedule(minLimitTime+fault.Duration, func() error { server.NameLimit(""); return nil })
}

// noticeLeaving has a server say in its answers that it leaves, while its line says nothing of that, and puts an empty
// one in its place after it.
func (r *run) noticeLeaving(zone, index int, server *site.Server) {
	if r.busy[server.ID()] {
		return
	}
	r.busy[server.ID()] = true
	server.SayLeaving(true)
	r.restartAfterDrain(zone, index, server)
}

// noticeBackoff has a server turn some requests away and ask for rest.
func (r *run) noticeBackoff(server *site.Server, fault Fault) {
	r.setServerFaultsFor(server, site.Faults{Shed: backoffRequests, ShedRest: backoffTime}, minFalseHealthTime+fault.Duration)
}

// entryUndisturbed reports whether an entry has been neither stopped, killed nor frozen between two moments: what it was
// told before is forgotten with that.
func (r Record) entryUndisturbed(entry string, from, to time.Time) bool {
	for _, spans := range [][]Interval{r.Disturbances, r.Stops} {
		for _, span := range spans {
			if span.Name == entry && span.overlaps(from, to) {
				return false
			}
		}
	}
	return true
}

// serverNotices are what one server has asked for, with the entries that were told.
type serverNotices struct {
	notices []site.Ask
	entries []string
}

// checkNotices judges what servers got from entries that they had asked for rest, to be left alone, or to keep to a
// rate.
func (r Record) checkNotices(senders map[string]string) []Violation {
	byServer := map[string]*serverNotices{}
	for _, ask := range r.Notices {
		entry, known := senders[ask.RequestID]
		if !known {
			continue
		}
		if byServer[ask.Server] == nil {
			byServer[ask.Server] = &serverNotices{}
		}
		one := byServer[ask.Server]
		one.notices, one.entries = append(one.notices, ask), append(one.entries, entry)
	}
	deliveries := map[string][]site.Delivery{}
	for _, delivery := range r.Deliveries {
		if byServer[delivery.Server] != nil {
			deliveries[delivery.Server] = append(deliveries[delivery.Server], delivery)
		}
	}
	var found []Violation
	for server, told := range byServer {
		found = append(found, r.checkLeavingNotices(told, deliveries[server], senders)...)
		found = append(found, r.checkBackoffs(told, deliveries[server], senders)...)
		found = append(found, r.checkRateLimit(told, deliveries[server], senders)...)
	}
	return found
}

// checkLeavingNotices finds requests to a server from entries that have long passed on that it leaves.
func (r Record) checkLeavingNotices(told *serverNotices, deliveries []site.Delivery, senders map[string]string) []Violation {
	first := map[string]time.Time{}
	for index, ask := range told.notices {
		if _, known := first[told.entries[index]]; ask.Leaving && !known {
			first[told.entries[index]] = ask.At
		}
	}
	var found []Violation
	for _, delivery := range deliveries {
		entry := senders[delivery.RequestID]
		at, known := first[entry]
		if known && delivery.At.After(at.Add(r.Drain+slack)) && r.entryUndisturbed(entry, at, delivery.At) {
			found = append(found, Violation{
				Guarantee: NoWorkToLeaving, At: delivery.At, Request: delivery.RequestID,
				Detail: fmt.Sprintf("%s sent it to %s %s after it had passed on that the server leaves", entry, delivery.Server, delivery.At.Sub(at)),
			})
		}
	}
	return found
}

// checkBackoffs finds requests to a server from entries that it has asked for rest.
func (r Record) checkBackoffs(told *serverNotices, deliveries []site.Delivery, senders map[string]string) []Violation {
	var found []Violation
	for index, ask := range told.notices {
		entry, count := told.entries[index], 0
		if ask.Rest == 0 {
			continue
		}
		for _, delivery := range deliveries {
			if senders[delivery.RequestID] != entry || delivery.At.Before(ask.At.Add(noticeDelay)) || delivery.At.After(ask.At.Add(ask.Rest)) {
				continue
			}
			count++
			if count == allowedDuringBackoff+1 && r.entryUndisturbed(entry, ask.At, delivery.At) {
				found = append(found, Violation{
					Guarantee: BackoffKept, At: delivery.At, Request: delivery.RequestID,
					Detail: fmt.Sprintf("%s sent it and %d more to %s, which had asked it for %s of rest %s before", entry, allowedDuringBackoff, delivery.Server, ask.Rest, delivery.At.Sub(ask.At)),
				})
			}
		}
	}
	return found
}

// checkRateLimit finds the first span in which a server got more than it had named, from entries that were told.
func (r Record) checkRateLimit(told *serverNotices, deliveries []site.Delivery, senders map[string]string) []Violation {
	var named []site.Ask
	first := map[string]time.Time{}
	for index, ask := range told.notices {
		if !ask.Limited {
			continue
		}
		named = append(named, ask)
		if _, known := first[told.entries[index]]; !known {
			first[told.entries[index]] = ask.At
		}
	}
	if len(named) == 0 {
		return nil
	}
	from, last, most := named[0].At.Add(recoveryMargin), named[len(named)-1].At, 0.0
	for _, ask := range named {
		most = max(most, ask.PerSecond)
	}
	allowed := site.LimitBears(most)
	var counted []site.Delivery
	for _, delivery := range deliveries {
		entry := senders[delivery.RequestID]
		at, known := first[entry]
		if !known || delivery.At.Before(from) || delivery.At.After(last) || delivery.At.Before(at.Add(noticeDelay)) || !r.entryUndisturbed(entry, at, delivery.At) {
			continue
		}
		counted = append(counted, delivery)
		for delivery.At.Sub(counted[0].At) >= site.LimitSpan {
			counted = counted[1:]
		}
		if float64(len(counted)) > allowed {
			return []Violation{{
				Guarantee: RateLimitKept, At: delivery.At, Request: delivery.RequestID,
				Detail: fmt.Sprintf("%s got %d requests in %s from entries that it had told, and had named %g a second", delivery.Server, len(counted), site.LimitSpan, most),
			}}
		}
	}
	return nil
}
