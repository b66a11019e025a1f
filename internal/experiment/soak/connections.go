package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Parameters of the callers that manage their own connections.
const (
	// In each zone, streamCallers send long streams and connectionCallers-streamCallers plain requests. Of
	// the latter, every second one opens a connection for each request; all others keep theirs.
	connectionCallers = 8
	streamCallers     = 4
	// A long stream has minLongEvents to maxLongEvents events: at the platform's rate of events it takes
	// between one second and two.
	minLongEvents = 100
	maxLongEvents = 180
	// plainDelay is the time between two plain requests of a caller.
	plainDelay = 30 * time.Millisecond
	// refusalDelay is the time that a caller waits after a refusal or an error.
	refusalDelay = 50 * time.Millisecond
	// closedCheckTime is how long a caller listens, before it sends a request, whether its connection was closed.
	closedCheckTime = time.Millisecond
	// connectionSeedStream separates these callers' random numbers from those of other callers.
	connectionSeedStream = 10_000
)

// connection is a caller's connection to an entry, on which one request at a time is sent. Unlike an HTTP client's, it
// never sends a request again by itself.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dialEntry(address string) (*connection, error) {
	raw, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// isOpen reports whether the entry has neither closed the connection nor sent anything unasked.
func (c *connection) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(closedCheckTime))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends a request and reads its answer. It returns whether the connection can be used again.
func (c *connection) exchange(request callerRequest, attempt *Attempt) bool {
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return false
	}
	attempt.Sent = time.Now()
	attempt.Deadline = attempt.Sent.Add(site.CallerDeadline)
	defer func() { attempt.Ended = time.Now() }()
	_ = c.SetDeadline(attempt.Sent.Add(callTimeout))
	if _, err := c.Write(encoded.Bytes()); err != nil {
		return false
	}
	attempt.Written = time.Now()
	response, err := http.ReadResponse(c.reader, request.Request)
	if err != nil {
		return false
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	attempt.Status, attempt.Complete = response.StatusCode, err == nil
	attempt.Correct = request.isAnsweredBy(*attempt, string(answer))
	return err == nil && !response.Close
}

// startOnConnections starts the callers that manage their own connections in every zone, until the context ends.
func (c *callers) startOnConnections(ctx context.Context, seed uint64, group *sync.WaitGroup) {
	for zone := range c.site.Options.Zones {
		for caller := range connectionCallers {
			random := rand.New(rand.NewPCG(seed, connectionSeedStream+uint64(zone+caller*c.site.Options.Zones)))
			name := fmt.Sprintf("kept-%d-%d-%d", seed, zone, caller)
			group.Go(func() { c.runOnConnections(ctx, name, zone, caller, random) })
		}
	}
}

// StartCallers starts the callers that manage their own connections at the entries of a site. Each start needs another
// seed, which is a part of the requests' IDs. When the context has ended,
// the returned function waits for the last answers and returns what the callers saw.
func StartCallers(ctx context.Context, emulated *site.Site, seed uint64) func() []Attempt {
	started := &callers{site: emulated}
	var group sync.WaitGroup
	started.startOnConnections(ctx, seed, &group)
	return func() []Attempt {
		group.Wait()
		return started.allAttempts()
	}
}

// runOnConnections sends requests to one entry until the context ends. It goes on using the entry and its connection
// while the entry stops, until the process is gone, and then waits for the next process. The requests' IDs begin with name.
func (c *callers) runOnConnections(ctx context.Context, name string, zone, caller int, random *rand.Rand) {
	index := caller % c.site.Options.Entries
	keeps := caller < streamCallers || caller/c.site.Options.Entries%2 == 0
	var current *connection
	for number := 0; ctx.Err() == nil; number++ {
		if current != nil && !(keeps && current.isOpen()) {
			_ = current.Close()
			current = nil
		}
		if current == nil {
			opened, err := dialEntry(c.site.EntryAddress(zone, index))
			if err != nil {
				// The entry is down and has read nothing.
				time.Sleep(reconnectDelay)
				continue
			}
			current = opened
		}
		attempt := Attempt{ID: fmt.Sprintf("%s-%d", name, number), Entry: launch.SiteProcessName(site.RoleEntry, zone, index), Kind: CallStream}
		if caller >= streamCallers {
			attempt.Kind = []RequestKind{CallOnce, CallSafe}[number%2]
		}
		request, err := c.newRequest(zone, index, attempt, minLongEvents+random.IntN(maxLongEvents-minLongEvents+1))
		if err != nil {
			return
		}
		reusable := current.exchange(request, &attempt)
		// A request that could not be written was not read as a whole.
		if !attempt.Written.IsZero() {
			c.recordAttempt(attempt)
		}
		if !reusable {
			_ = current.Close()
			current = nil
		}
		switch {
		case attempt.Status != http.StatusOK:
			time.Sleep(refusalDelay)
		case attempt.Kind != CallStream:
			time.Sleep(plainDelay)
		}
	}
	if current != nil {
		_ = current.Close()
	}
}
