package site

import (
	"strings"
	"sync"
	"time"
)

// CrashTrigger describes content that ends each server which begins to run it.
type CrashTrigger struct {
	// BodyPrefix is what the bodies of the requests that do so begin with.
	BodyPrefix string
	// After is how long such a request runs until its server ends, Away how long the server is away; 0
	// leaves it to others to start it again.
	After        time.Duration
	RestartDelay time.Duration
	// SameID has the server start again under its ID.
	SameID bool
}

// ServerCrash is one server that a request has ended.
type ServerCrash struct {
	Server string
	// RequestID is that of the request.
	RequestID string
	At        time.Time
}

// listedAfterEnd is how long the list goes on naming a server that has ended without a word: three
// heartbeats.
const listedAfterEnd = 1200 * time.Millisecond

// crashes ends servers and starts new ones in their place.
type crashes struct {
	mutex    sync.Mutex
	crashing CrashTrigger
	ends     []ServerCrash
	ended    map[*Server]bool
	reborn   []*Server
	closed   bool
}

// CrashOn makes every server end that runs a request of a kind, from now on.
func (s *Site) CrashOn(crashing CrashTrigger) {
	s.crashes.mutex.Lock()
	defer s.crashes.mutex.Unlock()
	s.crashes.crashing = crashing
}

// Crashes returns the servers that requests have ended, in order of time.
func (s *Site) Crashes() []ServerCrash {
	s.crashes.mutex.Lock()
	defer s.crashes.mutex.Unlock()
	return append([]ServerCrash(nil), s.crashes.ends...)
}

// begins reports whether a request ends the server that has begun to run it, and sees to that.
func (s *Site) begins(server *Server, id string, body []byte) bool {
	s.crashes.mutex.Lock()
	defer s.crashes.mutex.Unlock()
	crashing := s.crashes.crashing
	if crashing.BodyPrefix == "" || !strings.HasPrefix(string(body), crashing.BodyPrefix) {
		return false
	}
	if !s.crashes.ended[server] && !s.crashes.closed {
		s.crashes.ended[server] = true
		time.AfterFunc(crashing.After, func() { s.end(server, id, crashing) })
	}
	return true
}

func (s *Site) end(server *Server, request string, crashing CrashTrigger) {
	staged := server.Crash()
	s.crashes.mutex.Lock()
	s.crashes.ends = append(s.crashes.ends, ServerCrash{Server: server.options.ID, RequestID: request, At: time.Now()})
	s.crashes.mutex.Unlock()
	id := server.options.ID
	if !crashing.SameID {
		time.AfterFunc(listedAfterEnd, func() { s.Store.Delete("servers/" + id) })
		id += "+"
	}
	if crashing.RestartDelay > 0 {
		time.AfterFunc(crashing.RestartDelay, func() { s.restart(server, id, staged) })
	}
}

// restart starts a server at the place of one that has ended, with what was staged there and nothing in
// service.
func (s *Site) restart(old *Server, id string, staged map[int][]byte) {
	s.crashes.mutex.Lock()
	defer s.crashes.mutex.Unlock()
	if s.crashes.closed {
		return
	}
	options := old.options
	options.ID, options.Version, options.StartTime = id, 0, time.Now().UnixMilli()
	fresh := NewServer(options)
	fresh.Restage(staged)
	if err := fresh.Start(); err != nil {
		// The address is taken, because a test has started another server there.
		return
	}
	s.crashes.reborn = append(s.crashes.reborn, fresh)
}

// close ends the servers that were started anew.
func (c *crashes) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, server := range c.reborn {
		server.Crash()
	}
}
