package soak

import (
	"fmt"
	"strconv"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Shapes of what servers ask for.
const (
	// limitTime is how long a limit is named; what was drawn comes on top of it. It leaves time to judge after
	// contact.
	limitTime = 8 * time.Second
	// restsAsked is how many requests are turned away with a wish for rest, restTime the rest.
	restsAsked = 3
	restTime   = 2500 * time.Millisecond
)

// Bounds of what servers that ask for something may get all the same.
const (
	// askKnown is how long after an answer its wish binds the entry that has passed it on.
	askKnown    = 500 * time.Millisecond
	restAllowed = 2
)

// nameLimit has a server name half a request to four a second for a while.
func (r *run) nameLimit(server *site.Server, fault Fault) {
	server.NameLimit(strconv.FormatFloat(float64(fault.Count)/2, 'f', -1, 64))
	r.after(limitTime+fault.Duration, func() error { server.NameLimit(""); return nil })
}

// sayLeaving has a server say in its answers that it leaves, while its line says nothing of that, and puts an empty
// one in its place after it.
func (r *run) sayLeaving(zone, index int, server *site.Server) {
	if r.busy[server.ID()] {
		return
	}
	r.busy[server.ID()] = true
	server.SayLeaving(true)
	r.restartAfterDrain(zone, index, server)
}

// askForRest has a server turn some requests away and ask for rest.
func (r *run) askForRest(server *site.Server, fault Fault) {
	r.spoilFor(server, site.Faults{Shed: restsAsked, ShedRest: restTime}, lyingTime+fault.Duration)
}

// untouched reports whether an entry has been neither stopped, killed nor frozen between two moments: what it was
// told before is forgotten with that.
func (r Record) untouched(entry string, from, to time.Time) bool {
	for _, spans := range [][]Interval{r.Disturbances, r.Stops} {
		for _, span := range spans {
			if span.Name == entry && span.disturbs(from, to) {
				return false
			}
		}
	}
	return true
}

// asksAt are what one server has asked for, with the entries that were told.
type asksAt struct {
	asks    []site.Ask
	entries []string
}

// judgeAsks judges what servers got from entries that they had asked for rest, to be left alone, or to keep to a
// rate.
func (r Record) judgeAsks(senders map[string]string) []Violation {
	byServer := map[string]*asksAt{}
	for _, ask := range r.Notices {
		entry, known := senders[ask.RequestID]
		if !known {
			continue
		}
		if byServer[ask.Server] == nil {
			byServer[ask.Server] = &asksAt{}
		}
		one := byServer[ask.Server]
		one.asks, one.entries = append(one.asks, ask), append(one.entries, entry)
	}
	deliveries := map[string][]site.Delivery{}
	for _, delivery := range r.Deliveries {
		if byServer[delivery.Server] != nil {
			deliveries[delivery.Server] = append(deliveries[delivery.Server], delivery)
		}
	}
	var found []Violation
	for server, told := range byServer {
		found = append(found, r.judgeSaidLeaving(told, deliveries[server], senders)...)
		found = append(found, r.judgeRests(told, deliveries[server], senders)...)
		found = append(found, r.judgeLimit(told, deliveries[server], senders)...)
	}
	return found
}

// judgeSaidLeaving finds requests to a server from entries that have long passed on that it leaves.
func (r Record) judgeSaidLeaving(told *asksAt, deliveries []site.Delivery, senders map[string]string) []Violation {
	first := map[string]time.Time{}
	for index, ask := range told.asks {
		if _, known := first[told.entries[index]]; ask.Leaving && !known {
			first[told.entries[index]] = ask.At
		}
	}
	var found []Violation
	for _, delivery := range deliveries {
		entry := senders[delivery.RequestID]
		at, known := first[entry]
		if known && delivery.At.After(at.Add(r.Drain+slack)) && r.untouched(entry, at, delivery.At) {
			found = append(found, Violation{
				Guarantee: NoWorkToLeaving, At: delivery.At, Request: delivery.RequestID,
				Detail: fmt.Sprintf("%s sent it to %s %s after it had passed on that the server leaves", entry, delivery.Server, delivery.At.Sub(at)),
			})
		}
	}
	return found
}

// judgeRests finds requests to a server from entries that it has asked for rest.
func (r Record) judgeRests(told *asksAt, deliveries []site.Delivery, senders map[string]string) []Violation {
	var found []Violation
	for index, ask := range told.asks {
		entry, count := told.entries[index], 0
		if ask.Rest == 0 {
			continue
		}
		for _, delivery := range deliveries {
			if senders[delivery.RequestID] != entry || delivery.At.Before(ask.At.Add(askKnown)) || delivery.At.After(ask.At.Add(ask.Rest)) {
				continue
			}
			count++
			if count == restAllowed+1 && r.untouched(entry, ask.At, delivery.At) {
				found = append(found, Violation{
					Guarantee: BackoffKept, At: delivery.At, Request: delivery.RequestID,
					Detail: fmt.Sprintf("%s sent it and %d more to %s, which had asked it for %s of rest %s before", entry, restAllowed, delivery.Server, ask.Rest, delivery.At.Sub(ask.At)),
				})
			}
		}
	}
	return found
}

// judgeLimit finds the first span in which a server got more than it had named, from entries that were told.
func (r Record) judgeLimit(told *asksAt, deliveries []site.Delivery, senders map[string]string) []Violation {
	var named []site.Ask
	first := map[string]time.Time{}
	for index, ask := range told.asks {
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
	from, last, most := named[0].At.Add(contact), named[len(named)-1].At, 0.0
	for _, ask := range named {
		most = max(most, ask.PerSecond)
	}
	allowed := site.LimitBears(most)
	var counted []site.Delivery
	for _, delivery := range deliveries {
		entry := senders[delivery.RequestID]
		at, known := first[entry]
		if !known || delivery.At.Before(from) || delivery.At.After(last) || delivery.At.Before(at.Add(askKnown)) || !r.untouched(entry, at, delivery.At) {
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
