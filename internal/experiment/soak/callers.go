package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Parameters of the load.
const (
	callersPerZone = 6
	maxEvents      = 40
	callTimeout    = 7 * time.Second
	// reconnectDelay is the delay after an entry refused a connection.
	reconnectDelay = 50 * time.Millisecond
	requestDelay   = 15 * time.Millisecond
)

// callers send requests of every kind and record their outcomes.
type callers struct {
	site *site.Site

	mutex    sync.Mutex
	attempts []Attempt
	// crashSenders maps each request that crashes servers to the entry that it was sent to.
	crashSenders map[string]string
}

func (c *callers) recordAttempt(attempt Attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts = append(c.attempts, attempt)
}

// allAttempts returns a copy of the attempts recorded so far.
func (c *callers) allAttempts() []Attempt {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Attempt(nil), c.attempts...)
}

// allCrashSenders returns a copy of crashSenders.
func (c *callers) allCrashSenders() map[string]string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.crashSenders)
}

// run sends requests to the entries of one zone over persistent connections until the context
// ends.
func (c *callers) run(ctx context.Context, zone, caller int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		attempt := Attempt{ID: fmt.Sprintf("soak-%d-%d-%d", zone, caller, number)}
		index := (caller + number/8) % c.site.Options.Entries
		attempt.Entry = launch.SiteProcessName(site.RoleEntry, zone, index)
		events := 1 + random.IntN(maxEvents)
		switch number % 4 {
		case 0:
			attempt.Kind = CallOnce
		case 1:
			attempt.Kind = CallSafe
		default:
			attempt.Kind = CallStream
		}
		if c.send(client, zone, index, &attempt, events) {
			c.recordAttempt(attempt)
			time.Sleep(requestDelay)
		} else {
			time.Sleep(reconnectDelay)
		}
	}
}

// send sends one request. It returns false when the entry refused the connection, so that
// nothing was sent.
func (c *callers) send(client *http.Client, zone, index int, attempt *Attempt, events int) bool {
	method, path := http.MethodPost, site.OncePrefix+"save"
	body := "words of " + attempt.ID
	switch attempt.Kind {
	case CallSafe:
		method, path = http.MethodGet, site.SafePrefix+attempt.ID
	case CallStream:
		path = site.StreamPrefix + "gloss"
	}
	if attempt.Kind != CallStream {
		events = 0
	}
	request, err := c.site.NewRequest(zone, index, method, path, attempt.ID, body, events)
	if err != nil {
		return false
	}
	attempt.Sent = time.Now()
	response, err := client.Do(request)
	if err != nil {
		attempt.Ended = time.Now()
		return !strings.Contains(err.Error(), "connection refused")
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	attempt.Ended, attempt.Status, attempt.Complete = time.Now(), response.StatusCode, err == nil
	attempt.Correct = isCorrect(*attempt, string(answer), method, path, body, events)
	return true
}

// isCorrect reports whether an answer is the complete answer to the request.
func isCorrect(attempt Attempt, answer, method, path, body string, events int) bool {
	if attempt.Kind != CallStream {
		if method == http.MethodGet {
			return strings.HasPrefix(answer, method+" "+path+" ")
		}
		return answer == method+" "+path+" "+body
	}
	var want strings.Builder
	for event := 1; event <= events; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s/%d\n\n", event, attempt.ID, event)
	}
	return answer == want.String()
}
