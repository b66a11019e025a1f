package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Parameters of the requests that crash the servers which run them.
const (
	// crashBody begins the bodies of such requests, of which a run has crashFingerprints different
	// ones. They recur, so what entries know of them must survive the other faults.
	crashBody         = "ends its server "
	crashIDPrefix     = "ending-"
	crashFingerprints = 2
	// crashRequestInterval is the time between such requests while the fault lasts, minCrashTime its
	// minimum duration, to which the fault's duration is added. At this rate an entry
	// needs the reports of other entries to detect the fingerprint within recoveryMargin of the third
	// crash.
	crashRequestInterval = 400 * time.Millisecond
	minCrashTime         = 6 * time.Second
	// crashDelay is how long a server runs such a request before it crashes, crashDowntime how long it
	// is down then.
	crashDelay    = 50 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	// crashedServers names the disturbance while servers crash; it matches no entry.
	crashedServers = "ended servers"
	// crashPollInterval is the time between checks for crashed servers.
	crashPollInterval = 200 * time.Millisecond
	// allowedCrashes and allowedLateSends are the platform's limits: once allowedCrashes servers have
	// crashed, at most allowedLateSends requests may arrive later than recoveryMargin after that.
	allowedCrashes   = 3
	allowedLateSends = 3
)

// crashTriggers returns what crashes servers in a run: requests with certain bodies or prompt parts.
func crashTriggers() []site.CrashTrigger {
	triggers := []site.CrashTrigger{{BodyPrefix: crashBody, After: crashDelay}}
	for index, part := range crashingParts {
		triggers = append(triggers, site.CrashTrigger{Parts: []string{part}, After: crashDelay, Written: writtenAtCrash[index]})
	}
	return triggers
}

// sendCrashing sends requests with a crashing fingerprint to all entries for a time. Their callers are
// not counted with the others, as no answer is expected.
func (r *run) sendCrashing(fault Fault) {
	fingerprint := fault.Count % crashFingerprints
	r.startCrashing(minCrashTime+fault.Duration, func(ctx context.Context, number int, random *rand.Rand) {
		r.callers.sendCrashing(ctx, fingerprint, number, random)
	})
}

// startCrashing has requests that crash servers sent for a time, and restarts the servers.
func (r *run) startCrashing(duration time.Duration, send func(ctx context.Context, number int, random *rand.Rand)) {
	r.site.CrashOn(crashTriggers()...)
	r.recordDisturbance(duration+crashDowntime, crashedServers)
	ctx, cancel := context.WithTimeout(r.context, duration)
	r.schedule(duration, func() error { cancel(); return nil })
	r.crashFaults++
	number := r.crashFaults
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	r.callerGroup.Go(func() { send(ctx, number, random) })
	for delay := crashPollInterval; delay < duration+2*crashDowntime; delay += crashPollInterval {
		r.schedule(delay, r.restartCrashed)
	}
}

// sendCrashing sends requests with a fingerprint until the context ends.
func (c *callers) sendCrashing(ctx context.Context, fingerprint, fault int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	ticker := time.NewTicker(crashRequestInterval)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		zone, index := random.IntN(c.site.Options.Zones), random.IntN(c.site.Options.Entries)
		id := fmt.Sprintf("%s%d-%d-%d", crashIDPrefix, fingerprint, fault, number)
		c.recordCrashSender(id, launch.SiteProcessName(site.RoleEntry, zone, index))
		go c.sendCrashingRequest(client, zone, index, id, fingerprint)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (c *callers) sendCrashingRequest(client *http.Client, zone, index int, id string, fingerprint int) {
	request, err := c.site.NewRequest(zone, index, http.MethodPost, site.StreamPrefix+"ending", id, crashBody+fmt.Sprint(fingerprint), 1)
	if err != nil {
		return
	}
	sendDiscarding(client, request)
}

// sendDiscarding sends a request whose answer does not matter.
func sendDiscarding(client *http.Client, request *http.Request) {
	response, err := client.Do(request)
	if err != nil {
		// The entry is down or gave no answer. The servers' records show what the request did.
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// recordCrashSender records to which entry a request was sent.
func (c *callers) recordCrashSender(id, entry string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashSenders == nil {
		c.crashSenders = map[string]string{}
	}
	c.crashSenders[id] = entry
}

// restartCrashed restarts the servers that crashed at least crashDowntime ago, unless they were
// replaced before.
func (r *run) restartCrashed() error {
	for _, crash := range r.site.Crashes() {
		if r.restarted[crash.Server] || time.Since(crash.At) < crashDowntime {
			continue
		}
		r.restarted[crash.Server] = true
		for zone := range r.site.Options.Zones {
			for index := range r.site.Options.ModelServers {
				if r.site.Models[r.site.Options.ModelIP(zone, index)].ID() != crash.Server {
					continue
				}
				if err := r.site.RestartModelStillListed(zone, index); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkCrashes finds requests that arrived at servers although their fingerprint, or a part of their prompts,
// had crashed too many servers before.
func (r Record) checkCrashes() []Violation {
	var found []Violation
	for fingerprint := range crashFingerprints {
		found = append(found, r.checkCause(QueryOfDeathContained, fmt.Sprintf("%s%d-", crashIDPrefix, fingerprint), allowedCrashes)...)
	}
	for part := range crashingParts {
		found = append(found, r.checkCause(CrashingPartContained, partPrefix(part), allowedPartCrashes)...)
	}
	return found
}

// checkCause checks the requests with one cause of crashes, whose IDs have the prefix.
func (r Record) checkCause(guarantee Guarantee, prefix string, allowed int) []Violation {
	lastAllowed, crashed := lastAllowedCrash(r.Crashes, prefix, allowed)
	if !crashed {
		return nil
	}
	var found []Violation
	late := 0
	for _, arrival := range r.Arrivals {
		if !strings.HasPrefix(arrival.RequestID, prefix) || !arrival.At.After(lastAllowed.Add(recoveryMargin)) || !r.entryConnected(r.CrashSenders[arrival.RequestID], arrival.At) {
			continue
		}
		if late++; late > allowedLateSends {
			found = append(found, Violation{
				Guarantee: guarantee, At: arrival.At, Request: arrival.RequestID,
				Detail: fmt.Sprintf("%s sent it to %s, %s after there had been %d crashes under such requests", r.CrashSenders[arrival.RequestID], arrival.Server, arrival.At.Sub(lastAllowed), allowed),
			})
		}
	}
	return found
}

// lastAllowedCrash returns the time of the last allowed crash under requests whose IDs have a prefix, and
// false if there were fewer crashes.
func lastAllowedCrash(crashes []site.ServerCrash, prefix string, allowed int) (time.Time, bool) {
	count := 0
	for _, crash := range crashes {
		if strings.HasPrefix(crash.RequestID, prefix) {
			if count++; count == allowed {
				return crash.At, true
			}
		}
	}
	return time.Time{}, false
}
