package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// CrashTrigger describes requests that crash every server which begins to execute them. A request
// matches by its body or by the parts of its prompt.
type CrashTrigger struct {
	// BodyPrefix matches the bodies of the requests; "" matches none.
	BodyPrefix string
	// Parts matches the requests whose prompt has all these parts before its last one; nil matches
	// none.
	Parts []string
	// Servers limits the crashes to the servers that it returns true for; nil means all.
	Servers func(id string) bool
	// Written is what the server has sent of its answer when it crashes.
	Written WrittenPart
	// After is the time from the begin of the request to the crash, RestartDelay the time until
	// the server restarts; with 0 it is not restarted.
	After        time.Duration
	RestartDelay time.Duration
	// SameID restarts the server under its old ID.
	SameID bool
}

// WrittenPart is the part of an answer that a server has sent when it crashes. The answer has neither a
// length nor chunks, so that the crash ends it as its regular end would.
type WrittenPart int

// Possible parts.
const (
	NothingWritten WrittenPart = iota
	// FirstEventWritten and HalfEventWritten begin a stream; for an answer without events they are the
	// beginning of its body.
	FirstEventWritten
	HalfEventWritten
)

// matches reports whether a request crashes the servers that execute it.
func (t CrashTrigger) matches(request *http.Request, body []byte) bool {
	if t.BodyPrefix != "" && strings.HasPrefix(string(body), t.BodyPrefix) {
		return true
	}
	if len(t.Parts) == 0 {
		return false
	}
	held := sharedParts(request)
	return !slices.ContainsFunc(t.Parts, func(part string) bool { return !slices.Contains(held, part) })
}

// sharedParts returns the IDs of the parts of a request's prompt, without the last one, which belongs to
// the request alone.
func sharedParts(request *http.Request) []string {
	var parts []string
	for part := range strings.SplitSeq(request.Header.Get("Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		parts = append(parts, strings.ToLower(id))
	}
	return parts[:len(parts)-1]
}

// write sends the part of the answer that precedes the crash.
func (p WrittenPart) write(writer http.ResponseWriter, id string) {
	if p == NothingWritten {
		return
	}
	// Go's server sends a body with this encoding without chunks and closes the connection after it.
	writer.Header().Set("Transfer-Encoding", "identity")
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Response-Seal", "seal-"+id)
	writer.WriteHeader(http.StatusOK)
	_, _ = fmt.Fprintf(writer, "id: 1\ndata: %s/1\n\n", id)
	if p == HalfEventWritten {
		_, _ = fmt.Fprint(writer, "id: 2\nda")
	}
	if flusher, ok := writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// ServerCrash records a crash of a server and the request that caused it.
type ServerCrash struct {
	Server    string
	RequestID string
	At        time.Time
}

// listedAfterCrash is how long a crashed server stays listed: three heartbeats.
const listedAfterCrash = 1200 * time.Millisecond

// crashTracker crashes servers and restarts them.
type crashTracker struct {
	mutex     sync.Mutex
	triggers  []CrashTrigger
	crashes   []ServerCrash
	crashed   map[*Server]bool
	restarted []*Server
	closed    bool
}

// CrashOn sets the requests that crash servers from now on; without triggers none does.
func (s *Site) CrashOn(triggers ...CrashTrigger) {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	s.tracker.triggers = triggers
}

// Crashes returns the crashes caused by requests, in order of time.
func (s *Site) Crashes() []ServerCrash {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	return append([]ServerCrash(nil), s.tracker.crashes...)
}

// crashesOn reports whether a request crashes the server that executes it, and schedules the
// crash after the beginning of the answer has been sent.
func (s *Site) crashesOn(server *Server, writer http.ResponseWriter, request *http.Request, body []byte) bool {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	for _, trigger := range s.tracker.triggers {
		if !trigger.matches(request, body) || (trigger.Servers != nil && !trigger.Servers(server.options.ID)) {
			continue
		}
		id := request.Header.Get("Request-Id")
		trigger.Written.write(writer, id)
		if !s.tracker.crashed[server] && !s.tracker.closed {
			s.tracker.crashed[server] = true
			time.AfterFunc(trigger.After, func() { s.crash(server, id, trigger) })
		}
		return true
	}
	return false
}

func (s *Site) crash(server *Server, request string, trigger CrashTrigger) {
	staged := server.Crash()
	s.tracker.mutex.Lock()
	s.tracker.crashes = append(s.tracker.crashes, ServerCrash{Server: server.options.ID, RequestID: request, At: time.Now()})
	s.tracker.mutex.Unlock()
	id := server.options.ID
	if !trigger.SameID {
		time.AfterFunc(listedAfterCrash, func() { s.Store.Delete("servers/" + id) })
		id += "+"
	}
	if trigger.RestartDelay > 0 {
		time.AfterFunc(trigger.RestartDelay, func() { s.restart(server, id, staged) })
	}
}

// restart starts a replacement of a crashed server, with its staged pieces and no version loaded.
func (s *Site) restart(old *Server, id string, staged map[int][]byte) {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	if s.tracker.closed {
		return
	}
	options := old.options
	options.ID, options.Version, options.StartTime = id, 0, time.Now().UnixMilli()
	fresh := NewServer(options)
	fresh.Restage(staged)
	if err := fresh.Start(); err != nil {
		// The address is in use because the test started another server there.
		return
	}
	s.tracker.restarted = append(s.tracker.restarted, fresh)
}

// close stops the restarted servers.
func (c *crashTracker) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, server := range c.restarted {
		server.Crash()
	}
}
