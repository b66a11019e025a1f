package main

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Keys that the clients of the case lastTenantTakenAway send.
const (
	keyHeld  = site.Key
	keyNever = "key-that-no-configuration-has-held"
	keyNone  = ""
)

// callsWithEachKey is how many requests are sent with each key, to each kind of route.
const callsWithEachKey = 4

// lastTenantTakenAway has the operator take away the only tenant, so that the configuration's list of tenants is
// there and empty. The rule ROUTE is broken if a server then runs a request with a key that no configuration
// has ever held, and the rule CONFIG if one runs with the dropped key later than configApplyMs after the store
// has taken the configuration.
func lastTenantTakenAway(c *caseRun) bool {
	options := smallSite(2, 1, 1)
	running, err := site.Start(options)
	must(err)
	defer running.Close()
	c.startProcesses(running, machinesOf(options))
	if !eventually(20*time.Second, func() bool { return ready(running, 0) && ready(running, 1) }) {
		giveUp("the entries are not ready")
	}
	time.Sleep(2 * time.Second)
	c.callWithEachKey(running, "before")
	if c.trouble {
		version := running.Configure(func(configuration map[string]any) { configuration["tenants"] = []any{} })
		c.note("the operator takes the last tenant away: configuration %d has tenants = []", version)
	}
	time.Sleep(time.Duration(options.ConfigApplyMs)*time.Millisecond + 2*time.Second)
	c.callWithEachKey(running, "after")
	return c.judgeKeys(running)
}

// callWithEachKey sends requests with each key through both entries.
func (c *caseRun) callWithEachKey(running *site.Site, phase string) {
	for _, key := range []struct{ name, value string }{{"held", keyHeld}, {"never", keyNever}, {"none", keyNone}} {
		for number := range callsWithEachKey {
			c.callWithKey(running, number%2, http.MethodGet, site.SafePrefix+"card", fmt.Sprintf("%s-%s-safe-%d", phase, key.name, number), key.value)
			c.callWithKey(running, number%2, http.MethodPost, site.OncePrefix+"save", fmt.Sprintf("%s-%s-once-%d", phase, key.name, number), key.value)
		}
	}
}

// callWithKey sends one request and notes its answer.
func (c *caseRun) callWithKey(running *site.Site, zone int, method, path, id, key string) {
	request, err := running.NewRequest(zone, 0, method, path, id, "words", 0)
	must(err)
	request.Header.Del("Authorization")
	if key != keyNone {
		request.Header.Set("Authorization", "Token "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.note("client: %s %s as %s, no answer: %v", method, path, id, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.note("client: %s %s as %s, answered %d", method, path, id, response.StatusCode)
}

// judgeKeys applies the rules to what the servers ran. The configuration with the key held is dropped only
// with the disruption.
func (c *caseRun) judgeKeys(running *site.Site) bool {
	broken := 0
	for _, run := range running.Requests.Runs() {
		c.note("server %s of %s ran %s with tenant %q", run.Server, run.Service, run.RequestID, run.Tenant)
		var phase, key, kind string
		var number int
		if _, err := fmt.Sscanf(dashesToSpaces(run.RequestID), "%s %s %s %d", &phase, &key, &kind, &number); err != nil {
			continue
		}
		switch {
		case key == "never":
			c.note("  ROUTE: no configuration has ever held its key")
			broken++
		case key == "none":
			c.note("  it has no key, and its route is not open to all")
			broken++
		case phase == "after" && c.trouble:
			c.note("  CONFIG: its key was dropped more than configApplyMs before it was sent")
			broken++
		}
	}
	if !c.trouble && broken == 0 && len(running.Requests.Runs()) < 2*callsWithEachKey {
		giveUp("the requests with the held key were not run")
	}
	c.note("requests that ran without a key in force: %d", broken)
	return broken > 0
}

func dashesToSpaces(text string) string {
	spaced := []byte(text)
	for at, letter := range spaced {
		if letter == '-' {
			spaced[at] = ' '
		}
	}
	return string(spaced)
}
