package soak

import (
	"fmt"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Restriction is where one configuration allows requests, from when it was published.
type Restriction struct {
	At          time.Time
	Residencies site.Residencies
}

// Evacuation is a time in which a zone's servers were to get nothing new; Ended is zero as long
// as it lasts.
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

// entryConnected reports whether an entry, and what all depend on, has been undisturbed for a while.
func (r Record) entryConnected(entry string, at time.Time) bool {
	for _, spans := range [][]Interval{r.Disturbances, r.Stops} {
		for _, span := range spans {
			if (span.Name == "" || span.Name == entry) && !span.From.After(at) && span.To.Add(recoveryMargin).After(at) {
				return false
			}
		}
	}
	return true
}

// checkRestrictions judges where requests came by the configurations that may have been in force
// at the entry that sent them. Requests whose caller still waits are judged later, and those
// that no configuration allowed have been judged.
func (r Record) checkRestrictions(senders map[string]string) []Violation {
	var found []Violation
	for _, arrival := range r.Arrivals {
		entry, known := senders[arrival.RequestID]
		if known && !r.Residencies.Outside(arrival) && !r.allowed(arrival, entry) {
			found = append(found, Violation{
				Guarantee: AllowedRegions, At: arrival.At, Request: arrival.RequestID,
				Detail: fmt.Sprintf("%s sent it to %s in %s, which no configuration allowed that may have been in force", entry, arrival.Server, arrival.Region),
			})
		}
	}
	return found
}

// allowed reports whether a configuration that may have been in force at an entry allows where a
// request came.
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

// checkEvacuations judges what evacuated zones received after the bound.
func (r Record) checkEvacuations(senders map[string]string) []Violation {
	var found []Violation
	for _, delivery := range r.Deliveries {
		entry, known := senders[delivery.RequestID]
		for _, evacuation := range r.Evacuations {
			if known && evacuation.forbids(delivery, r.EvacuationApply+slack) && r.entryConnected(entry, delivery.At) {
				found = append(found, Violation{
					Guarantee: NoWorkToEvacuated, At: delivery.At, Request: delivery.RequestID,
					Detail: fmt.Sprintf("%s sent it to %s, %s after the evacuation of %s was asked for", entry, delivery.Server, delivery.At.Sub(evacuation.Requested), evacuation.Zone),
				})
			}
		}
	}
	return found
}

// forbids reports whether a request came to the zone after the bound and before the end.
func (e Evacuation) forbids(delivery site.Delivery, bound time.Duration) bool {
	lasted := e.Ended.IsZero() || delivery.At.Before(e.Ended)
	return delivery.Zone == e.Zone && delivery.At.After(e.Requested.Add(bound)) && lasted
}

// checkCold judges what cold servers received in any second, from all entries whether in touch
// or not.
func (r Record) checkCold() []Violation {
	var found []Violation
	for server, peak := range site.ColdPeaks(r.Deliveries) {
		if float64(peak.Requests) > r.ColdLimit {
			found = append(found, Violation{
				Guarantee: ColdLimitKept, At: peak.Last.At, Request: peak.Last.RequestID,
				Detail: fmt.Sprintf("%s received %d requests in a second, and bears %g", server, peak.Requests, r.ColdLimit),
			})
		}
	}
	return found
}

// checkReload judges a request that was under way at an entry, or came to it, while changed
// settings were coming into force and nothing was disturbed.
func (r Record) checkReload(attempt Attempt) []Violation {
	if attempt.Status != 0 && attempt.Complete {
		return nil
	}
	for _, reload := range r.Reloads {
		under := attempt.Entry == reload.Name && attempt.Sent.Before(reload.To) && attempt.Ended.After(reload.From)
		if under && r.nothingDisturbed(attempt.Sent, attempt.Ended) && r.entryConnected(attempt.Entry, attempt.Ended) {
			return []Violation{{Guarantee: ReloadDropsNothing, At: attempt.Ended, Request: attempt.ID, Detail: attempt.Entry + " cut it " + attempt.Ended.Sub(reload.From).String() + " after its settings changed"}}
		}
	}
	return nil
}
