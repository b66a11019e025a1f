package site2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Figures of a closing server.
const (
	closingPort      = 8001
	closingSlots     = 6
	closingHeartbeat = 1200 * time.Millisecond
)

// closingServer is a sound plain server that closes each connection after its answer, as a server of HTTP/1.0
// does. Without lengths its answers have neither a length nor chunks.
type closingServer struct {
	id      string
	service string
	zone    string
	address string
	runTime time.Duration
	store   *site.Store
	born    int64
	slots   chan struct{}
	server  *http.Server

	mutex       sync.Mutex
	heartbeats  int
	withoutEnds bool
	runs        map[string]int
}

func newClosingServer(store *site.Store, id, service, zone, ip string, runTime time.Duration) *closingServer {
	return &closingServer{
		id: id, service: service, zone: zone, address: net.JoinHostPort(ip, strconv.Itoa(closingPort)), runTime: runTime, store: store,
		born: time.Now().UnixMilli(), slots: make(chan struct{}, closingSlots), runs: map[string]int{},
	}
}

// start listens and writes heartbeats until the server is stopped.
func (s *closingServer) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	s.server.SetKeepAlivesEnabled(false)
	go func() { _ = s.server.Serve(listener) }()
	s.writeHeartbeat()
	go func() {
		for range time.Tick(closingHeartbeat) {
			s.writeHeartbeat()
		}
	}()
	return nil
}

func (s *closingServer) writeHeartbeat() {
	s.mutex.Lock()
	s.heartbeats++
	record := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": closingSlots,
		"state": "ready", "coldRemainingMs": 0, "sequence": s.heartbeats, "born": s.born,
	}
	s.mutex.Unlock()
	s.store.PutHeartbeat("servers/"+s.id, record, "ready")
}

// setWithoutEnds has answers to requests come without a length from now on.
func (s *closingServer) setWithoutEnds(withoutEnds bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.withoutEnds = withoutEnds
}

// ranTimes returns how often a request has run here.
func (s *closingServer) ranTimes(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *closingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if id := request.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id)
	}
	header.Set("Instance-Id", s.id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/healthz" {
		header.Set("Content-Length", "0")
		writer.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	id := request.Header.Get("Request-Id")
	s.mutex.Lock()
	s.runs[id]++
	withoutEnds := s.withoutEnds
	s.mutex.Unlock()
	time.Sleep(s.runTime)
	answer := fmt.Sprintf("%s %s %s", request.Method, request.RequestURI, body)
	header.Set("Response-Seal", "seal-"+id)
	if withoutEnds {
		// Go's server sends a body with this encoding without chunks and closes the connection after it.
		header.Set("Transfer-Encoding", "identity")
	} else {
		header.Set("Content-Length", strconv.Itoa(len(answer)))
	}
	writer.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(writer, answer)
}
