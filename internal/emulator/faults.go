// Package emulator provides stand-ins for the platform: the configuration and
// membership services, the weight origin, a machine's weight store and engine,
// and plain services. They serve the platform's protocols over HTTP, accept
// injected faults, and keep their own records, from which experiments check
// what pinevane promised.
package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Faults is the fault state of a stand-in; fields that do not concern a kind
// of stand-in are ignored by it.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down,omitempty"`
	// Frozen makes a publication keep answering with its state of that moment.
	Frozen bool `json:"frozen,omitempty"`
	// Stalled makes transfers stop in the middle and answers hang.
	Stalled bool `json:"stalled,omitempty"`
	// CorruptShare is the share of chunks, 0 to 1, served with a wrong byte.
	CorruptShare float64 `json:"corrupt_share,omitempty"`
	// RefusedVersion is a model version that an engine will not load.
	RefusedVersion string `json:"refused_version,omitempty"`
}

type faultState struct {
	mutex   sync.RWMutex
	current Faults
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

// FaultPath is where experiments read and set the fault state.
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

// rejectWhenDown fails a call while the stand-in is down.
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
	// A failed write means that the client has gone.
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

// sleep waits unless the request ends first, and reports whether it waited.
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
