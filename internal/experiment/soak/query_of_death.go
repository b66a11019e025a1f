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
	// endingBody begins the bodies of such contents, of which a run has endingContents: they come
	// again, so that what is known of them must outlast what strikes the processes meanwhile.
	endingBody     = "ends its server "
	endingID       = "ending-"
	endingContents = 2
	// endingPace is how often one is asked while the fault lasts, endingTime the least that it does;
	// what was drawn comes on top of it. An entry that hears nothing of the others is not asked often
	// enough to find out by itself within contact of the third end.
	endingPace = 400 * time.Millisecond
	endingTime = 6 * time.Second
	// endingAfter is how long a server runs such a request, endedFor how long it is away then.
	endingAfter = 50 * time.Millisecond
	endedFor    = 1500 * time.Millisecond
	// endedServers names what is disturbed while servers end: no entry is.
	endedServers = "ended servers"
	// endsLook is how often is looked for servers that have ended.
	endsLook = 200 * time.Millisecond
	// endsAllowed and lateAllowed are those of the platform: so many sends may come later than contact
	// after so many servers have ended.
	endsAllowed = 3
	lateAllowed = 3
)

// askEnding has a content asked at all entries for a time, by callers that are not counted among the
// others: nobody expects an answer.
func (r *run) askEnding(fault Fault) {
	r.site.CrashOn(site.Crashing{Body: endingBody, After: endingAfter})
	lasts, content := endingTime+fault.Duration, fault.Count%endingContents
	r.disturb(lasts+endedFor, endedServers)
	ctx, cancel := context.WithTimeout(r.context, lasts)
	r.after(lasts, func() error { cancel(); return nil })
	r.endings++
	number := r.endings
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	r.calling.Go(func() { r.callers.askEnding(ctx, content, number, random) })
	for pause := endsLook; pause < lasts+2*endedFor; pause += endsLook {
		r.after(pause, r.startEnded)
	}
}

// askEnding asks for a content until the context ends.
func (c *callers) askEnding(ctx context.Context, content, fault int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	ticker := time.NewTicker(endingPace)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		zone, index := random.IntN(c.site.Options.Zones), random.IntN(c.site.Options.Entries)
		id := fmt.Sprintf("%s%d-%d-%d", endingID, content, fault, number)
		c.noteEnding(id, launch.SiteProcessName(site.RoleEntry, zone, index))
		go c.sendEnding(client, zone, index, id, content)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (c *callers) sendEnding(client *http.Client, zone, index int, id string, content int) {
	request, err := c.site.NewRequest(zone, index, http.MethodPost, site.StreamPrefix+"ending", id, endingBody+fmt.Sprint(content), 1)
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

// noteEnding notes to which entry a request was sent.
func (c *callers) noteEnding(id, entry string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.endings == nil {
		c.endings = map[string]string{}
	}
	c.endings[id] = entry
}

// startEnded starts servers again that have ended a while ago, where nothing else has.
func (r *run) startEnded() error {
	for _, end := range r.site.Ends() {
		if r.restarted[end.Server] || time.Since(end.At) < endedFor {
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

// judgeEndings judges what came to servers of contents that had ended as many as are allowed.
func (r Record) judgeEndings() []Violation {
	var found []Violation
	for content := range endingContents {
		prefix := fmt.Sprintf("%s%d-", endingID, content)
		known, ended := thirdEnd(r.Crashes, prefix)
		if !ended {
			continue
		}
		late := 0
		for _, arrival := range r.Arrivals {
			if !strings.HasPrefix(arrival.RequestID, prefix) || !arrival.At.After(known.Add(contact)) || !r.inTouch(r.CrashSenders[arrival.RequestID], arrival.At) {
				continue
			}
			if late++; late > lateAllowed {
				found = append(found, Violation{
					Guarantee: QueryOfDeathContained, At: arrival.At, Request: arrival.RequestID,
					Detail: fmt.Sprintf("%s sent it to %s, %s after three servers had ended under its content", r.CrashSenders[arrival.RequestID], arrival.Server, arrival.At.Sub(known)),
				})
			}
		}
	}
	return found
}

// thirdEnd is when as many servers had ended under a content as are allowed.
func thirdEnd(ends []site.End, prefix string) (time.Time, bool) {
	count := 0
	for _, end := range ends {
		if strings.HasPrefix(end.RequestID, prefix) {
			if count++; count == endsAllowed {
				return end.At, true
			}
		}
	}
	return time.Time{}, false
}
