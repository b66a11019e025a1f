package emulator

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/internal/external"
)

// Service emulates a plain service. It counts how often each request ID was executed.
type Service struct {
	name   string
	delay  time.Duration
	faults faultState

	mutex sync.Mutex
	runs  map[string]int
}

// NewService returns a service whose calls take delay.
func NewService(name string, delay time.Duration) *Service {
	return &Service{name: name, delay: delay, runs: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) { s.faults.set(faults) }

// Pause makes the service send nothing for a time, after which it goes on where it stopped.
func (s *Service) Pause(duration time.Duration) { s.faults.pause(duration) }

// Runs returns the number of executions of each request ID.
func (s *Service) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}

// Handler serves the service.
func (s *Service) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(s.faults.holdWhilePaused, s.faults.rejectWhenDown)
	s.faults.mount(router)
	router.Get("/records", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, s.Runs()) })
	router.HandleFunc("/*", s.call)
	return router
}

// ServiceEcho is the response of the emulated service; it echoes the request.
type ServiceEcho struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

func (s *Service) call(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	id := request.Header.Get(external.HeaderRequestID)
	s.mutex.Lock()
	s.runs[id]++
	s.mutex.Unlock()
	if s.faults.get().Stalled {
		<-request.Context().Done()
		return
	}
	if !sleep(request, s.delay) || !s.faults.waitWhilePaused(request.Context()) {
		return
	}
	writeJSON(writer, ServiceEcho{Service: s.name, ID: id, Method: request.Method, Path: request.URL.Path, Body: string(body)})
}
