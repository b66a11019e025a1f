package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// modelServer is a stand-in of a model server that records when staged pieces turned bad and what an order
// found. It speaks what the users' protocol says of servers.
type modelServer struct {
	run     *caseRun
	id      string
	address string
	weights site.Weights
	store   *site.Store
	// onGet is called with the index of each staged piece that is read, before it is answered.
	onGet func(index int)

	mutex    sync.Mutex
	staged   map[int][]byte
	badSince map[int]time.Time
	version  uint64
	loading  bool
	sequence int
	writes   int
	// taken is what the last order found; nil before one.
	taken *takenOrder
	runs  []servedRun
}

// takenOrder is what lay at the server when it took an order.
type takenOrder struct {
	version uint64
	at      time.Time
	// wrong maps the pieces that did not match the version to how long they had been bad, 0 if they were
	// missing or of another version.
	wrong map[int]time.Duration
}

// servedRun is a request whose tokens the server made.
type servedRun struct {
	request string
	version uint64
	order   *takenOrder
}

func newModelServer(run *caseRun, id, address string, weights site.Weights, store *site.Store) *modelServer {
	s := &modelServer{
		run: run, id: id, address: address, weights: weights, store: store, version: 1, onGet: func(int) {},
		staged: map[int][]byte{}, badSince: map[int]time.Time{},
	}
	for index := range weights.Pieces {
		s.staged[index] = weights.Piece(1, index)
	}
	return s
}

const heartbeat = 1200 * time.Millisecond

func (s *modelServer) start() {
	server := &http.Server{Addr: s.address, Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		must(err)
	case <-time.After(50 * time.Millisecond):
	}
	go func() {
		for {
			s.writeRecord()
			time.Sleep(heartbeat)
		}
	}()
}

func (s *modelServer) writeRecord() {
	s.mutex.Lock()
	s.writes++
	record := map[string]any{
		"service": site.ModelService, "address": s.address, "zone": site.ZoneName(0), "version": "v1", "slots": 16, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": s.models(), "layers": s.layers(), "sequence": s.writes,
	}
	s.mutex.Unlock()
	s.store.Put("servers/"+s.id, record)
}

func (s *modelServer) models() []any {
	return []any{map[string]any{"name": s.weights.Model, "version": s.version, "adapters": []string{}}}
}

func (s *modelServer) layers() map[string]any {
	if s.loading {
		return nil
	}
	return map[string]any{"from": 0, "targetVersion": s.weights.Layers, "version": s.version}
}

func (s *modelServer) serve(writer http.ResponseWriter, request *http.Request) {
	switch path := request.URL.Path; {
	case path == "/-/report":
		s.mutex.Lock()
		report := map[string]any{
			"stage": "both", "models": s.models(), "layers": s.layers(), "busy": s.loading, "sequence": s.sequence,
			"numWaiting": 0, "numRunning": 0, "kvUsed": 0, "kvTotal": 1000, "pace": 1.0, "handles": 0,
		}
		s.mutex.Unlock()
		writeJSON(writer, http.StatusOK, report)
	case path == "/-/order":
		s.serveOrder(writer, request)
	case strings.HasPrefix(path, "/-/stage-"):
		s.serveStage(writer, request)
	default:
		s.serveRequest(writer, request)
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (s *modelServer) serveStage(writer http.ResponseWriter, request *http.Request) {
	text := request.URL.Query().Get("numItems")
	index, err := strconv.Atoi(text)
	switch {
	case request.Method == http.MethodPut && err == nil:
		content, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.staged[index] = content
		delete(s.badSince, index)
		s.mutex.Unlock()
	case text == "":
		s.mutex.Lock()
		held := make([]int, 0, len(s.staged))
		for piece := range s.staged {
			held = append(held, piece)
		}
		s.mutex.Unlock()
		writeJSON(writer, http.StatusOK, map[string]any{"held": held})
	default:
		s.mutex.Lock()
		content, present := s.staged[index]
		s.mutex.Unlock()
		if !present {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = writer.Write(content)
		s.onGet(index)
	}
}

// turnBad changes a byte of staged pieces.
func (s *modelServer) turnBad(pieces []int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, index := range pieces {
		spoilt := append([]byte(nil), s.staged[index]...)
		spoilt[0] ^= 1
		s.staged[index], s.badSince[index] = spoilt, time.Now()
	}
}

// serveOrder takes a start order: what lies at the server now is loaded.
func (s *modelServer) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Op               string `json:"op"`
		Version          uint64 `json:"version"`
		From             *int   `json:"from"`
		ExpectedRevision *int   `json:"expectedRevision"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "start" || order.From != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.loading || (order.ExpectedRevision != nil && *order.ExpectedRevision != s.sequence):
		writer.WriteHeader(http.StatusConflict)
		return
	case s.version == order.Version:
		writer.WriteHeader(http.StatusOK)
		return
	}
	s.sequence++
	s.loading = true
	taken := &takenOrder{version: order.Version, at: time.Now(), wrong: map[int]time.Duration{}}
	for index := range s.weights.Pieces {
		if string(s.staged[index]) == string(s.weights.Piece(order.Version, index)) {
			continue
		}
		taken.wrong[index] = 0
		if since, rotten := s.badSince[index]; rotten {
			taken.wrong[index] = time.Since(since)
		}
	}
	s.run.note("server %s takes the order to start version %d; pieces that don't match it: %d", s.id, order.Version, len(taken.wrong))
	for index, bad := range taken.wrong {
		s.run.note("  piece %d (layer %d): bad for %.3f s", index, index*s.weights.Layers/s.weights.Pieces, bad.Seconds())
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.mutex.Lock()
		s.version, s.loading, s.taken = order.Version, false, taken
		s.mutex.Unlock()
		s.writeRecord()
	}()
	writer.WriteHeader(http.StatusAccepted)
}

// served returns the version in service and the order that brought it.
func (s *modelServer) served() (uint64, *takenOrder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version, s.taken
}

// servedRuns returns the requests run so far.
func (s *modelServer) servedRuns() []servedRun {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]servedRun(nil), s.runs...)
}

// serveRequest runs a request: it makes as many events as the request asks for.
func (s *modelServer) serveRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	header := writer.Header()
	header.Set("Request-Id", id)
	header.Set("Instance-Id", s.id)
	_, _ = io.Copy(io.Discard, request.Body)
	s.mutex.Lock()
	version, order, loading := s.version, s.taken, s.loading
	expected := request.Header.Get("Expect-Version")
	wrong := request.Header.Get("Expect-Instance") != s.id || (expected != "" && expected != strconv.FormatUint(version, 10))
	if !wrong && !loading {
		s.runs = append(s.runs, servedRun{request: id, version: version, order: order})
	}
	s.mutex.Unlock()
	switch {
	case wrong:
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	case loading:
		header.Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set("Response-Seal", "seal-"+id)
	header.Set("Weight-Versions", strconv.FormatUint(version, 10))
	header.Set("Content-Type", "text/event-stream")
	_, answer, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	events, _ := strconv.Atoi(answer)
	for event := 1; event <= events; event++ {
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s/%d\n\n", event, url.QueryEscape(id), event)
		_ = http.NewResponseController(writer).Flush()
	}
}
