package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
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

// callerRequest is a request of one attempt, with what its answer must contain.
type callerRequest struct {
	*http.Request
	method, path, body string
	events             int
}

// newRequest returns the request of an attempt. Only streams have events.
func (c *callers) newRequest(zone, index int, attempt Attempt, events int) (callerRequest, error) {
	made := callerRequest{method: http.MethodPost, path: site.OncePrefix + "save", body: "words of " + attempt.ID}
	switch attempt.Kind {
	case CallSafe:
		made.method, made.path = http.MethodGet, site.SafePrefix+attempt.ID
	case CallStream:
		made.path, made.events = site.StreamPrefix+"gloss", events
	}
	request, err := c.site.NewRequest(zone, index, made.method, made.path, attempt.ID, made.body, made.events)
	if err == nil && made.events > 0 {
		site.SetPromptParts(request, promptParts(made.events))
	}
	made.Request = request
	return made, err
}

// isAnsweredBy reports whether an answer is the complete answer to an attempt of the request.
func (r callerRequest) isAnsweredBy(attempt Attempt, answer string) bool {
	return isCorrect(attempt, answer, r.method, r.path, r.body, r.events)
}

// send sends one request. It returns false when the entry refused the connection, so that
// nothing was sent.
func (c *callers) send(client *http.Client, zone, index int, attempt *Attempt, events int) bool {
	request, err := c.newRequest(zone, index, *attempt, events)
	if err != nil {
		return false
	}
	// The client may return before it has written the request.
	var written atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			now := time.Now()
			written.Store(&now)
		}
	}}
	attempt.Sent = time.Now()
	attempt.Deadline = attempt.Sent.Add(site.CallerDeadline)
	response, err := client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if at := written.Load(); at != nil {
		attempt.Written = *at
	}
	if err != nil {
		attempt.Ended = time.Now()
		return !strings.Contains(err.Error(), "connection refused")
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	attempt.Ended, attempt.Status, attempt.Complete = time.Now(), response.StatusCode, err == nil
	attempt.Correct = request.isAnsweredBy(*attempt, string(answer))
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
