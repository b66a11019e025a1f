package site2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// cappedOptions are the figures of a capped server.
type cappedOptions struct {
	id, service, zone, ip string
	slots, queue          int
	// maxConnections is how many connections it accepts; it resets the rest.
	maxConnections int
	// keepAlive is how long it keeps idle connections, which it tells in whole seconds.
	keepAlive time.Duration
	runTime   time.Duration
}

// cappedServer is a sound plain server that keeps its connections and accepts a number of them.
type cappedServer struct {
	options cappedOptions
	store   *site.Store
	born    int64
	slots   chan struct{}
	waiting atomic.Int64
	open    atomic.Int64
	reset   atomic.Int64

	mutex      sync.Mutex
	heartbeats int
	runs       map[string]int
	rejected   int
}

func newCappedServer(store *site.Store, options cappedOptions) *cappedServer {
	return &cappedServer{options: options, store: store, born: time.Now().UnixMilli(), slots: make(chan struct{}, options.slots), runs: map[string]int{}}
}

func (s *cappedServer) address() string {
	return net.JoinHostPort(s.options.ip, strconv.Itoa(closingPort))
}

// start listens and writes heartbeats.
func (s *cappedServer) start() error {
	listener, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: s.options.keepAlive, ConnState: s.countConnection}
	go func() { _ = server.Serve(&cappedListener{Listener: listener, server: s}) }()
	s.writeHeartbeat()
	go func() {
		for range time.Tick(closingHeartbeat) {
			s.writeHeartbeat()
		}
	}()
	return nil
}

func (s *cappedServer) countConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.open.Add(-1)
	}
}

// cappedListener resets the connections beyond those that its server accepts.
type cappedListener struct {
	net.Listener
	server *cappedServer
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.open.Load() < int64(l.server.options.maxConnections) {
			l.server.open.Add(1)
			return connection, nil
		}
		l.server.reset.Add(1)
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}
}

func (s *cappedServer) writeHeartbeat() {
	s.mutex.Lock()
	s.heartbeats++
	record := map[string]any{
		"service": s.options.service, "address": s.address(), "zone": s.options.zone, "version": "v1", "slots": s.options.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": s.heartbeats, "born": s.born,
	}
	s.mutex.Unlock()
	s.store.PutHeartbeat("servers/"+s.options.id, record, "ready")
}

// state describes what the server has seen.
func (s *cappedServer) state() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%d connections open, %d requests running or waiting, %d requests run, %d rejected, %d connections reset",
		s.open.Load(), s.waiting.Load(), len(s.runs), s.rejected, s.reset.Load())
}

// ranTimes returns how often a request has run here.
func (s *cappedServer) ranTimes(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// ServeHTTP implements http.Handler.
func (s *cappedServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header, id := writer.Header(), request.Header.Get("Request-Id")
	if id != "" {
		header.Set("Request-Id", id)
	}
	header.Set("Instance-Id", s.options.id)
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(s.options.keepAlive.Seconds())))
	reject := func(status int) {
		header.Set("Not-Executed", "1")
		header.Set("Content-Length", "0")
		writer.WriteHeader(status)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.options.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if request.URL.Path == "/healthz" {
		header.Set("Content-Length", "0")
		return
	}
	if s.waiting.Add(1) > int64(s.options.slots+s.options.queue) {
		s.waiting.Add(-1)
		s.mutex.Lock()
		s.rejected++
		s.mutex.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	time.Sleep(s.options.runTime)
	answer := fmt.Sprintf("%s %s %s", request.Method, request.RequestURI, body)
	header.Set("Response-Seal", "seal-"+id)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer)
}
