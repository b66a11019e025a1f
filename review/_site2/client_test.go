package site2

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// kind is a kind of request that clients send.
type kind struct {
	name     string
	method   string
	prefix   string
	body     string
	events   int
	deadline time.Duration
	// isLater is set for requests on routes that were added later.
	isLater bool
}

// answer is what a client has seen of one request.
type answer struct {
	id      string
	kind    string
	isLater bool
	status  int
	seal    string
	body    string
	err     error
	sentAt  time.Time
	took    time.Duration
}

// served reports whether a request was answered with a signed success.
func (a answer) served() bool { return a.err == nil && a.status/100 == 2 && a.seal != "" }

// send sends one request to an entry and reads the whole answer.
func (c *play) send(client *http.Client, zone, entry int, k kind, id string) answer {
	a := answer{id: id, kind: k.name, isLater: k.isLater, sentAt: time.Now()}
	request, err := c.site.NewRequest(zone, entry, k.method, k.prefix+id, id, k.body, k.events)
	if err != nil {
		a.err = err
		return a
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	a.status, a.seal, a.body, a.err, a.took = response.StatusCode, response.Header.Get("Response-Seal"), string(body), err, time.Since(a.sentAt)
	return a
}

// logAnswer writes what was sent and answered to the record.
func (c *play) logAnswer(zone, entry int, a answer) {
	c.record.line("sent %-10s %s to entry %d-%d at %.3f: status %d, sealed %t, %d bytes, error %v, after %d ms", a.kind, a.id, zone, entry,
		a.sentAt.Sub(c.record.started).Seconds(), a.status, a.seal != "", len(a.body), a.err, a.took.Milliseconds())
}
