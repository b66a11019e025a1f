package site

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// admit waits until the request may run. If it is rejected, admit writes the response and returns
// false.
func (s *Server) admit(writer http.ResponseWriter, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
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
	s.recordDelivery(id)
	if s.faults.Shed > 0 {
		s.faults.Shed--
		s.writeNotice(writer.Header(), id, s.faults.ShedBackoff)
		return refuse(http.StatusServiceUnavailable)
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.queueHeld || s.loading || s.running >= s.options.Slots || (s.options.Weights != nil && s.version == 0) {
		if s.options.Weights != nil && s.version == 0 && !s.loading {
			return refuse(http.StatusServiceUnavailable)
		}
		slotFreed := s.slotFreed
		s.mutex.Unlock()
		select {
		case <-slotFreed:
		case <-request.Context().Done():
		}
		s.mutex.Lock()
		if request.Context().Err() != nil {
			return false
		}
	}
	if s.options.Weights != nil && !s.completelyLoaded() {
		return refuse(http.StatusMisdirectedRequest)
	}
	if expected := request.Header.Get("Expect-Version"); expected != "" && expected != strconv.FormatUint(s.version, 10) {
		return refuse(http.StatusMisdirectedRequest)
	}
	s.running++
	return true
}

// A server that announces a rate limit tolerates LimitOvershoot times the limit plus LimitSlack
// requests within LimitWindow.
const (
	LimitWindow    = 4 * time.Second
	LimitOvershoot = 1.5
	LimitSlack     = 5
)

// MaxUnderLimit returns the number of requests that a server with a rate limit tolerates within
// LimitWindow.
func MaxUnderLimit(perSecond float64) float64 {
	return LimitOvershoot*perSecond*LimitWindow.Seconds() + LimitSlack
}

// writeNotice sets the server notice in response headers and records it. The mutex must be held. Status
// reports pass an empty request ID and are not recorded.
func (s *Server) writeNotice(header http.Header, requestID string, backoff time.Duration) {
	notice := ServerNotice{RequestID: requestID, Server: s.options.ID, At: time.Now(), Leaving: s.leaving, Backoff: backoff}
	if s.leaving {
		header.Set("Server-Leaving", "1")
	}
	if s.limit != "" {
		header.Set("Server-Limit", s.limit)
		rate, err := strconv.ParseFloat(s.limit, 64)
		notice.Limited, notice.PerSecond = err == nil, rate
	}
	if backoff > 0 {
		header.Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
	}
	if requestID != "" && (notice.Leaving || notice.Limited || backoff > 0) {
		s.options.Requests.notices.add(notice)
	}
}

// readBody reads a request's body and records its arrival.
func (s *Server) readBody(request *http.Request) ([]byte, error) {
	body, err := io.ReadAll(request.Body)
	s.options.Requests.arrivals.add(Arrival{
		RequestID: request.Header.Get("Request-Id"), Server: s.options.ID, Service: s.options.Service,
		Path: request.URL.Path, Zone: s.options.Zone, Region: s.options.Region, BodyBytes: len(body), At: time.Now(),
	})
	return body, err
}

func (s *Server) handleRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Instance-Id", s.options.ID)
	body, err := s.readBody(request)
	if err != nil || !s.admit(writer, request) {
		return
	}
	defer func() {
		s.mutex.Lock()
		s.running--
		s.notifyWaiting()
		s.mutex.Unlock()
	}()
	s.mutex.Lock()
	run := Run{
		RequestID: id, Server: s.options.ID, Service: s.options.Service, Version: s.version, Corrupt: s.corrupt,
		Tenant: request.Header.Get("Tenant"), KeyReceived: request.Header.Get("Authorization") != "", At: time.Now(),
	}
	faults := s.faults
	if faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	if faults.CutCount > 0 {
		s.faults.CutCount--
	}
	s.mutex.Unlock()
	s.options.Requests.runs.add(run)
	if s.options.OnBegin != nil && s.options.OnBegin(s, writer, request, body) {
		<-request.Context().Done()
		return
	}
	if faults.LoseAnswers > 0 || faults.Failure == FailWithResets {
		panic(http.ErrAbortHandler)
	}
	switch faults.Failure {
	case FailWithHangs:
		<-request.Context().Done()
		return
	case FailWithErrors:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Response-Seal", "seal-"+id)
	if faults.UnmarkedEnds {
		// Go's server sends a body with this encoding without chunks and closes the connection after it.
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	s.mutex.Lock()
	s.writeNotice(writer.Header(), id, 0)
	s.mutex.Unlock()
	if s.options.Weights == nil {
		s.answerPlain(writer, request, body)
		return
	}
	cutAfter := -1
	if faults.CutCount > 0 {
		cutAfter = faults.CutAfter
	}
	s.simulatePrefill(request)
	s.answerStream(writer, request, run, cutAfter)
}

// simulatePrefill waits as long as the server needs to process the prompt, one prompt at a time.
func (s *Server) simulatePrefill(request *http.Request) {
	if s.options.ReadPerSecond <= 0 {
		return
	}
	prompt, _ := tokenUsage(request)
	s.readMutex.Lock()
	defer s.readMutex.Unlock()
	time.Sleep(time.Duration(float64(prompt) / s.options.ReadPerSecond * float64(time.Second)))
}

// tokenUsage returns the prompt size and the maximum answer size in tokens; 0 if unreadable.
func tokenUsage(request *http.Request) (prompt, answer int) {
	first, second, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(first)
	answer, _ = strconv.Atoi(second)
	return prompt, answer
}

func (s *Server) answerPlain(writer http.ResponseWriter, request *http.Request, body []byte) {
	if !s.work(request.Context(), s.options.EventTime) {
		return
	}
	s.waitWhilePaused(request.Context())
	_, _ = fmt.Fprintf(writer, "%s %s %s", request.Method, request.RequestURI, body)
}

// answerStream writes up to the requested number of events, starting after the caller's
// Last-Event-Id.
func (s *Server) answerStream(writer http.ResponseWriter, request *http.Request, run Run, cutAfter int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Weight-Versions", strconv.FormatUint(run.Version, 10))
	_, events := tokenUsage(request)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.WriteHeader(http.StatusOK)
	flusher, _ := writer.(http.Flusher)
	sent := 0
	for event := last + 1; event <= events; event++ {
		if !s.work(request.Context(), s.options.EventTime) {
			return
		}
		s.waitWhilePaused(request.Context())
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
