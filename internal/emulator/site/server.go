package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that a server has begun.
type Run struct {
	RequestID string
	Server    string
	Service   string
	// Version is that of the weights, 0 at a plain service.
	Version uint64
	// Spoilt is set when a piece of the layers taken was missing or wrong.
	Spoilt bool
	Tenant string
	// KeySeen is set when the caller's key reached the server.
	KeySeen bool
	At      time.Time
}

// Delivery is one request that has reached a server and was meant for it: answers that it is
// not, 421, are left out.
type Delivery struct {
	RequestID string
	Server    string
	Zone      string
	// Cold is set when the server was cold.
	Cold bool
	At   time.Time
}

// Ledger records what came to servers, what was delivered to the one that it was meant for,
// and what ran, over all of them.
type Ledger struct {
	mutex      sync.Mutex
	runs       []Run
	deliveries []Delivery
	arrivals   arrivals
}

func (l *Ledger) delivered(delivery Delivery) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.deliveries = append(l.deliveries, delivery)
}

// Deliveries returns everything that has reached a server, in order of time.
func (l *Ledger) Deliveries() []Delivery {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Delivery(nil), l.deliveries...)
}

// MostWhileCold is the most requests that any one server has received in a second in which
// it was cold.
func (l *Ledger) MostWhileCold() int {
	recent := map[string][]time.Time{}
	most := 0
	for _, delivery := range l.Deliveries() {
		if !delivery.Cold {
			continue
		}
		times := append(recent[delivery.Server], delivery.At)
		for delivery.At.Sub(times[0]) >= time.Second {
			times = times[1:]
		}
		recent[delivery.Server] = times
		most = max(most, len(times))
	}
	return most
}

func (l *Ledger) add(run Run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, run)
}

// Runs returns everything that ran.
func (l *Ledger) Runs() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Run(nil), l.runs...)
}

// Faults are a server's injected faults. Each count is used up by requests.
type Faults struct {
	// CutAfter breaks a stream off after as many events, CutCount times.
	CutAfter int
	CutCount int
	// LoseAnswers runs requests and closes the connection without an answer.
	LoseAnswers int
	// Shed answers 503 without running.
	Shed int
	// Silent takes requests and never answers; reports fail too.
	Silent bool
	// Surplus sends a second answer after the next ones.
	Surplus int
}

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
	Ledger    *Ledger
	// ColdTime is how long SetCold makes the server cold, ColdLimit how many requests a
	// second it then bears; 0 bears any number.
	ColdTime  time.Duration
	ColdLimit float64
}

// Server is the stand-in of a model server or a plain service.
type Server struct {
	options ServerOptions

	mutex   sync.Mutex
	version uint64
	// held are the layers of the version that are in service.
	held     layerRange
	spoilt   bool
	loading  bool
	sequence int
	beats    int
	draining bool
	// lapsed servers write no record any more.
	lapsed  bool
	staged  map[int][]byte
	running int
	waiting int
	freed   chan struct{}
	faults  Faults
	// coldUntil is when the server will be warm; coldArrivals are those of the last second.
	coldUntil    time.Time
	coldArrivals []time.Time
	// fallen is set once a cold server has received more than it bears.
	fallen bool
	server *http.Server
	stop   context.CancelFunc
}

// layerRange is a range of a model's layers, to exclusive.
type layerRange struct {
	from, to int
}

func (r layerRange) within(other layerRange) bool { return r.from >= other.from && r.to <= other.to }

// all is the range of all layers of the server's model.
func (s *Server) all() layerRange {
	if s.options.Weights == nil {
		return layerRange{}
	}
	return layerRange{to: s.options.Weights.Layers}
}

// whole reports whether every layer of a version is in service; the mutex is held.
func (s *Server) whole() bool { return s.version != 0 && s.held == s.all() }

// NewServer returns a server that does not listen yet; one that serves a version
// has it staged too.
func NewServer(options ServerOptions) *Server {
	s := &Server{options: options, version: options.Version, staged: map[int][]byte{}, freed: make(chan struct{})}
	if options.Weights != nil && options.Version > 0 {
		s.held = s.all()
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
	s.beat()
	go func() {
		ticker := time.NewTicker(s.options.Heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.beat()
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
	s.beat()
}

// Lapse ends the server's heartbeats and its record, as an outage of the store does;
// it serves on.
func (s *Server) Lapse() {
	s.mutex.Lock()
	s.lapsed = true
	s.mutex.Unlock()
	s.options.Store.Delete("servers/" + s.options.ID)
}

// Return writes the record of a lapsed server anew, as the next heartbeat that the
// store takes does.
func (s *Server) Return() {
	s.mutex.Lock()
	s.lapsed = false
	s.mutex.Unlock()
	s.beat()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

// Rot turns a staged piece bad.
func (s *Server) Rot(index int) {
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
		s.beat()
	}
}

// Fallen reports whether the server has received more than it bears while it was cold.
func (s *Server) Fallen() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fallen
}

// arrive records a request that has reached the server and is meant for it. A cold server
// that receives more than it bears in a second falls over: from then on it answers nobody,
// as a silent one does. The mutex is held.
func (s *Server) arrive(id string) {
	now := time.Now()
	cold := now.Before(s.coldUntil)
	s.options.Ledger.delivered(Delivery{RequestID: id, Server: s.options.ID, Zone: s.options.Zone, Cold: cold, At: now})
	if !cold || s.options.ColdLimit == 0 {
		return
	}
	s.coldArrivals = append(s.coldArrivals, now)
	for now.Sub(s.coldArrivals[0]) >= time.Second {
		s.coldArrivals = s.coldArrivals[1:]
	}
	if float64(len(s.coldArrivals)) > s.options.ColdLimit {
		s.fallen, s.faults.Silent = true, true
	}
}

// Version returns the version served whole, or 0.
func (s *Server) Version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.whole() {
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

// layers are told beside the models; none while the server takes an order.
func (s *Server) layers() map[string]any {
	if s.options.Weights == nil || s.version == 0 || s.loading {
		return nil
	}
	return map[string]any{"from": s.held.from, "targetVersion": s.held.to, "version": s.version}
}

func (s *Server) beat() {
	s.mutex.Lock()
	s.beats++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	record := map[string]any{
		"service": s.options.Service, "address": s.options.Address, "zone": s.options.Zone, "version": "v1", "slots": s.options.Slots,
		"state": state, "coldRemainingMs": max(0, time.Until(s.coldUntil).Milliseconds()), "stage": "both", "models": s.models(), "layers": s.layers(), "sequence": s.beats,
	}
	lapsed := s.lapsed
	s.mutex.Unlock()
	if !lapsed {
		s.options.Store.Put("servers/"+s.options.ID, record)
	}
}

func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	silent := s.faults.Silent
	s.mutex.Unlock()
	path := request.URL.Path
	if silent {
		if !strings.HasPrefix(path, "/-/") {
			_, _ = s.receive(request)
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
		s.run(writer, request)
	}
}

func (s *Server) serveReport(writer http.ResponseWriter) {
	s.mutex.Lock()
	report := map[string]any{
		"stage": "both", "models": s.models(), "layers": s.layers(), "busy": s.loading, "sequence": s.sequence,
		"numWaiting": s.waiting, "numRunning": s.running, "kvUsed": 0, "kvTotal": 1000, "pace": 1.0,
	}
	s.mutex.Unlock()
	writeJSON(writer, report)
}

// startOrder is an order to take layers of a staged version into service; without a range,
// all of them.
type startOrder struct {
	Op       string `json:"op"`
	Version  uint64 `json:"version"`
	From     *int   `json:"from"`
	To       *int   `json:"targetVersion"`
	Expected *int   `json:"expectedRevision"`
}

// layers is the range that the order asks for, of a number in all; false when there is no such
// range.
func (o startOrder) layers(all layerRange) (layerRange, bool) {
	asked := all
	if o.From != nil {
		asked.from = *o.From
	}
	if o.To != nil {
		asked.to = *o.To
	}
	return asked, asked.within(all) && asked.from < asked.to
}

// serveOrder takes an order from the own machine.
func (s *Server) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order startOrder
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "start" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	asked, exists := order.layers(s.all())
	more := s.version == order.Version
	switch {
	case !exists:
		writer.WriteHeader(http.StatusBadRequest)
	case s.loading || (order.Expected != nil && *order.Expected != s.sequence):
		writer.WriteHeader(http.StatusConflict)
	case more && asked.within(s.held):
		writer.WriteHeader(http.StatusOK)
	default:
		s.sequence++
		s.loading = true
		spoilt := s.stagedWrong(order.Version, asked) || (more && s.spoilt)
		go s.load(order.Version, asked, spoilt)
		writer.WriteHeader(http.StatusAccepted)
	}
}

// stagedWrong reports whether what lies here is not what layers of a version consist of; the
// mutex is held. A piece that two layers share belongs to both.
func (s *Server) stagedWrong(version uint64, layers layerRange) bool {
	weights := s.options.Weights
	first := layers.from * weights.Pieces / weights.Layers
	end := (layers.to*weights.Pieces + weights.Layers - 1) / weights.Layers
	for index := first; index < end; index++ {
		if string(s.staged[index]) != string(s.options.Weights.Piece(version, index)) {
			return true
		}
	}
	return false
}

// load takes layers of a version into service after what runs.
func (s *Server) load(version uint64, layers layerRange, spoilt bool) {
	for {
		s.mutex.Lock()
		running, freed := s.running, s.freed
		s.mutex.Unlock()
		if running == 0 {
			break
		}
		<-freed
	}
	time.Sleep(s.options.Warm)
	s.mutex.Lock()
	s.version, s.held, s.spoilt, s.loading = version, layers, spoilt, false
	s.wake()
	s.mutex.Unlock()
	s.beat()
}

// wake lets waiting requests look again; the mutex is held.
func (s *Server) wake() {
	close(s.freed)
	s.freed = make(chan struct{})
}

func (s *Server) serveStage(writer http.ResponseWriter, request *http.Request) {
	own, _, _ := net.SplitHostPort(s.options.Address)
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	// On loopback the own machine shows as the system's first address.
	if from != own && from != "127.0.0.1" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := request.URL.Query().Get("numItems")
	index, err := strconv.Atoi(text)
	switch {
	case request.Method == http.MethodPut && err == nil:
		content, _ := io.ReadAll(request.Body)
		s.staged[index] = content
	case text == "":
		held := []int{}
		for one := range s.staged {
			held = append(held, one)
		}
		writeJSON(writer, map[string]any{"held": held})
	case s.staged[index] == nil:
		writer.WriteHeader(http.StatusNotFound)
	default:
		_, _ = writer.Write(s.staged[index])
	}
}

// admit waits for a place; it answers itself when there is none.
func (s *Server) admit(writer http.ResponseWriter, request *http.Request) bool {
	refuse := func(status int) bool {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(status)
		return false
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.options.ID {
		return refuse(http.StatusMisdirectedRequest)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrive(request.Header.Get("Request-Id"))
	if s.faults.Shed > 0 {
		s.faults.Shed--
		return refuse(http.StatusServiceUnavailable)
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.loading || s.running >= s.options.Slots || (s.options.Weights != nil && s.version == 0) {
		if s.options.Weights != nil && s.version == 0 && !s.loading {
			return refuse(http.StatusServiceUnavailable)
		}
		freed := s.freed
		s.mutex.Unlock()
		select {
		case <-freed:
		case <-request.Context().Done():
		}
		s.mutex.Lock()
		if request.Context().Err() != nil {
			return false
		}
	}
	if s.options.Weights != nil && !s.whole() {
		return refuse(http.StatusMisdirectedRequest)
	}
	if expected := request.Header.Get("Expect-Version"); expected != "" && expected != strconv.FormatUint(s.version, 10) {
		return refuse(http.StatusMisdirectedRequest)
	}
	s.running++
	return true
}

// receive reads a request's body and records where it came.
func (s *Server) receive(request *http.Request) ([]byte, error) {
	body, err := io.ReadAll(request.Body)
	s.options.Ledger.arrivals.add(Arrival{
		RequestID: request.Header.Get("Request-Id"), Server: s.options.ID, Service: s.options.Service,
		Path: request.URL.Path, Zone: s.options.Zone, Region: s.options.Region, BodyBytes: len(body), At: time.Now(),
	})
	return body, err
}

func (s *Server) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Instance-Id", s.options.ID)
	body, err := s.receive(request)
	if err != nil || !s.admit(writer, request) {
		return
	}
	defer func() {
		s.mutex.Lock()
		s.running--
		s.wake()
		s.mutex.Unlock()
	}()
	s.mutex.Lock()
	run := Run{
		RequestID: id, Server: s.options.ID, Service: s.options.Service, Version: s.version, Spoilt: s.spoilt,
		Tenant: request.Header.Get("Tenant"), KeySeen: request.Header.Get("Authorization") != "", At: time.Now(),
	}
	faults := s.faults
	if faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	if faults.CutCount > 0 {
		s.faults.CutCount--
	}
	s.mutex.Unlock()
	s.options.Ledger.add(run)
	if faults.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Response-Seal", "seal-"+id)
	if s.options.Weights == nil {
		s.answerPlain(writer, request, body)
		return
	}
	cutAfter := -1
	if faults.CutCount > 0 {
		cutAfter = faults.CutAfter
	}
	s.answerStream(writer, request, run, cutAfter)
}

func (s *Server) answerPlain(writer http.ResponseWriter, request *http.Request, body []byte) {
	time.Sleep(s.options.EventTime)
	_, _ = fmt.Fprintf(writer, "%s %s %s", request.Method, request.RequestURI, body)
}

// answerStream writes as many events as the request may have tokens, after the
// last that the caller has.
func (s *Server) answerStream(writer http.ResponseWriter, request *http.Request, run Run, cutAfter int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Weight-Versions", strconv.FormatUint(run.Version, 10))
	_, most, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	events, _ := strconv.Atoi(most)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.WriteHeader(http.StatusOK)
	flusher, _ := writer.(http.Flusher)
	sent := 0
	for event := last + 1; event <= events; event++ {
		select {
		case <-time.After(s.options.EventTime):
		case <-request.Context().Done():
			return
		}
		if cutAfter >= 0 && sent >= cutAfter {
			_, _ = fmt.Fprintf(writer, "id: %d\nda", event)
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s/%d\n\n", event, run.RequestID, event)
		flusher.Flush()
		sent++
	}
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
