package site

import (
	"strings"
	"sync"
	"time"
)

// CrashTrigger describes requests that crash every server which begins to execute them.
type CrashTrigger struct {
	// BodyPrefix matches the bodies of the requests.
	BodyPrefix string
	// After is the time from the begin of the request to the crash, RestartDelay the time until
	// the server restarts; with 0 it is not restarted.
	After        time.Duration
	RestartDelay time.Duration
	// SameID restarts the server under its old ID.
	SameID bool
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
	trigger   CrashTrigger
	crashes   []ServerCrash
	crashed   map[*Server]bool
	restarted []*Server
	closed    bool
}

// CrashOn sets the requests that crash servers from now on.
func (s *Site) CrashOn(trigger CrashTrigger) {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	s.tracker.trigger = trigger
}

// Crashes returns the crashes caused by requests, in order of time.
func (s *Site) Crashes() []ServerCrash {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	return append([]ServerCrash(nil), s.tracker.crashes...)
}

// crashesOn reports whether a request crashes the server that executes it, and schedules the
// crash.
func (s *Site) crashesOn(server *Server, id string, body []byte) bool {
	s.tracker.mutex.Lock()
	defer s.tracker.mutex.Unlock()
	trigger := s.tracker.trigger
	if trigger.BodyPrefix == "" || !strings.HasPrefix(string(body), trigger.BodyPrefix) {
		return false
	}
	if !s.tracker.crashed[server] && !s.tracker.closed {
		s.tracker.crashed[server] = true
		time.AfterFunc(trigger.After, func() { s.crash(server, id, trigger) })
	}
	return true
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
