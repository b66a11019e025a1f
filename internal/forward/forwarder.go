// Package forward takes a caller's request to a server and the server's answer
// back. It chooses the server, holds the retries to their budget, never sends
// again what may have run and may not repeat, and continues a broken stream at
// another server inside the same answer.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/budget"
	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/silence"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Options wires a Forwarder.
type Options struct {
	Zone    string
	Regions map[string]string
	Bounds  fleet.Bounds
	Dialect fleet.Dialect
	Log     *logging.Logger
	// Peers returns the number of other entries known.
	Peers func() int
	// Self is this entry's name among the entries, and Entries lists the others known; nil
	// knows of none.
	Self    string
	Entries func() []string
	// Health shares servers' health with the zone's other entries; nil shares with nobody.
	Health HealthSource
	// Quarantine shares which contents end servers with the other processes; nil with nobody.
	Quarantine QuarantineSource
	// Loads asks agents before requests are sent; nil asks nobody.
	Loads    LoadSource
	Registry prometheus.Registerer
	Policy   Policy
}

// Forwarder is the forwarding core of an entry.
type Forwarder struct {
	options Options
	dialect fleet.Dialect
	log     *logging.Logger
	targets *targets
	metrics *metrics
	watch   *watch
	started time.Time
	// contents keeps contents that end servers from these.
	contents *contents

	mutex   sync.Mutex
	budgets map[string]*budget.Budget
	// mostPeers is the most other entries seen at once.
	mostPeers int
	// checked is the configuration that was last looked through; only Update reads it.
	checked *fleet.Configuration
}

// New returns a forwarder that knows no servers yet.
func New(options Options) *Forwarder {
	started, figures := time.Now(), newMetrics(options.Registry)
	f := &Forwarder{
		options: options, dialect: options.Dialect, log: options.Log, started: started,
		targets: newTargets(options, started),
		metrics: figures, watch: newWatch(options.Log, figures, started), budgets: map[string]*budget.Budget{},
		contents: newContents(options, started),
	}
	registerCold(options.Registry, f.targets)
	registerHealth(options.Registry, f.targets)
	options.Registry.MustRegister(newEvacuationCollector(f.targets), newBoundLoadCollector(f.targets))
	return f
}

// Update takes over a new view of the fleet.
func (f *Forwarder) Update(view *catalog.View) {
	f.checkConfiguration(view.Configuration)
	f.targets.update(view)
	for _, server := range f.targets.endedServers() {
		f.contents.serverEnded(server)
	}
}

// TakeStatus notes an agent's word on its server, when that was said, and whether it was
// said to this process itself.
func (f *Forwarder) TakeStatus(status fleet.MachineStatus, at time.Time, direct bool) {
	f.targets.takeStatus(status, at, direct)
}

// sweepPeriod is how often idle connections are looked through.
const sweepPeriod = time.Second

// Run does the upkeep until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	go f.watch.Run(ctx)
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.targets.sweep()
			f.contents.tick()
		case <-ctx.Done():
			return
		}
	}
}

// Shares of the users' retry bound that are used, because their windows and ours
// do not begin at the same moments.
const (
	ratioShare = 0.8
	slackShare = 0.8
	// settleTime is how long after the start the number of entries is uncertain.
	settleTime = 3 * time.Second
)

func (f *Forwarder) budgetOf(service string) *budget.Budget {
	held := f.budgets[service]
	if held == nil {
		bounds := f.targets.bounds.Load()
		held = budget.New(budget.Options{Ratio: ratioShare * bounds.RetryRatio, Window: bounds.RetryWindow})
		f.budgets[service] = held
	}
	return held
}

func (f *Forwarder) countRequest(service string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.budgetOf(service).Request(time.Since(f.started))
}

// takeRetry spends one repeat of a service's budget.
func (f *Forwarder) takeRetry(service string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Since(f.started)
	return f.budgetOf(service).Take(now, f.slackPart(now))
}

// hasRetry reports whether a service's budget has a repeat left.
func (f *Forwarder) hasRetry(service string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Since(f.started)
	return f.budgetOf(service).Left(now, f.slackPart(now)) >= 1
}

// slackPart is this entry's part of the slack that each service's repeats have; the mutex is held.
func (f *Forwarder) slackPart(now time.Duration) float64 {
	f.mostPeers = max(f.mostPeers, f.options.Peers())
	return budget.SlackPart(int(slackShare*float64(f.targets.bounds.Load().RetrySlack)), f.mostPeers+1, now > settleTime)
}

// work is one request being forwarded.
type work struct {
	*Forwarder
	request *Request
	writer  http.ResponseWriter
	wanted  dispatch.Request
	// suspect is set while the request is under way with a content that may end its server.
	suspect bool
	// placed is the present attempt at its server, as the decisions count it.
	placed *dispatch.Send
	// sent counts the servers that the request was sent to.
	sent int
	// silentAt are servers that were tried over connections that turned out to be silent.
	silentAt []*dispatch.Candidate
	// retryReserved is set while the retry budget has been drawn on for the next attempt.
	retryReserved bool
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	lastEvent  string
	// sentAt is when the present attempt was sent.
	sentAt time.Time
	// attemptBegun is set once the present attempt has brought an event.
	attemptBegun bool
	// patience is the silence after which the present attempt is overdue as long as it has brought
	// nothing; 0 when that follows from what is usual.
	patience time.Duration
	// overdueNoted is set once the present attempt has counted as overdue.
	overdueNoted bool
	// begun is set once the head of an answer has gone to the caller.
	begun   bool
	events  int
	version uint64
	// firstAfter is the time to the first event, longestPause the longest one
	// between two, eventAt when the last one was passed on.
	firstAfter   time.Duration
	longestPause time.Duration
	eventAt      time.Time
}

// Serve forwards a request and writes the whole answer. A refusal means that
// nothing was written; after errors in mid answer it panics with
// http.ErrAbortHandler, so that the answer does not look complete.
func (f *Forwarder) Serve(ctx context.Context, writer http.ResponseWriter, request *Request) *fault.Refusal {
	service := pickService(request.Route.Services)
	w := &work{Forwarder: f, request: request, writer: writer, lastEvent: request.Call.LastEventID}
	w.wanted = dispatch.Request{
		Service: service, Route: request.Route.Name, Arrival: f.noteArrival(request), Target: request.Route.Target, Streaming: w.isStream(),
		RunsOnce: !request.Route.MayRepeat(), Others: f.options.Peers(),
		Prompt: request.Call.PromptTokens, Answer: expectedAnswer(request.Call),
	}
	f.targets.describe(&w.wanted)
	f.countRequest(service)
	defer w.endSuspect()
	refusal := w.forward(ctx)
	w.noteRefusal(refusal)
	return refusal
}

func (w *work) forward(ctx context.Context) *fault.Refusal {
	if w.isStream() {
		return w.stream(ctx)
	}
	return w.whole(ctx)
}

func (w *work) isStream() bool { return w.request.Route.Kind == fleet.Streaming }

// expectedAnswer is the caller's guess of the answer's tokens, at most what it may
// be.
func expectedAnswer(call fleet.CallHeader) int {
	if call.LengthHint > 0 && (call.AnswerTokens == 0 || call.LengthHint < call.AnswerTokens) {
		return call.LengthHint
	}
	return call.AnswerTokens
}

// pickService draws one of a route's services by weight.
func pickService(services []fleet.WeightedService) string {
	total := 0
	for _, one := range services {
		total += max(0, one.Weight)
	}
	if total == 0 {
		return services[0].Service
	}
	drawn := rand.IntN(total)
	for _, one := range services {
		drawn -= max(0, one.Weight)
		if drawn < 0 {
			return one.Service
		}
	}
	return services[len(services)-1].Service
}

// versionMargin is how long before the bound no older version is asked for.
const versionMargin = 500 * time.Millisecond

// bindVersion sets which version the next attempt needs, and until when older ones
// may begin it.
func (w *work) bindVersion() {
	if w.wanted.Engine == nil {
		return
	}
	view := w.targets.currentView()
	apply := w.targets.bounds.Load().VersionApply
	w.wanted.Bounds = boundsOf(view.Versions[w.request.Call.Model], apply)
	w.wanted.AtLeast = view.Due(w.request.Call.Model, apply-versionMargin, time.Now())
}

// expectedVersion is the version that a server is asked to check. Once the bound of
// some version has passed that is the one which the server is known to have, so that
// it is not turned away for having a newer one.
func (w *work) expectedVersion(serving uint64) uint64 {
	switch {
	case w.wanted.Exactly != 0:
		return w.wanted.Exactly
	case w.wanted.AtLeast != 0:
		return max(serving, w.wanted.AtLeast)
	}
	return 0
}

// attempt sends the request to one server. The failure's execution says whether
// it may have run there.
func (w *work) attempt(ctx context.Context) (*exchange, *fault.Refusal, *failure) {
	if refusal := w.admitContent(); refusal != nil {
		return nil, refusal, nil
	}
	w.bindVersion()
	w.bindResidency()
	w.wanted.LastAttempt = w.lastAttempt()
	w.wanted.Left, w.wanted.Patience = time.Until(w.request.Deadline), patienceOf(w.request.Route)
	w.askLoads(ctx)
	chosen, refusal := w.choose()
	if refusal != nil {
		return nil, refusal, nil
	}
	target := chosen.target
	w.sendSuspect(target)
	w.announce(target)
	send := fleet.SendHeader{
		Deadline: time.Until(w.request.Deadline), Instance: target.ID, Version: w.expectedVersion(chosen.Version),
		Tenant: w.request.Tenant, Priority: w.rank(chosen.Expected),
	}
	if w.lastEvent != w.request.Call.LastEventID {
		send.LastEventID = w.lastEvent
	}
	w.sent++
	w.wanted.Tried = append(w.wanted.Tried, target.Candidate)
	w.log.Log(logging.RequestSent, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.sent),
		zap.String("server", target.ID), zap.String("zone", target.Zone), zap.Stringer("content", w.request.Content), zap.Int("outstanding", chosen.Outstanding),
		zap.Int("running", chosen.Load.Running), zap.Int("waiting", chosen.Load.Waiting), zap.Int("unread_tokens", int(chosen.Load.Unread)),
		zap.Int("prompt_tokens", w.wanted.Prompt),
		zap.Duration("time_left", send.Deadline), zap.Duration("since_first_attempt", w.wanted.Arrival.Elapsed), zap.Duration("expected", chosen.Expected), zap.Duration("status_age", chosen.WordAge), zap.Int("candidates", chosen.Considered), zap.Uint64("version", send.Version),
		zap.String("resume_after", send.LastEventID))
	began := time.Now()
	w.sentAt = began
	w.request.usual = w.targets.usualWait(chosen, &w.wanted)
	w.patience = chosen.Patience
	started, failed := w.open(ctx, w.request, send, target, w.silence(target, chosen.Version))
	if failed == nil {
		failed = w.judge(started, send.Version)
	}
	if failed != nil {
		w.unsent()
		w.noteFailure(target, failed, time.Since(began))
		return nil, nil, failed
	}
	w.targets.sawVersion(target, started.head.Version)
	return started, nil, nil
}

// judge turns an answer that is no answer to the request into a failure.
func (w *work) judge(started *exchange, version uint64) *failure {
	status := started.response.StatusCode
	switch {
	case started.head.NotRun:
		started.drain()
		if instance := started.head.Instance; instance != "" && instance != started.target.ID {
			w.targets.supersede(started.target, instance)
			w.contents.serverEnded(started.target.ID)
			return &failure{reason: fault.ReasonIncarnation, execution: fault.ExecutionNotRun, cause: statusError(status)}
		}
		if status == http.StatusMisdirectedRequest {
			return &failure{reason: fault.ReasonWrongVersion, execution: fault.ExecutionNotRun, cause: statusError(status)}
		}
		return &failure{reason: fault.ReasonOverloaded, execution: fault.ExecutionNotRun, cause: statusError(status)}
	case status/100 == 2 && !started.head.Signed:
		started.abort()
		return &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: errUnsigned}
	case version != 0 && started.head.Version != 0 && started.head.Version < version:
		started.abort()
		return &failure{reason: fault.ReasonWrongVersion, execution: fault.ExecutionUnknown}
	}
	return nil
}

var errUnsigned = errors.New("the answer bears no signature")

type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// maximumDrained bounds what is read of an answer that is of no use.
const maximumDrained = 64 << 10

// drain reads a useless answer to its end, so that its connection can be kept.
func (x *exchange) drain() {
	count, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maximumDrained))
	if err != nil || count == maximumDrained {
		x.abort()
		return
	}
	x.finish()
}

// noteFailure logs a failed attempt and draws the conclusion on the server.
func (w *work) noteFailure(target *target, failed *failure, took time.Duration) {
	w.mayHaveRun = w.mayHaveRun || failed.execution == fault.ExecutionUnknown
	w.log.Log(logging.AttemptFailed, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.sent),
		zap.String("server", target.ID), zap.String("reason", string(failed.reason)),
		zap.String("execution", string(failed.execution)), zap.NamedError("cause", failed.cause), zap.Duration("took", took))
	w.metrics.attempts.WithLabelValues(string(failed.reason)).Inc()
	switch failed.reason {
	case fault.ReasonConnectionSilent, fault.ReasonOverdue:
		w.renew(target)
	}
	w.noteEnd(target, failed)
	w.observeFailure(target, failed)
}

// renew lets the next attempt use the same server again, over a connection that was opened
// after this one fell silent, which is at least UnacknowledgedLimit ago.
func (w *work) renew(target *target) {
	w.silentAt = append(w.silentAt, target.Candidate)
	w.request.freshFrom = w.watch.now() - silence.UnacknowledgedLimit
}

// silence decides when a server that sends nothing is given up. Slowness alone is
// no reason: the agent beside it must have lost it, or fallen silent too. A request
// that has not begun is taken back before the time of the server's version is over.
func (w *work) silence(target *target, version uint64) silenceJudge {
	w.attemptBegun, w.overdueNoted = false, false
	return func(silent, usual time.Duration) error {
		w.observeOverdue(target, silent, usual)
		switch {
		case w.waitsBeyondBound(version):
			return errBound
		case w.request.Route.MayRepeat() && silent > suspectSilence && w.targets.suspect(target, w.sentAt):
			return errStalled
		case w.request.Route.MayRepeat() && w.overdue(silent, usual) && w.reserveRetry():
			return errOverdue
		}
		return nil
	}
}

// waitsBeyondBound reports whether a request that has not begun at a server with a version is
// to be taken back. It goes by the versions known now: one may have been named, or heard of,
// after the send, and a request may wait for as long as versions take to be in force.
func (w *work) waitsBeyondBound(version uint64) bool {
	if w.wanted.Engine == nil || w.attemptBegun {
		return false
	}
	notice, superseded := w.targets.currentView().FirstAfter(w.request.Call.Model, version)
	return superseded && time.Until(notice.Since.Add(w.targets.bounds.Load().VersionApply)) < takeBackMargin
}

// takeBackMargin is how long before the bound of an old version a request is taken
// back from a server that has not begun it. A silent connection is looked at each
// lookPeriod.
const takeBackMargin = 2 * lookPeriod

// suspectSilence is the silence after which a suspect server is given up.
const suspectSilence = 350 * time.Millisecond

// mayTryAgain decides whether a failed attempt is followed by another, and says
// why not.
func (w *work) mayTryAgain(ctx context.Context, failed *failure) bool {
	withheld := ""
	switch {
	case ctx.Err() != nil || failed.reason == fault.ReasonCanceled:
		withheld = "caller left"
	case w.mayHaveRun && !w.request.Route.MayRepeat():
		withheld = "may have run"
	case w.sent >= w.request.Route.Attempts:
		withheld = "attempts"
	case time.Until(w.request.Deadline) < minimumTime:
		withheld = "time"
	case !w.retryReserved && !w.takeRetry(w.wanted.Service):
		withheld = "budget"
	}
	w.retryReserved = false
	if withheld == "" {
		w.metrics.retries.Inc()
		return true
	}
	w.log.Log(logging.RetryWithheld, zap.String("request", w.request.Call.RequestID), zap.String("because", withheld),
		zap.Int("attempts", w.sent), zap.Int("most_attempts", w.request.Route.Attempts))
	return false
}

// lastAttempt reports whether no other attempt would follow the next one if that fails, or waits for
// an answer until it is overdue: such a request is not sent to a server to find out whether it serves.
func (w *work) lastAttempt() bool {
	switch {
	case w.sent+1 >= w.request.Route.Attempts, time.Until(w.request.Deadline) < 2*patienceOf(w.request.Route):
		return true
	}
	return !w.retryReserved && !w.hasRetry(w.wanted.Service)
}

// minimumTime is the least time for which an attempt is worth while.
const minimumTime = 30 * time.Millisecond

// giveUp is the answer to a request whose last attempt failed.
func (w *work) giveUp(failed *failure) *fault.Refusal {
	if !w.mayHaveRun {
		refusal := fault.NotRun(failed.reason, "no server took the request")
		refusal.RetryAfter = dispatch.NoServerRetry
		return refusal
	}
	reason := failed.reason
	if failed.execution == fault.ExecutionNotRun {
		reason = fault.ReasonBackendFailed
	}
	return fault.Unknown(reason, "a server may have run the request, and no answer came")
}
