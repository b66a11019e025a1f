package soak

import (
	"fmt"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Restriction is the set of regions that one configuration allows, and when it was published.
type Restriction struct {
	At          time.Time
	Residencies site.Residencies
}

// Evacuation is a time in which a zone's servers must receive no new requests; Ended is zero while
// it lasts.
type Evacuation struct {
	Zone             string
	Requested, Ended time.Time
}

// senders maps each request to the entry that it was sent to.
func (r Record) senders() map[string]string {
	senders := make(map[string]string, len(r.Attempts))
	for _, attempt := range r.Attempts {
		senders[attempt.ID] = attempt.Entry
	}
	return senders
}

// entryConnected reports whether neither the entry nor the whole fleet has been disturbed for
// recoveryMargin.
func (r Record) entryConnected(entry string, at time.Time) bool {
	for _, intervals := range [][]Interval{r.Disturbances, r.Stops} {
		for _, interval := range intervals {
			if (interval.Name == "" || interval.Name == entry) && !interval.From.After(at) && interval.To.Add(recoveryMargin).After(at) {
				return false
			}
		}
	}
	return true
}

// checkRestrictions checks where requests arrived against the configurations that may have been in
// force at the entry that sent them. A request whose caller still waits is checked later, when its
// sender is known. Requests outside r.Residencies are left out, as Check reports them.
func (r Record) checkRestrictions(senders map[string]string) []Violation {
	var found []Violation
	for _, arrival := range r.Arrivals {
		entry, known := senders[arrival.RequestID]
		if known && !r.Residencies.Outside(arrival) && !r.allowed(arrival, entry) {
			found = append(found, Violation{
				Guarantee: AllowedRegions, At: arrival.At, Request: arrival.RequestID,
				Detail: fmt.Sprintf("%s sent it to %s in %s, which no configuration possibly in force allowed", entry, arrival.Server, arrival.Region),
			})
		}
	}
	return found
}

// allowed reports whether a configuration that may have been in force at an entry allows the region
// in which a request arrived.
func (r Record) allowed(arrival site.Arrival, entry string) bool {
	for index, restriction := range r.Restrictions {
		if restriction.At.After(arrival.At) {
			break
		}
		if next := index + 1; next < len(r.Restrictions) {
			due := r.Restrictions[next].At.Add(r.ConfigurationApply + slack)
			if arrival.At.After(due) && r.entryConnected(entry, arrival.At) {
				continue
			}
		}
		if !restriction.Residencies.Outside(arrival) {
			return true
		}
	}
	return len(r.Restrictions) == 0
}

// checkEvacuations finds requests that evacuated zones received after the time limit.
func (r Record) checkEvacuations(senders map[string]string) []Violation {
	var found []Violation
	for _, delivery := range r.Deliveries {
		entry, known := senders[delivery.RequestID]
		for _, evacuation := range r.Evacuations {
			if known && evacuation.forbids(delivery, r.EvacuationApply+slack) && r.entryConnected(entry, delivery.At) {
				found = append(found, Violation{
					Guarantee: NoWorkToEvacuated, At: delivery.At, Request: delivery.RequestID,
					Detail: fmt.Sprintf("%s sent it to %s, %s after the evacuation of %s was requested", entry, delivery.Server, delivery.At.Sub(evacuation.Requested), evacuation.Zone),
				})
			}
		}
	}
	return found
}

// forbids reports whether a request arrived in the zone after the time limit and before the end.
func (e Evacuation) forbids(delivery site.Delivery, bound time.Duration) bool {
	active := e.Ended.IsZero() || delivery.At.Before(e.Ended)
	return delivery.Zone == e.Zone && delivery.At.After(e.Requested.Add(bound)) && active
}

// checkCold checks how many requests cold servers received in any second, from all entries whether
// connected or not.
func (r Record) checkCold() []Violation {
	var found []Violation
	for server, peak := range site.ColdPeaks(r.Deliveries) {
		if float64(peak.Requests) > r.ColdLimit {
			found = append(found, Violation{
				Guarantee: ColdLimitKept, At: peak.Last.At, Request: peak.Last.RequestID,
				Detail: fmt.Sprintf("%s received %d requests in a second, limit %g", server, peak.Requests, r.ColdLimit),
			})
		}
	}
	return found
}

// checkReload checks a request that was in progress at an entry, or arrived there, while changed
// settings took effect and nothing was disturbed.
func (r Record) checkReload(attempt Attempt) []Violation {
	if attempt.Status != 0 && attempt.Complete {
		return nil
	}
	for _, reload := range r.Reloads {
		inProgress := attempt.Entry == reload.Name && attempt.Sent.Before(reload.To) && attempt.Ended.After(reload.From)
		if inProgress && r.nothingDisturbed(attempt.Sent, attempt.Ended) && r.entryConnected(attempt.Entry, attempt.Ended) {
			return []Violation{{Guarantee: ReloadDropsNothing, At: attempt.Ended, Request: attempt.ID, Detail: attempt.Entry + " cut it " + attempt.Ended.Sub(reload.From).String() + " after its settings changed"}}
		}
	}
	return nil
}
