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

// listedAfterCrash is how long the list goes on naming a server that has ended without a word: three
// heartbeats.
const listedAfterCrash = 1200 * time.Millisecond

// crashTracker ends servers and starts new ones in their place.
type crashTracker struct {
	mutex    sync.Mutex
	trigger CrashTrigger
	crashes     []ServerCrash
	crashed    map[*Server]bool
	restarted   []*Server
	closed   bool
}

// CrashOn makes every server end that runs a request of a kind, from now on.
func (s *Site) CrashOn(crashing CrashTrigger) {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	s.tracker.trigger = crashing
}

// Crashes returns the servers that requests have ended, in order of time.
func (s *Site) Crashes() []ServerCrash {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	return append([]ServerCrash(nil), s.tracker.crashes...)
}

// crashesOn reports whether a request ends the server that has begun to run it, and sees to that.
func (s *Site) crashesOn(server *Server, id string, body []byte) bool {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	crashing := s.tracker.trigger
	if crashing.BodyPrefix == "" || !strings.HasPrefix(string(body), crashing.BodyPrefix) {
		return false
	}
	if !s.tracker.crashed[server] && !s.tracker.closed {
		s.tracker.crashed[server] = true
		time.AfterFunc(crashing.After, func() { s.crash(server, id, crashing) })
	}
	return true
}

func (s *Site) crash(server *Server, request string, crashing CrashTrigger) {
	staged := server.Crash()
	s.tracker.mutex.Lock()
	s.tracker.crashes = append(s.tracker.crashes, ServerCrash{Server: server.options.ID, RequestID: request, At: time.Now()})
	s.tracker.mutex.Unlock()
	id := server.options.ID
	if !crashing.SameID {
		time.AfterFunc(listedAfterCrash, func() { s.Store.Delete("servers/" + id) })
		id += "+"
	}
	if crashing.RestartDelay > 0 {
		time.AfterFunc(crashing.RestartDelay, func() { s.restart(server, id, staged) })
	}
}

// restart starts a server at the place of one that has ended, with what was staged there and nothing in
// service.
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
		// The address is taken, because a test has started another server there.
		return
	}
	s.tracker.restarted = append(s.tracker.restarted, fresh)
}

// close ends the servers that were started anew.
func (c *crashTracker) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, server := range c.restarted {
		server.Crash()
	}
}
