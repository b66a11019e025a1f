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

// Shape of contents that end the servers which run them.
const (
	// crashBody begins the bodies of such contents, of which a run has endingContents: they come
	// again, so that what is known of them must outlast what strikes the processes meanwhile.
	crashBody         = "ends its server "
	crashIDPrefix     = "ending-"
	crashFingerprints = 2
	// crashRequestInterval is how often one is asked while the fault lasts, endingTime the least that it does;
	// what was drawn comes on top of it. An entry that hears nothing of the others is not asked often
	// enough to find out by itself within contact of the third end.
	crashRequestInterval = 400 * time.Millisecond
	minCrashTime         = 6 * time.Second
	// crashDelay is how long a server runs such a request, endedFor how long it is away then.
	crashDelay    = 50 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	// crashedServers names what is disturbed while servers end: no entry is.
	crashedServers = "ended servers"
	// crashPollInterval is how often is looked for servers that have ended.
	crashPollInterval = 200 * time.Millisecond
	// allowedCrashes and lateAllowed are those of the platform: so many sends may come later than contact
	// after so many servers have ended.
	allowedCrashes   = 3
	allowedLateSends = 3
)

// sendCrashing has a content asked at all entries for a time, by callers that are not counted among the
// others: nobody expects an answer.
func (r *run) sendCrashing(fault Fault) {
	r.site.CrashOn(site.Crashing{Body: crashBody, After: crashDelay})
	lasts, content := minCrashTime+fault.Duration, fault.Count%crashFingerprints
	r.recordDisturbance(lasts+crashDowntime, crashedServers)
	ctx, cancel := context.WithTimeout(r.context, lasts)
	r.schedule(lasts, func() error { cancel(); return nil })
	r.crashFaults++
	number := r.crashFaults
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	r.callerGroup.Go(func() { r.callers.sendCrashing(ctx, content, number, random) })
	for pause := crashPollInterval; pause < lasts+2*crashDowntime; pause += crashPollInterval {
		r.schedule(pause, r.restartCrashed)
	}
}

// sendCrashing asks for a content until the context ends.
func (c *callers) sendCrashing(ctx context.Context, content, fault int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	ticker := time.NewTicker(crashRequestInterval)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		zone, index := random.IntN(c.site.Options.Zones), random.IntN(c.site.Options.Entries)
		id := fmt.Sprintf("%s%d-%d-%d", crashIDPrefix, content, fault, number)
		c.recordCrashSender(id, launch.SiteProcessName(site.RoleEntry, zone, index))
		go c.sendCrashingRequest(client, zone, index, id, content)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (c *callers) sendCrashingRequest(client *http.Client, zone, index int, id string, content int) {
	request, err := c.site.NewRequest(zone, index, http.MethodPost, site.StreamPrefix+"ending", id, crashBody+fmt.Sprint(content), 1)
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		// The entry is away, or has no answer: the servers' records tell what the request did.
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// recordCrashSender notes to which entry a request was sent.
func (c *callers) recordCrashSender(id, entry string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashSenders == nil {
		c.crashSenders = map[string]string{}
	}
	c.crashSenders[id] = entry
}

// restartCrashed starts servers again that have ended a while ago, where nothing else has.
func (r *run) restartCrashed() error {
	for _, end := range r.site.Ends() {
		if r.restarted[end.Server] || time.Since(end.At) < crashDowntime {
			continue
		}
		r.restarted[end.Server] = true
		for zone := range r.site.Options.Zones {
			for index := range r.site.Options.ModelServers {
				if r.site.Models[r.site.Options.ModelIP(zone, index)].ID() != end.Server {
					continue
				}
				if err := r.site.RestartModelUnnoticed(zone, index); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkCrashes judges what came to servers of contents that had ended as many as are allowed.
func (r Record) checkCrashes() []Violation {
	var found []Violation
	for content := range crashFingerprints {
		prefix := fmt.Sprintf("%s%d-", crashIDPrefix, content)
		known, ended := lastAllowedCrash(r.Crashes, prefix)
		if !ended {
			continue
		}
		late := 0
		for _, arrival := range r.Arrivals {
			if !strings.HasPrefix(arrival.RequestID, prefix) || !arrival.At.After(known.Add(recoveryMargin)) || !r.entryConnected(r.CrashSenders[arrival.RequestID], arrival.At) {
				continue
			}
			if late++; late > allowedLateSends {
				found = append(found, Violation{
					Guarantee: QueryOfDeathContained, At: arrival.At, Request: arrival.RequestID,
					Detail: fmt.Sprintf("%s sent it to %s, %s after three servers had ended under its content", r.CrashSenders[arrival.RequestID], arrival.Server, arrival.At.Sub(known)),
				})
			}
		}
	}
	return found
}

// lastAllowedCrash is when as many servers had ended under a content as are allowed.
func lastAllowedCrash(ends []site.End, prefix string) (time.Time, bool) {
	count := 0
	for _, end := range ends {
		if strings.HasPrefix(end.RequestID, prefix) {
			if count++; count == allowedCrashes {
				return end.At, true
			}
		}
	}
	return time.Time{}, false
}
