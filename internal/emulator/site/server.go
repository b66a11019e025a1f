package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Faults are the injected faults of a server. Counters decrease with each affected request.
type Faults struct {
	// CutAfter is the number of events after which a stream is cut; the next CutCount streams are
	// cut.
	CutAfter int
	CutCount int
	// LoseAnswers executes the next requests but closes their connections without an answer.
	LoseAnswers int
	// Shed rejects the next requests with 503 without executing them, with a Retry-After of
	// ShedBackoff if set.
	Shed        int
	ShedBackoff time.Duration
	// Silent accepts requests and status queries and never answers.
	Silent bool
	// Failure makes every request fail while the server reports that it is healthy.
	Failure FailureMode
	// FailHealthChecks fails status reports and health checks while requests are served.
	FailHealthChecks bool
	// ExtraAnswers sends a second answer after each of the next ones.
	ExtraAnswers int
	// UnmarkedEnds has answers come with neither a length nor chunks and end with their connection.
	UnmarkedEnds bool
	// HealthChecks is how health checks fail, also those for another instance.
	HealthChecks HealthCheckFailure
	// PauseAtOrder pauses the server when an order comes, before the order is taken, and corrupts the first
	// CorruptAtOrder staged pieces then. Later orders are taken at once.
	PauseAtOrder   time.Duration
	CorruptAtOrder int
}

// HealthCheckFailure is how health checks fail at a server that serves requests.
type HealthCheckFailure int

// Failures of health checks: they are rejected as at a full server, not answered, or have their connection reset.
const (
	HealthChecksAnswered HealthCheckFailure = iota
	HealthChecksRejected
	HealthChecksHang
	HealthChecksReset
)

// FailureMode is how requests fail at a server that reports that it is healthy.
type FailureMode int

// Failure modes: requests are executed and then answered with an error, have their connection
// reset, or are never answered.
const (
	NoFailure FailureMode = iota
	FailWithErrors
	FailWithResets
	FailWithHangs
)

// ServerOptions configures a server.
type ServerOptions struct {
	ID      string
	Service string
	Zone    string
	// Region is the region of the zone.
	Region string
	// Address is the IP address and port to listen on.
	Address string
	Slots   int
	// Weights is set for a model server.
	Weights *Weights
	// Version is the initially loaded version, 0 for none.
	Version uint64
	// EventTime is the time that a stream event or a response without a stream takes. Warm is the
	// time to load a version.
	EventTime time.Duration
	Warm      time.Duration
	// Heartbeat is the interval at which the server's record is written.
	Heartbeat time.Duration
	Store     *Store
	Requests  *RequestLog
	// StartTime is the announced start time in Unix milliseconds, 0 to omit it.
	StartTime int64
	// ColdTime is the duration of the cold start that SetCold begins. ColdLimit is the number of
	// requests per second above which a cold server becomes overloaded; 0 means no limit.
	ColdTime  time.Duration
	ColdLimit float64
	// OnBegin is called with each request that the server begins to execute and its body. It reports
	// whether the request crashes the server, and may write the beginning of the answer then. It may be
	// nil.
	OnBegin func(server *Server, writer http.ResponseWriter, request *http.Request, body []byte) bool
	// ReadPerSecond is the prefill rate of a model server in prompt tokens per second; 0 means
	// that prefill takes no time.
	ReadPerSecond float64
}

// Server emulates a model server or a plain service.
type Server struct {
	options ServerOptions

	mutex   sync.Mutex
	version uint64
	// loadedLayers is the loaded layer range of the version.
	loadedLayers layerRange
	corrupt      bool
	loading      bool
	sequence     int
	heartbeats   int
	draining     bool
	// heartbeatsStopped suppresses heartbeats.
	heartbeatsStopped bool
	staged            map[int][]byte
	running           int
	waiting           int
	slotFreed         chan struct{}
	faults            Faults
	// coldUntil is the end of the cold start; coldArrivals are its arrivals within the last
	// second.
	coldUntil    time.Time
	coldArrivals []time.Time
	// overloaded is set when the server received more than ColdLimit requests per second in its
	// cold start.
	overloaded bool
	// limit and leaving are announced in every answer and status report; an empty limit announces
	// none.
	limit   string
	leaving bool
	// queueHeld keeps waiting requests from starting.
	queueHeld bool
	// pausedUntil is when the server sends something again; see Pause.
	pausedUntil time.Time
	// brokenOff is closed when the server breaks off its answers; see BreakOff.
	brokenOff chan struct{}
	// readMutex serializes prefills.
	readMutex sync.Mutex
	server    *http.Server
	stop      context.CancelFunc
}

// NewServer returns a server that does not listen yet. The pieces of its initial version are
// staged.
func NewServer(options ServerOptions) *Server {
	s := &Server{options: options, version: options.Version, staged: map[int][]byte{}, slotFreed: make(chan struct{}), brokenOff: make(chan struct{})}
	if options.Weights != nil && options.Version > 0 {
		s.loadedLayers = s.allLayers()
		for index := range options.Weights.Pieces {
			s.staged[index] = options.Weights.Piece(options.Version, index)
		}
	}
	return s
}

// Start begins to listen and to write heartbeats.
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
				s.waitWhilePaused(ctx)
				s.writeHeartbeat()
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// Crash stops the server without removing its record, and returns the staged pieces, which survive
// the crash.
func (s *Server) Crash() map[int][]byte {
	s.stop()
	_ = s.server.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.staged
}

// Restage gives a new server the staged pieces of a crashed one.
func (s *Server) Restage(staged map[int][]byte) { s.staged = staged }

// Leave announces a planned shutdown.
func (s *Server) Leave() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.writeHeartbeat()
}

// StopHeartbeats stops the heartbeats and removes the server's record, as after an outage of the
// store. The server keeps serving.
func (s *Server) StopHeartbeats() {
	s.mutex.Lock()
	s.heartbeatsStopped = true
	s.mutex.Unlock()
	s.options.Store.Delete("servers/" + s.options.ID)
}

// ResumeHeartbeats writes the server's record again, as the first heartbeat after the outage does.
func (s *Server) ResumeHeartbeats() {
	s.mutex.Lock()
	s.heartbeatsStopped = false
	s.mutex.Unlock()
	s.writeHeartbeat()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// AnnounceLimit announces a rate limit in requests per second in every answer; an empty string
// announces none.
func (s *Server) AnnounceLimit(perSecond string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = perSecond
}

// AnnounceLeaving sets whether every answer announces that the server leaves. Its record does not
// change.
func (s *Server) AnnounceLeaving(leaving bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = leaving
}

// CorruptStaged changes a byte of a staged piece.
func (s *Server) CorruptStaged(index int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if piece := s.staged[index]; len(piece) > 0 {
		corrupted := append([]byte(nil), piece...)
		corrupted[0] ^= 1
		s.staged[index] = corrupted
	}
}

// SetCold begins a cold start. It is announced at once if announceNow is set, otherwise by the next
// heartbeat.
func (s *Server) SetCold(announceNow bool) {
	s.mutex.Lock()
	s.coldUntil = time.Now().Add(s.options.ColdTime)
	s.coldArrivals = nil
	s.mutex.Unlock()
	if announceNow {
		s.writeHeartbeat()
	}
}

// HoldQueue sets whether requests have to wait even if capacity is free. Running requests
// continue.
func (s *Server) HoldQueue(held bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queueHeld = held
	s.notifyWaiting()
}

// Overloaded reports whether the server received more requests than it tolerates in a cold start.
func (s *Server) Overloaded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.overloaded
}

// recordDelivery records a request that reached the server it was meant for. The mutex must be held. A
// server that receives more requests per second than it tolerates in a cold start stops answering.
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

// Version returns the version if all its layers are loaded, otherwise 0.
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
	coldRemaining := max(0, time.Until(s.coldUntil).Milliseconds())
	content := fmt.Sprint(state, coldRemaining, s.models(), s.layers())
	record := map[string]any{
		"service": s.options.Service, "address": s.options.Address, "zone": s.options.Zone, "version": "v1", "slots": s.options.Slots,
		"state": state, "coldRemainingMs": coldRemaining, "stage": "both", "models": s.models(), "layers": s.layers(), "sequence": s.heartbeats,
	}
	if s.options.StartTime != 0 {
		record["born"] = s.options.StartTime
	}
	stopped := s.heartbeatsStopped
	s.mutex.Unlock()
	if !stopped {
		s.options.Store.PutHeartbeat("servers/"+s.options.ID, record, content)
	}
}

func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	s.waitWhilePaused(request.Context())
	s.mutex.Lock()
	silent, unhealthy := s.faults.Silent, s.faults.FailHealthChecks
	s.mutex.Unlock()
	path := request.URL.Path
	if unhealthy && (path == "/-/report" || path == "/healthz") {
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
	case path == "/healthz":
		s.serveHealth(writer, request)
	case path == "/-/order":
		s.serveOrder(writer, request)
	case strings.HasPrefix(path, "/-/stage-"):
		s.serveStage(writer, request)
	default:
		s.handleRequest(writer, request)
	}
}

// serveHealth answers a health check, which takes no slot here.
func (s *Server) serveHealth(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	failure := s.faults.HealthChecks
	s.mutex.Unlock()
	switch failure {
	case HealthChecksRejected:
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case HealthChecksHang:
		<-request.Context().Done()
		return
	case HealthChecksReset:
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Instance-Id", s.options.ID)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.options.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
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

// notifyWaiting wakes waiting requests. The mutex must be held.
func (s *Server) notifyWaiting() {
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// Running returns the number of running requests.
func (s *Server) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// ID returns the server's instance ID.
func (s *Server) ID() string { return s.options.ID }

// Waiting returns the number of waiting requests.
func (s *Server) Waiting() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.waiting
}
