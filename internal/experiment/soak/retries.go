package soak

import (
	"fmt"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Parameters of kills of entries beside failing servers.
const (
	// entryKillRounds is how often all entries, or one of each zone, are killed, and entryKillInterval the time
	// between two kills: an entry starts within restartDelay and then lives for some seconds.
	entryKillRounds   = 3
	entryKillInterval = 4 * time.Second
	// killsBudgetSlack is the retry slack of runs with such kills. The shares of several lives exceed it, whatever
	// the callers' requests allow.
	killsBudgetSlack = 600
)

// fleetOptions returns the options of the emulated site for a run with the given kinds.
func fleetOptions(kinds []Kind) site.Options {
	options := siteOptions()
	for _, kind := range kinds {
		if kind == EntryKillsBesideFailures {
			options.BudgetSlack = killsBudgetSlack
		}
	}
	return options
}

// killEntriesBesideFailures has all model servers answer with errors, or reset connections, and kills all entries, or one
// of each zone, several times meanwhile.
func (r *run) killEntriesBesideFailures(fault Fault) {
	modes := []site.FailureMode{site.FailWithErrors, site.FailWithResets}
	failures := site.Faults{Failure: modes[fault.Index%len(modes)]}
	for _, server := range r.site.Models {
		r.setServerFaultsFor(server, failures, entryKillRounds*entryKillInterval+fault.Duration)
	}
	killed := r.site.Options.Entries
	if fault.Count%2 == 0 {
		killed = 1
	}
	for round := range entryKillRounds {
		r.schedule(time.Duration(round)*entryKillInterval+fault.Duration, func() error { return r.killEntries(killed) })
	}
}

// killEntries kills a number of entries of each zone.
func (r *run) killEntries(perZone int) error {
	for zone := range r.site.Options.Zones {
		for index := range perZone {
			if err := r.kill(site.RoleEntry, zone, index); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkRetries finds services that received more repeated arrivals in a window than the retry limit allows,
// summed over all entries and their lives. Nothing excuses them.
func (r Record) checkRetries() []Violation {
	sent := r.sentRequests()
	services := map[string]bool{}
	for _, arrival := range r.Arrivals {
		services[arrival.Service] = true
	}
	var found []Violation
	for service := range services {
		worst, repeated := site.WorstRetryWindow(service, r.Arrivals, sent, r.RetryLimit)
		if repeated && worst.Excess() > 0 {
			found = append(found, Violation{
				Guarantee: RetryLimitKept, At: worst.From, Request: worst.LastRequest,
				Detail: fmt.Sprintf("%s received %d retries within %s, for %d requests; %.0f are allowed", service, worst.Retries, r.RetryLimit.Window, worst.Requests, worst.Allowed),
			})
		}
	}
	return found
}

// sentRequests returns the requests of the callers, by the service that they are for. Requests without an
// attempt, which are still under way or crash servers, count from their first arrival.
func (r Record) sentRequests() []site.SentRequest {
	known := map[string]bool{}
	var sent []site.SentRequest
	for _, attempt := range r.Attempts {
		known[attempt.ID] = true
		sent = append(sent, site.SentRequest{ID: attempt.ID, Service: attempt.Kind.service(), At: attempt.Sent})
	}
	for _, arrival := range r.Arrivals {
		if !known[arrival.RequestID] {
			known[arrival.RequestID] = true
			sent = append(sent, site.SentRequest{ID: arrival.RequestID, Service: arrival.Service, At: arrival.At})
		}
	}
	return sent
}

// service returns the service that requests of the kind are for.
func (k RequestKind) service() string {
	if k == CallStream {
		return site.ModelService
	}
	return site.PlainService
}
