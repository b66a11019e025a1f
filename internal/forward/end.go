package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// An answer may have neither a length nor chunks and end with its connection. That end does not show that
// the answer is whole: the connections of a server that crashes end too, and the machine of the entry may have
// stood still while the server crashed and another instance took its place. The answer counts as whole only if its server is
// known to run after the end: it has answered something that was sent later.
//
// A server may also reset the connection while the request is being written. The operating system reports that once: if the
// write gets the error, the read only sees an end. So the answer counts as whole only if the request was written without one.

// Limits of the questions to a server whose answer has ended with its connection.
const (
	// maxEndWait is the time without proof after which a request is sent elsewhere, if it may be.
	maxEndWait = time.Second
	// The pause between two questions begins with minQuestionPause and doubles up to maxQuestionPause.
	minQuestionPause = 50 * time.Millisecond
	maxQuestionPause = 400 * time.Millisecond
)

var (
	// errEndedByCrash means that an answer whose end is not marked has ended with the crash of its server.
	errEndedByCrash = errors.New("the server has crashed and the answer's end is not marked")
	// errUnconfirmedEnd means that nothing has shown in time that the server has not crashed.
	errUnconfirmedEnd = errors.New("the answer's end is not marked and the server has not shown that it still runs")
)

// brokenUpload means that an answer whose end is not marked has ended and that the request could not be written to its end:
// the server has broken the connection, so that the answer may have been cut. net/http may hide the cause from errors.Is.
type brokenUpload struct{ cause error }

func (e *brokenUpload) Error() string {
	return "the answer's end is not marked and the request could not be written: " + e.cause.Error()
}

// Unwrap returns the error of the write.
func (e *brokenUpload) Unwrap() error { return e.cause }

// endProof is what is known of a server after an answer has ended with its connection.
type endProof string

// The proofs, which are also label values and log fields.
const (
	// endUnconfirmed is the absence of proof.
	endUnconfirmed endProof = "unconfirmed"
	// endCrashed: the server's machine refuses connections, or another instance answers at its address.
	endCrashed endProof = "crashed"
	// endSameConnection: the server has answered on a connection that it had answered on before the end.
	endSameConnection endProof = "same connection"
	// endSameInstance: the instance has answered under its own id.
	endSameInstance endProof = "same instance"
	// endOtherRequest: the server has answered another request, which was sent after the end.
	endOtherRequest endProof = "other request"
)

// checkEnd returns nil if an answer that has ended without an error is whole. If its end is not marked, it waits until the
// request is written, and for proof that the server runs on. Otherwise it returns a brokenUpload, errEndedByCrash or
// errUnconfirmedEnd.
func (w *forwarding) checkEnd(ctx context.Context, started *exchange) error {
	if started.endIsMarked() {
		return nil
	}
	if err := w.awaitWritten(started); err != nil {
		return err
	}
	ended := time.Now()
	proof := w.awaitProof(ctx, started, ended)
	took := time.Since(ended)
	w.metrics.unmarkedEnds.WithLabelValues(string(proof)).Observe(took.Seconds())
	if proof != endCrashed && proof != endUnconfirmed {
		return nil
	}
	w.log.Log(logging.UnmarkedEnd, zap.String("request", w.request.Call.RequestID), zap.String("server", started.target.ID),
		zap.String("proof", string(proof)), zap.Duration("took", took))
	if proof == endCrashed {
		return errEndedByCrash
	}
	return errUnconfirmedEnd
}

// awaitWritten waits until the request has been written. A server may end its answer first and read the rest of the request
// afterwards; the request's deadline ends the write. If the request may be sent elsewhere, it waits for maxEndWait.
func (w *forwarding) awaitWritten(started *exchange) error {
	ticker := time.NewTicker(maxEndWait)
	defer ticker.Stop()
	for {
		select {
		case err := <-started.written:
			return started.writeFailure(err)
		case <-ticker.C:
			if w.hasAnotherAttempt() {
				return errUnconfirmedEnd
			}
		}
	}
}

// writeFailure returns why the write of a request has ended before its end: its caller has left, its time is over, or the
// server has broken the connection. It returns nil if the error is nil.
func (x *exchange) writeFailure(err error) error {
	switch {
	case err == nil:
		return nil
	case x.connection.ctx.Err() != nil:
		return cancellation(x.connection.ctx)
	case !time.Now().Before(x.connection.deadline):
		return errDeadline
	}
	return &brokenUpload{cause: err}
}

// awaitProof asks a server until there is proof that it runs or has ended, or until the answer is better given up.
func (w *forwarding) awaitProof(ctx context.Context, started *exchange, ended time.Time) endProof {
	ctx, cancel := context.WithDeadline(ctx, w.request.Deadline.Add(-minAttemptTime))
	defer cancel()
	questions := serverQuestions{
		Forwarder: w.Forwarder, target: started.target, healthPath: w.healthPath(), reports: w.criteria.Engine != nil,
		started: w.targets.startTime(started.target), knownBefore: ended,
	}
	answered := started.target.answers.after(ended)
	defer started.target.answers.forget(answered)
	if questions.started != 0 {
		// A connection that had answered before the request was sent, and still answers, shows that one process has
		// listened there all the time. Another request may have been answered by a later start.
		questions.knownBefore, answered = started.sentAt, nil
	}
	asked := make(chan endProof, 1)
	go func() { asked <- questions.askRepeatedly(ctx) }()
	ticker := time.NewTicker(maxEndWait)
	defer ticker.Stop()
	for {
		select {
		case proof := <-asked:
			return proof
		case <-answered:
			return endOtherRequest
		case <-ticker.C:
			if w.hasAnotherAttempt() {
				return endUnconfirmed
			}
		case <-ctx.Done():
			return endUnconfirmed
		}
	}
}

// hasAnotherAttempt reports whether the request may be sent once more instead of waiting for proof.
func (w *forwarding) hasAnotherAttempt() bool {
	return w.request.Route.MayRepeat() && w.attempts < w.request.Route.Attempts && w.retryBudgets.available(w.criteria.Service)
}

// serverQuestions asks a server, after one of its answers has ended, who it is.
type serverQuestions struct {
	*Forwarder
	target *target
	// healthPath is the health path of the server's service, empty if there is none.
	healthPath string
	// reports is set for a model server, which has a status report.
	reports bool
	// started is when the server started, if that is told; its id may be that of several starts then. 0 means that each start
	// has an id of its own.
	started incarnation.StartTime
	// knownBefore is the time before which a connection must have carried an answer of the server to be known as its own.
	knownBefore time.Time
}

// askRepeatedly asks until an answer is proof or the context ends. Of all requests that wait for proof of one server
// one asks at a time; an answer that it gets is proof to the others too.
func (q *serverQuestions) askRepeatedly(ctx context.Context) endProof {
	path, err := url.ParseRequestURI(q.healthPath)
	if err != nil {
		// Without a health path the server can only be known by its answers to other requests.
		<-ctx.Done()
		return endUnconfirmed
	}
	for pause := minQuestionPause; ; pause = min(2*pause, maxQuestionPause) {
		if proof := q.askInTurn(ctx, path); proof != endUnconfirmed {
			return proof
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return endUnconfirmed
		}
	}
}

// askInTurn asks once nobody else asks the server.
func (q *serverQuestions) askInTurn(ctx context.Context, path *url.URL) endProof {
	if !q.target.answers.beginQuestion(ctx) {
		return endUnconfirmed
	}
	defer q.target.answers.endQuestion()
	if proof := q.askKnownConnection(ctx, path); proof != endUnconfirmed {
		return proof
	}
	return q.askNewConnection(ctx, path)
}

// askKnownConnection asks over an idle connection that is known to be the server's own. Whatever comes back there is
// from the same process, also if that is too busy to say more.
func (q *serverQuestions) askKnownConnection(ctx context.Context, path *url.URL) endProof {
	carrier := q.target.pool.getAnswered(maxReuseIdle, q.knownBefore)
	if carrier == nil {
		return endUnconfirmed
	}
	question, _ := q.ask(ctx, carrier, path)
	switch {
	case question == nil:
		return endUnconfirmed
	case q.isOtherInstance(question):
		return endCrashed
	}
	q.target.answers.record(question.sentAt)
	return endSameConnection
}

// askNewConnection asks over a new connection. An answer that names no instance may be that of another one. Of a server
// that tells when it has started only the report shows which start it is.
func (q *serverQuestions) askNewConnection(ctx context.Context, path *url.URL) endProof {
	isReport := q.started != 0 && q.reports
	if isReport {
		path = &url.URL{Path: q.dialect.ReportPath()}
	}
	began := q.watcher.now()
	carrier, err := dial(ctx, q.target.Address, time.Now().Add(probeTimeout))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return endCrashed
	}
	if err != nil {
		return endUnconfirmed
	}
	q.metrics.connections.Inc()
	q.watcher.add(carrier, q.target, began)
	question, body := q.ask(ctx, carrier, path)
	switch {
	case question == nil:
		return endUnconfirmed
	case q.isOtherInstance(question):
		return endCrashed
	case isReport:
		return q.compareStart(question.response.StatusCode, body)
	case q.started == 0 && answeredByItself(question):
		return endSameInstance
	}
	return endUnconfirmed
}

// compareStart compares the start time that a server's report tells with that of the expected start.
func (q *serverQuestions) compareStart(status int, body []byte) endProof {
	if status != http.StatusOK {
		return endUnconfirmed
	}
	report, err := q.dialect.ReadReport(body)
	switch {
	case err != nil || report.StartTime == 0:
		// A report that can't be read, or doesn't tell the start, shows nothing.
		return endUnconfirmed
	case report.StartTime.Differs(q.started):
		return endCrashed
	}
	return endSameInstance
}

// ask sends a GET request for one instance only. It returns the answer and its body, or nil if there was none.
func (q *serverQuestions) ask(ctx context.Context, carrier *connection, path *url.URL) (*exchange, []byte) {
	question := &exchange{target: q.target, connection: carrier, written: make(chan error, 1), sentAt: time.Now()}
	question.release = carrier.begin(ctx, question.sentAt.Add(probeTimeout), nil)
	header := http.Header{"User-Agent": {""}}
	q.dialect.WriteSend(header, fleet.SendHeader{Instance: q.target.ID, Deadline: probeTimeout})
	outgoing := &http.Request{Method: http.MethodGet, URL: path, Host: q.target.Address, Header: header}
	if err := question.write(outgoing, 0); err != nil {
		question.abort()
		return nil, nil
	}
	if err := question.readHead(q.dialect, outgoing, ""); err != nil {
		if q.metrics.countMalformed(err) {
			q.log.Log(logging.MalformedHead, zap.String("server", q.target.ID), zap.Error(err))
		}
		question.abort()
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(question.response.Body, maxDrainedBytes))
	if err != nil || len(body) == maxDrainedBytes {
		question.abort()
		return nil, nil
	}
	question.recordIdentity()
	question.finish()
	return question, body
}

// isOtherInstance reports whether another instance has answered, and records that if it has.
func (q *serverQuestions) isOtherInstance(question *exchange) bool {
	instance := question.head.Instance
	if instance == q.target.ID || (instance == "" && question.response.StatusCode != http.StatusMisdirectedRequest) {
		return false
	}
	q.targets.supersede(q.target, instance)
	return true
}

// answeredByItself reports whether an answer can only be that of the instance that was asked: it names it, or is the
// signed answer to a request that any other instance rejects.
func answeredByItself(x *exchange) bool {
	if x.head.Instance != "" {
		return x.head.Instance == x.target.ID
	}
	return x.head.Signed && x.response.StatusCode/100 == 2
}

// recordIdentity records an answer that only the expected instance can have given: it runs, and the connection is its own.
func (x *exchange) recordIdentity() {
	if !answeredByItself(x) {
		return
	}
	if x.connection.answeredAt.IsZero() {
		x.connection.answeredAt = time.Now()
	}
	x.target.answers.record(x.sentAt)
}

// answerWatch tells waiters that a server has answered a request that was sent after a given time. The zero value is ready
// for use.
type answerWatch struct {
	mutex   sync.Mutex
	waiters map[<-chan struct{}]answerWaiter
	// questioning holds a value while somebody asks the server who it is.
	questioning chan struct{}
}

type answerWaiter struct {
	after    time.Time
	answered chan struct{}
}

// after returns a channel that is closed when a request that was sent after a time has been answered. The caller must
// forget it.
func (a *answerWatch) after(earliest time.Time) <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.waiters == nil {
		a.waiters = map[<-chan struct{}]answerWaiter{}
	}
	answered := make(chan struct{})
	a.waiters[answered] = answerWaiter{after: earliest, answered: answered}
	return answered
}

func (a *answerWatch) forget(answered <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.waiters, answered)
}

// beginQuestion waits until nobody else asks the server who it is, and reports false if the context ends before. The
// caller must call endQuestion after it has asked.
func (a *answerWatch) beginQuestion(ctx context.Context) bool {
	a.mutex.Lock()
	if a.questioning == nil {
		a.questioning = make(chan struct{}, 1)
	}
	questioning := a.questioning
	a.mutex.Unlock()
	select {
	case questioning <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (a *answerWatch) endQuestion() { <-a.questioning }

// record records that a request sent at a time has been answered.
func (a *answerWatch) record(sentAt time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for key, waiter := range a.waiters {
		if sentAt.After(waiter.after) {
			close(waiter.answered)
			delete(a.waiters, key)
		}
	}
}

// healthPath returns the health path of the request's service; "" if it has none.
func (w *forwarding) healthPath() string {
	for _, configuration := range []*fleet.Configuration{w.targets.currentView().Configuration, w.request.Configuration} {
		if configuration == nil {
			continue
		}
		if service, configured := configuration.Services[w.criteria.Service]; configured {
			return service.HealthPath
		}
	}
	return ""
}
