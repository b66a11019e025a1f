package site

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are a server's injected faults. Each count is used up by requests.
type Faults struct {
	// CutAfter breaks a stream off after as many events, CutCount times.
	CutAfter int
	CutCount int
	// LoseAnswers runs requests and closes the connection without an answer.
	LoseAnswers int
	// Shed answers 503 without running, and asks for ShedRest where that is set.
	Shed        int
	ShedBackoff time.Duration
	// Silent takes requests and never answers; reports fail too.
	Silent bool
	// Failure servers report that they are well and fail every request.
	Failure FailureMode
	// FailHealthChecks fails every report and health check, and serves requests.
	FailHealthChecks bool
	// ExtraAnswers sends a second answer after the next ones.
	ExtraAnswers int
}

// FailureMode is how a server that reports that it is well fails its requests.
type FailureMode int

// The lies: requests run, and are answered with a failure, or their connections are reset, or
// they are never answered.
const (
	NoFailure FailureMode = iota
	FailWithErrors
	FailWithResets
	FailWithHangs
)

// ServerOptions describe a server.
type ServerOptions struct {
	ID      string
	Service string
	Zone    string
	// Region is the zone's.
	Region string
	// Address is an IP address and port.
	Address string
	Slots   int
	// Weights are set for a model server.
	Weights *Weights
	// Version is served from the beginning; 0 for none.
	Version uint64
	// EventTime is the time of one event, or of a plain answer; Warm that of taking a
	// version into service.
	EventTime time.Duration
	Warm      time.Duration
	// Heartbeat is how often the record is written again.
	Heartbeat time.Duration
	Store     *Store
	Requests  *RequestLog
	// StartTime is the Unix millisecond of the start, as the server tells it; 0 when it does not.
	StartTime int64
	// ColdTime is how long SetCold makes the server cold, ColdLimit how many requests a
	// second it then bears; 0 bears any number.
	ColdTime  time.Duration
	ColdLimit float64
	// OnBegin is told of each request that the server begins to run, by its id and body, and reports
	// whether the server ends by it; nil for never.
	OnBegin func(server *Server, id string, body []byte) bool
	// ReadPerSecond is how many tokens of prompts a model server reads in a second; 0 reads in no time.
	ReadPerSecond float64
}

// Server is the stand-in of a model server or a plain service.
type Server struct {
	options ServerOptions

	mutex   sync.Mutex
	version uint64
	// loadedLayers are the layers of the version that are in service.
	loadedLayers     layerRange
	corrupt   bool
	loading  bool
	sequence int
	heartbeats    int
	draining bool
	// heartbeatsStopped servers write no record any more.
	heartbeatsStopped  bool
	staged  map[int][]byte
	running int
	waiting int
	freed   chan struct{}
	faults  Faults
	// coldUntil is when the server will be warm; coldArrivals are those of the last second.
	coldUntil    time.Time
	coldArrivals []time.Time
	// overloaded is set once a cold server has received more than it bears.
	overloaded bool
	// limit and leaving are what every answer says, also reports: the rate as a text, empty for none.
	limit   string
	leaving bool
	// queueHeld is set while nothing that waits begins.
	queueHeld bool
	// readMutex is held while a prompt is read.
	readMutex sync.Mutex
	server  *http.Server
	stop    context.CancelFunc
}

// NewServer returns a server that does not listen yet; one that serves a version
// has it staged too.
func NewServer(options ServerOptions) *Server {
	s := &Server{options: options, version: options.Version, staged: map[int][]byte{}, freed: make(chan struct{})}
	if options.Weights != nil && options.Version > 0 {
		s.loadedLayers = s.allLayers()
		for index := range options.Weights.Pieces {
			s.staged[index] = options.Weights.Piece(options.Version, index)
		}
	}
	return s
}

// Start listens and enters the list of servers.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	s.writeHeartbeat()
	go func() {
		ticker := time.NewTicker(s.options.Heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.writeHeartbeat()
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// Crash ends the server; its record stays for the store to drop. What is staged
// outlasts it.
func (s *Server) Crash() map[int][]byte {
	s.stop()
	_ = s.server.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.staged
}

// Restage gives a new server what lay at a crashed one.
func (s *Server) Restage(staged map[int][]byte) { s.staged = staged }

// Leave announces a planned end.
func (s *Server) Leave() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.writeHeartbeat()
}

// StopHeartbeats ends the server's heartbeats and its record, as an outage of the store does;
// it serves on.
func (s *Server) StopHeartbeats() {
	s.mutex.Lock()
	s.heartbeatsStopped = true
	s.mutex.Unlock()
	s.options.Store.Delete("servers/" + s.options.ID)
}

// ResumeHeartbeats writes the record of a lapsed server anew, as the next heartbeat that the
// store takes does.
func (s *Server) ResumeHeartbeats() {
	s.mutex.Lock()
	s.heartbeatsStopped = false
	s.mutex.Unlock()
	s.writeHeartbeat()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// AnnounceLimit has every answer name how many requests a second the server takes; an empty text names none.
func (s *Server) AnnounceLimit(perSecond string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = perSecond
}

// AnnounceLeaving has every answer say that the server leaves, or not; its line says nothing of it.
func (s *Server) AnnounceLeaving(leaving bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = leaving
}

// CorruptStaged turns a staged piece bad.
func (s *Server) CorruptStaged(index int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if piece := s.staged[index]; len(piece) > 0 {
		bad := append([]byte(nil), piece...)
		bad[0] ^= 1
		s.staged[index] = bad
	}
}

// SetCold makes the server cold for its cold time from now on; its line tells it with the
// next heartbeat, or at once.
func (s *Server) SetCold(tellNow bool) {
	s.mutex.Lock()
	s.coldUntil = time.Now().Add(s.options.ColdTime)
	s.coldArrivals = nil
	s.mutex.Unlock()
	if tellNow {
		s.writeHeartbeat()
	}
}

// HoldQueue has every request wait from now on, whatever place is free, or lets what waits begin.
// Requests under way go on.
func (s *Server) HoldQueue(held bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queueHeld = held
	s.notifyWaiting()
}

// Overloaded reports whether the server has received more than it bears while it was cold.
func (s *Server) Overloaded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.overloaded
}

// recordDelivery records a request that has reached the server and is meant for it. A cold server
// that receives more than it bears in a second falls over: from then on it answers nobody,
// as a silent one does. The mutex is held.
func (s *Server) recordDelivery(id string) {
	now := time.Now()
	cold := now.Before(s.coldUntil)
	s.options.Requests.deliveries.add(Delivery{RequestID: id, Server: s.options.ID, Zone: s.options.Zone, Cold: cold, At: now})
	if !cold || s.options.ColdLimit == 0 {
		return
	}
	s.coldArrivals = append(s.coldArrivals, now)
	for now.Sub(s.coldArrivals[0]) >= time.Second {
		s.coldArrivals = s.coldArrivals[1:]
	}
	if float64(len(s.coldArrivals)) > s.options.ColdLimit {
		s.overloaded, s.faults.Silent = true, true
	}
}

// Version returns the version served whole, or 0.
func (s *Server) Version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.completelyLoaded() {
		return 0
	}
	return s.version
}

func (s *Server) models() []map[string]any {
	if s.options.Weights == nil || s.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.options.Weights.Model, "version": s.version, "adapters": []string{}}}
}

func (s *Server) writeHeartbeat() {
	s.mutex.Lock()
	s.heartbeats++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	record := map[string]any{
		"service": s.options.Service, "address": s.options.Address, "zone": s.options.Zone, "version": "v1", "slots": s.options.Slots,
		"state": state, "coldRemainingMs": max(0, time.Until(s.coldUntil).Milliseconds()), "stage": "both", "models": s.models(), "layers": s.layers(), "sequence": s.heartbeats,
	}
	if s.options.StartTime != 0 {
		record["born"] = s.options.StartTime
	}
	lapsed := s.heartbeatsStopped
	s.mutex.Unlock()
	if !lapsed {
		s.options.Store.Put("servers/"+s.options.ID, record)
	}
}

func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	silent, ill := s.faults.Silent, s.faults.FailHealthChecks
	s.mutex.Unlock()
	path := request.URL.Path
	if ill && (path == "/-/report" || path == "/healthz") {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if silent {
		if !strings.HasPrefix(path, "/-/") {
			_, _ = s.readBody(request)
		}
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch {
	case path == "/-/report":
		s.serveReport(writer)
	case path == "/-/order":
		s.serveOrder(writer, request)
	case strings.HasPrefix(path, "/-/stage-"):
		s.serveStage(writer, request)
	default:
		s.handleRequest(writer, request)
	}
}

func (s *Server) serveReport(writer http.ResponseWriter) {
	s.mutex.Lock()
	s.writeNotice(writer.Header(), "", 0)
	report := map[string]any{
		"stage": "both", "models": s.models(), "layers": s.layers(), "busy": s.loading, "sequence": s.sequence,
		"numWaiting": s.waiting, "numRunning": s.running, "kvUsed": 0, "kvTotal": 1000, "pace": 1.0,
	}
	if s.options.StartTime != 0 {
		report["born"] = s.options.StartTime
	}
	s.mutex.Unlock()
	writeJSON(writer, report)
}

// notifyWaiting lets waiting requests look again; the mutex is held.
func (s *Server) notifyWaiting() {
	close(s.freed)
	s.freed = make(chan struct{})
}

// Running returns how many requests run now.
func (s *Server) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// ID returns the server's name on the list.
func (s *Server) ID() string { return s.options.ID }

// Waiting returns how many requests wait now.
func (s *Server) Waiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.waiting
}
