// Package forward forwards a caller's request to a server and returns the server's answer. It
// chooses the server, keeps retries within their budget, never resends a non-repeatable request
// that may have run, and resumes an interrupted stream at another server within the same answer.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/hedging"
	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Options configures a Forwarder.
type Options struct {
	Zone    string
	Regions map[string]string
	Bounds  fleet.Bounds
	Dialect fleet.Dialect
	Log     *logging.Logger
	// Peers returns the number of other entries known.
	Peers func() int
	// Self is this entry's name among the entries, and Entries lists the other known ones; nil if
	// none are known.
	Self    string
	Entries func() []sharing.Member
	// Health shares health reports on servers with the zone's other entries; nil shares nothing.
	Health HealthAnnouncer
	// Quarantine shares which fingerprints crash servers with the other processes; nil shares
	// nothing.
	Quarantine QuarantineAnnouncer
	// Notices shares server notices with the other entries; nil shares nothing.
	Notices NoticeAnnouncer
	// Accounts tells others what this entry has counted for its retry budgets; nil tells nobody.
	Accounts RetryAccountAnnouncer
	// Loads queries agents before requests are sent; nil sends no load queries.
	Loads    LoadQuerier
	Registry prometheus.Registerer
	Policy   Policy
	// RetriesSince is when this entry began to count requests and retries; zero means now, as in every process.
	// An entry that has counted for less than the retry window retries less, for which tests of entries that have
	// run for longer need not wait.
	RetriesSince time.Time
}

// Forwarder forwards the requests of an entry.
type Forwarder struct {
	options Options
	dialect fleet.Dialect
	log     *logging.Logger
	targets *targets
	metrics *metrics
	watcher *silenceWatcher
	started time.Time
	// quarantine keeps fingerprints that crash servers away from them.
	quarantine *quarantineManager

	retryBudgets *retryBudgets
	// lastChecked is the configuration that was checked last; only Update uses it.
	lastChecked *fleet.Configuration
}

// New returns a forwarder that knows no servers yet.
func New(options Options) *Forwarder {
	started, m := time.Now(), newMetrics(options.Registry)
	f := &Forwarder{
		options: options, dialect: options.Dialect, log: options.Log, started: started,
		targets: newTargets(options, started),
		metrics: m, watcher: newSilenceWatcher(options.Log, m, started),
		quarantine: newQuarantineManager(options, started),
	}
	f.retryBudgets = newRetryBudgets(options, &f.targets.bounds, started)
	options.Registry.MustRegister(f.retryBudgets)
	registerColdMetrics(options.Registry, f.targets)
	registerNoticeMetrics(options.Registry, f.targets)
	registerHealthMetrics(options.Registry, f.targets)
	options.Registry.MustRegister(newEvacuationCollector(f.targets), newBoundLoadCollector(f.targets))
	return f
}

// Update applies a new view of the fleet.
func (f *Forwarder) Update(view *catalog.View) {
	f.checkConfiguration(view.Configuration)
	f.targets.update(view)
	for _, server := range f.targets.takeCrashedServers() {
		f.quarantine.serverCrashed(server)
	}
}

// ApplyStatus applies an agent's status report on its server, made at the given time. It is direct
// if this process received it from the agent itself.
func (f *Forwarder) ApplyStatus(status fleet.MachineStatus, at time.Time, direct bool) {
	f.targets.applyStatus(status, at, direct)
}

// sweepPeriod is how often idle connections are checked for expiry.
const sweepPeriod = time.Second

// Run does the periodic maintenance until the context ends.
func (f *Forwarder) Run(ctx context.Context) {
	go f.watcher.Run(ctx)
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	accounts := time.NewTicker(accountInterval)
	defer accounts.Stop()
	for {
		select {
		case <-accounts.C:
			f.retryBudgets.announceRetried()
		case <-ticker.C:
			f.targets.sweep()
			f.quarantine.tick()
		case <-ctx.Done():
			return
		}
	}
}

// attemptState is the state of one attempt.
type attemptState struct {
	// number is 1 for the request's first attempt.
	number int
	// currentSend is the attempt as dispatch counts it.
	currentSend *dispatch.Send
	sentAt      time.Time
	// attemptBegun is set once the attempt has returned an event.
	attemptBegun bool
	// overdueTimeout is the silence after which the attempt is overdue as long as it has returned
	// nothing; 0 if that follows from the typical wait.
	overdueTimeout time.Duration
	// overdueRecorded is set once the attempt has been recorded as overdue.
	overdueRecorded bool
}

// forwarding is the state of one request being forwarded.
type forwarding struct {
	*Forwarder
	request  *Request
	writer   http.ResponseWriter
	criteria dispatch.Request
	// isSuspect is set while an attempt is in flight whose fingerprint, or that of a part of its prompt,
	// may crash its server; suspect is that fingerprint.
	isSuspect bool
	suspect   quarantine.Fingerprint
	attemptState
	// hedge is the second attempt that is open beside the current one, nil if there is none, and
	// hedging decides which of the two goes on.
	hedge   *hedge
	hedging hedging.Machine
	// committed is set once only the current server can supply the rest of the answer.
	committed bool
	// attempts counts the servers that the request was sent to.
	attempts int
	// silentServers are servers that were tried over connections that turned out to be silent.
	silentServers []*dispatch.Candidate
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	lastEvent  string
	// headSent is set once the head of an answer has been sent to the caller.
	headSent bool
	events   int
	version  uint64
	// firstEventAfter is the time to the first event, longestPause the longest pause between two
	// events, and lastEventAt when the last one was relayed.
	firstEventAfter time.Duration
	longestPause    time.Duration
	lastEventAt     time.Time
}

// Serve forwards a request and writes the complete answer. A refusal means that nothing was
// written. After an error in the middle of an answer it panics with http.ErrAbortHandler, so that
// the answer does not look complete.
func (f *Forwarder) Serve(ctx context.Context, writer http.ResponseWriter, request *Request) *fault.Refusal {
	service := pickService(request.Route.Services)
	w := &forwarding{Forwarder: f, request: request, writer: writer, lastEvent: request.Call.LastEventID}
	w.criteria = dispatch.Request{
		Service: service, Route: request.Route.Name, Target: request.Route.Target, Streaming: w.isStream(),
		AtMostOnce: !request.Route.MayRepeat(), OtherEntries: f.options.Peers(),
		Prompt: request.Call.PromptTokens, Answer: expectedAnswer(request.Call),
	}
	w.criteria.Arrival = f.recordArrival(&w.criteria, request.Call.Deadline)
	f.targets.fillEngine(&w.criteria)
	f.targets.fillEngineOfAdmission(&w.criteria, request.Configuration)
	f.retryBudgets.recordRequest(service)
	defer w.endSuspect()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer w.cancelHedge()
	refusal := w.forward(ctx)
	if refusal != nil && canceledByStop(ctx) {
		refusal = StoppingRefusal(w.mayHaveRun)
		w.countEnding(endingLabel(refusal))
		return refusal
	}
	if refusal != nil {
		w.countEnding(endingLabel(refusal))
	}
	w.recordRefusal(refusal)
	return refusal
}

func (w *forwarding) forward(ctx context.Context) *fault.Refusal {
	if w.isStream() {
		return w.serveStream(ctx)
	}
	return w.serveBuffered(ctx)
}

func (w *forwarding) isStream() bool { return w.request.Route.Kind == fleet.Streaming }

// expectedAnswer is the caller's estimate of the answer's tokens, limited to the requested maximum.
func expectedAnswer(call fleet.CallHeader) int {
	if call.LengthHint > 0 && (call.AnswerTokens == 0 || call.LengthHint < call.AnswerTokens) {
		return call.LengthHint
	}
	return call.AnswerTokens
}

// pickService picks one of a route's services at random, by weight: the first one if no weight is
// positive, and none, which has no servers, if there are no services.
func pickService(services []fleet.WeightedService) string {
	if len(services) == 0 {
		return ""
	}
	picked, total := services[0].Service, 0.0
	for _, service := range services {
		weight := float64(max(0, service.Weight))
		total += weight
		if rand.Float64()*total < weight {
			picked = service.Service
		}
	}
	return picked
}
