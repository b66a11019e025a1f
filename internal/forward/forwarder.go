// Package forward takes a caller's request to a server and the server's answer
// back. It chooses the server, holds the retries to their budget, never sends
// again what may have run and may not repeat, and continues a broken stream at
// another server inside the same answer.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/coordination/budget"
	"pinevane.example/pinevane/coordination/dispatch"
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
	Health HealthAnnouncer
	// Quarantine shares which contents end servers with the other processes; nil with nobody.
	Quarantine QuarantineAnnouncer
	// Notices shares what servers ask in their answers with the other entries; nil with nobody.
	Notices NoticeAnnouncer
	// Loads asks agents before requests are sent; nil asks nobody.
	Loads    LoadQuerier
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
	registerAsked(options.Registry, f.targets)
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

// ApplyStatus notes an agent's word on its server, when that was said, and whether it was
// said to this process itself.
func (f *Forwarder) ApplyStatus(status fleet.MachineStatus, at time.Time, direct bool) {
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
		Service: service, Route: request.Route.Name, Target: request.Route.Target, Streaming: w.isStream(),
		RunsOnce: !request.Route.MayRepeat(), Others: f.options.Peers(),
		Prompt: request.Call.PromptTokens, Answer: expectedAnswer(request.Call),
	}
	w.wanted.Arrival = f.noteArrival(&w.wanted, request.Call.Deadline)
	f.targets.describe(&w.wanted)
	f.countRequest(service)
	defer w.endSuspect()
	refusal := w.forward(ctx)
	if refusal != nil {
		w.countEnding(endingOf(refusal))
	}
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
