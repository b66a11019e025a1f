// Package emulator emulates the platform: the configuration and membership services, the weight
// origin, a machine's weight store and engine, and plain services. The emulated components serve
// the platform's protocols over HTTP, accept injected faults, and keep records from which
// experiments verify pinevane's guarantees.
package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Faults are the injected faults of an emulated component. A component ignores the fields that
// don't apply to it.
type Faults struct {
	// Down fails every call.
	Down bool `json:"down,omitempty"`
	// Frozen stops a publication from showing new changes.
	Frozen bool `json:"frozen,omitempty"`
	// Stalled stops transfers halfway and leaves requests unanswered.
	Stalled bool `json:"stalled,omitempty"`
	// CorruptShare is the fraction of chunks, 0 to 1, that are served corrupt.
	CorruptShare float64 `json:"corrupt_share,omitempty"`
	// RefusedVersion is a model version that the engine refuses to load.
	RefusedVersion string `json:"refused_version,omitempty"`
}

type faultState struct {
	mutex       sync.RWMutex
	current     Faults
	pausedUntil time.Time
}

// pause makes the component send nothing for a time, after which it goes on where it stopped, as a
// process that the machine does not schedule. Connections stay open and are accepted. A pause that is
// already in progress is never shortened.
func (f *faultState) pause(duration time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if until := time.Now().Add(duration); until.After(f.pausedUntil) {
		f.pausedUntil = until
	}
}

// waitWhilePaused waits until the component is not paused, and returns false if the context ends first.
func (f *faultState) waitWhilePaused(ctx context.Context) bool {
	for {
		f.mutex.RLock()
		remaining := time.Until(f.pausedUntil)
		f.mutex.RUnlock()
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
			return false
		}
	}
}

// holdWhilePaused makes calls wait while the component is paused.
func (f *faultState) holdWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == FaultPath || f.waitWhilePaused(request.Context()) {
			next.ServeHTTP(writer, request)
		}
	})
}

func (f *faultState) get() Faults {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.current
}

func (f *faultState) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.current = faults
}

// FaultPath is the path at which experiments read and set the faults.
const FaultPath = "/faults"

func (f *faultState) mount(router chi.Router) {
	router.Get(FaultPath, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, f.get())
	})
	router.Put(FaultPath, func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !readJSON(writer, request, &faults) {
			return
		}
		f.set(faults)
		writer.WriteHeader(http.StatusNoContent)
	})
}

// rejectWhenDown answers 503 while the component is down.
func (f *faultState) rejectWhenDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != FaultPath && f.get().Down {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

const maxBodyBytes = 64 << 20

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}

func readJSON(writer http.ResponseWriter, request *http.Request, into any) bool {
	body := http.MaxBytesReader(writer, request.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// sleep waits for a duration and returns false if the request ends first.
func sleep(request *http.Request, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}
