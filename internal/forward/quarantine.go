package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

// A request can crash each server that begins to run it, and be retried again and again at any
// entry. Without a quarantine of its fingerprint it crashes a server or two each time: 32 crashes
// of 8 servers in 8 s, instead of 3 to 6, in the test of package sitetest that sends such a
// request.

// Timeouts and limits of probing a server whose connections have broken.
const (
	// reprobeAfter is when a server that accepted a connection right after others broke is probed
	// once more: its listening socket may have closed last.
	reprobeAfter = 150 * time.Millisecond
	// probeTimeout bounds the probing connection. It is far longer than a round trip to another
	// region.
	probeTimeout = 500 * time.Millisecond
	// maxLoggedFingerprints bounds the fingerprints that a log line names.
	maxLoggedFingerprints = 24
)

// QuarantineAnnouncer announces entries' findings on fingerprints that crash servers.
type QuarantineAnnouncer interface {
	// AnnounceQuarantine sends quarantine reports to the other processes. The offsets in the
	// reports count from the given time.
	AnnounceQuarantine(reports []quarantine.Report, from time.Time)
}

// quarantineManager keeps fingerprints that crash servers away from them.
type quarantineManager struct {
	log     *logging.Logger
	started time.Time
	// announcer is nil in an entry that shares nothing.
	announcer QuarantineAnnouncer

	mutex   sync.Mutex
	tracker *quarantine.Tracker

	crashes     prometheus.Counter
	quarantines *prometheus.CounterVec
}

func newQuarantineManager(options Options, started time.Time) *quarantineManager {
	m := &quarantineManager{
		log: options.Log, started: started, announcer: options.Quarantine,
		tracker: quarantine.New(options.Self, uint64(started.UnixNano())),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_server_ends_total", Help: "Servers that have ended without a word while requests of this entry were under way there."}),
		quarantines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_quarantines_total", Help: "Quarantines of contents that end their servers, by whether this entry has found out or was told."}, []string{"by"}),
	}
	options.Registry.MustRegister(m.crashes, m.quarantines, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "pinevane_quarantined_contents", Help: "Contents that are kept from servers because they end them."},
		func() float64 {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			return float64(m.tracker.CountQuarantines(m.since(time.Now())))
		}))
	return m
}

func (m *quarantineManager) since(at time.Time) time.Duration { return at.Sub(m.started) }

// update runs an action on the tracker, logs the resulting changes and announces the resulting
// reports.
func (m *quarantineManager) update(action func(tracker *quarantine.Tracker, now time.Duration)) {
	m.mutex.Lock()
	action(m.tracker, m.since(time.Now()))
	reports, changes := m.tracker.TakeReports(), m.tracker.TakeChanges()
	m.mutex.Unlock()
	for _, change := range changes {
		m.logChange(change)
	}
	if len(reports) > 0 && m.announcer != nil {
		m.announcer.AnnounceQuarantine(reports, m.started)
	}
}

func (m *quarantineManager) logChange(change quarantine.Change) {
	switch change.Kind {
	case quarantine.Crashed:
		m.crashes.Inc()
		logged := change.Fingerprints[:min(len(change.Fingerprints), maxLoggedFingerprints)]
		m.log.Log(logging.ServerCrashed, zap.String("server", change.Server), zap.Int("requests", len(change.Fingerprints)), zap.Stringers("contents", logged),
			zap.Strings("parts", partNames(change.Parts[:min(len(change.Parts), maxLoggedFingerprints)])))
	case quarantine.Quarantined:
		by := "told"
		if change.Reporter == m.tracker.Self() {
			by = "found"
		}
		m.quarantines.WithLabelValues(by).Inc()
		m.log.Log(logging.FingerprintQuarantined, zap.Stringer("content", change.Fingerprint), partField(change.Fingerprint), companionsField(change.Companions), zap.Strings("servers", change.Servers),
			zap.Duration("left", change.Remaining), zap.Int("round", change.Round), zap.String("entry", change.Reporter))
	case quarantine.Cleared:
		m.log.Log(logging.FingerprintReleased, zap.Stringer("content", change.Fingerprint), partField(change.Fingerprint), zap.String("entry", change.Reporter))
	}
}

// partField returns the log field with the name of a part of a prompt.
func partField(fingerprint quarantine.Fingerprint) zap.Field {
	if !fingerprint.Part {
		return zap.Skip()
	}
	return zap.String("part", fingerprint.PartName())
}

// companionsField returns the log field with the names of the parts that a part is quarantined with.
func companionsField(companions []quarantine.Fingerprint) zap.Field {
	if len(companions) == 0 {
		return zap.Skip()
	}
	return zap.Strings("together_with", partNames(companions))
}

func partNames(parts []quarantine.Fingerprint) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, part.PartName())
	}
	return names
}

// ReceiveQuarantine applies a quarantine report of another process, whose offset counts from the
// given time.
func (f *Forwarder) ReceiveQuarantine(report quarantine.Report, from time.Time) {
	report.At += from.Sub(f.quarantine.started)
	f.quarantine.update(func(tracker *quarantine.Tracker, now time.Duration) { tracker.ApplyReport(report, now) })
}

// ReleaseQuarantine clears a fingerprint at an operator's request, and reports whether there was
// anything to clear.
func (f *Forwarder) ReleaseQuarantine(id [quarantine.FingerprintSize]byte) bool {
	released := false
	f.quarantine.update(func(tracker *quarantine.Tracker, now time.Duration) {
		for _, known := range tracker.Describe(now) {
			if known.Fingerprint.ID == id {
				released = tracker.Release(known.Fingerprint, now)
			}
		}
	})
	return released
}

// admitFingerprint refuses a request whose fingerprint is quarantined or may not run now. It is
// called before each attempt. A suspect request goes to a server that has no other suspect of this
// entry.
func (w *forwarding) admitFingerprint() *fault.Refusal {
	w.endSuspect()
	verdict := w.quarantine.admit(w.request.Identity)
	w.criteria.Excluded = nil
	refusal := (*fault.Refusal)(nil)
	switch verdict.State {
	case quarantine.Allowed:
		return nil
	case quarantine.Suspected:
		w.isSuspect, w.suspect = true, verdict.Fingerprint
		w.criteria.Excluded = w.quarantine.suspectServers()
		return nil
	case quarantine.InQuarantine:
		refusal = fault.NotRun(fault.ReasonQuarantined, "servers have crashed under requests with "+subjectOf(verdict.Fingerprint))
	default:
		refusal = fault.NotRun(fault.ReasonSuspected, "servers have crashed under requests with "+subjectOf(verdict.Fingerprint)+", among others")
	}
	refusal.RetryAfter = verdict.Remaining
	w.log.Log(logging.RequestQuarantined, zap.String("request", w.request.Call.RequestID), zap.Stringer("content", verdict.Fingerprint), partField(verdict.Fingerprint),
		zap.String("reason", string(refusal.Reason)), zap.Strings("servers", verdict.Servers), zap.Duration("left", verdict.Remaining))
	return refusal
}

// subjectOf names what a request is refused for.
func subjectOf(fingerprint quarantine.Fingerprint) string {
	if fingerprint.Part {
		return "a part of this prompt"
	}
	return "this content"
}

// isQuarantineRefusal reports whether a request was refused for its fingerprint. Such a refusal
// says nothing about the load, and no retry of its caller is expected.
func isQuarantineRefusal(refusal *fault.Refusal) bool {
	return refusal.Reason == fault.ReasonQuarantined || refusal.Reason == fault.ReasonSuspected
}

// admit classifies a request that is about to be sent. Nearly all are clear and need no more than a
// lookup.
func (m *quarantineManager) admit(request quarantine.Request) (verdict quarantine.Verdict) {
	m.mutex.Lock()
	free := m.tracker.Evaluate(request, m.since(time.Now())).State == quarantine.Allowed
	m.mutex.Unlock()
	if free {
		return quarantine.Verdict{}
	}
	m.update(func(tracker *quarantine.Tracker, now time.Duration) { verdict = tracker.Admit(request, now) })
	return verdict
}

func (m *quarantineManager) suspectServers() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.TrialServers()
}

// recordSuspectSend records which server a suspect request is sent to.
func (w *forwarding) recordSuspectSend(target *target) {
	if !w.isSuspect {
		return
	}
	w.quarantine.mutex.Lock()
	defer w.quarantine.mutex.Unlock()
	w.quarantine.tracker.SetTrialServer(w.suspect, target.ID)
}

// endSuspect records that a suspect request is no longer in flight.
func (w *forwarding) endSuspect() {
	if !w.isSuspect {
		return
	}
	w.isSuspect = false
	w.quarantine.mutex.Lock()
	defer w.quarantine.mutex.Unlock()
	w.quarantine.tracker.EndTrial(w.suspect)
}

// confirmFingerprint records that a server has answered the request completely with the given status.
func (w *forwarding) confirmFingerprint(status int) {
	answered := answeredBy(w.request.Identity, status)
	w.quarantine.update(func(tracker *quarantine.Tracker, now time.Duration) { tracker.RecordAnswer(answered, now) })
}

// answeredBy returns what a complete answer with the given status says of a request. A failure, such as the
// end of the deadline in the server's queue, does not show that the server has answered the prompt.
func answeredBy(request quarantine.Request, status int) quarantine.Request {
	if status/100 != 2 {
		return quarantine.Request{Fingerprint: request.Fingerprint}
	}
	return request
}

// detectCrash determines from a failed attempt whether its server has crashed. A server that is
// leaving stops as planned.
func (w *forwarding) detectCrash(target *target, failed *failure) {
	switch {
	case errors.Is(failed.cause, syscall.ECONNREFUSED):
		w.quarantine.serverCrashed(target.ID)
	case failed.execution == fault.ExecutionUnknown && closedByPeer(failed.cause) && !w.targets.leaving(target):
		crashSuspected := false
		w.quarantine.update(func(tracker *quarantine.Tracker, now time.Duration) {
			crashSuspected = tracker.RecordBrokenConnection(target.ID, w.request.Identity, w.quarantine.since(w.sentAt), now)
		})
		switch {
		case errors.Is(failed.cause, errEndedByCrash):
			w.quarantine.serverCrashed(target.ID)
		case w.isSuspect:
			// The next attempt of a suspect has to wait for the result: when it was made at once,
			// it crashed a fourth server before the crash of the third was detected.
			w.quarantine.probeServer(target.ID, target.Address)
		case crashSuspected:
			go w.quarantine.probeServer(target.ID, target.Address)
		}
	}
}

// closedByPeer reports whether an error means that the peer has closed or reset the connection.
func closedByPeer(err error) bool {
	for _, closeError := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errTruncatedEvent, errEndedByCrash, errUnconfirmedEnd} {
		if errors.Is(err, closeError) {
			return true
		}
	}
	var broken *brokenUpload
	return errors.As(err, &broken)
}

// serverCrashed records that a server has crashed: its machine refuses connections, or another
// instance has its address.
func (m *quarantineManager) serverCrashed(server string) {
	m.update(func(tracker *quarantine.Tracker, now time.Duration) { tracker.RecordCrash(server, now) })
}

// probeServer checks whether a server whose connections have broken still listens. A machine that
// refuses connections is reachable but runs no server. One that does not answer may be partitioned
// or frozen.
func (m *quarantineManager) probeServer(server, address string) {
	for _, pause := range []time.Duration{0, reprobeAfter} {
		time.Sleep(pause)
		if !m.crashSuspected(server) {
			return
		}
		if refusesConnections(context.Background(), address) {
			m.serverCrashed(server)
			return
		}
	}
}

// refusesConnections reports whether a machine can be reached and runs no server at an address.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (m *quarantineManager) crashSuspected(server string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.tracker.HasBrokenConnections(server, m.since(time.Now()))
}

// tick applies what is due by time.
func (m *quarantineManager) tick() {
	m.update(func(tracker *quarantine.Tracker, now time.Duration) { tracker.Tick(now) })
}

// leaving reports whether a server gets no more requests because it is leaving.
func (t *targets) leaving(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Leaving(k.Candidate)
}

// FingerprintView is the quarantine state of one fingerprint.
type FingerprintView struct {
	Fingerprint string `json:"content"`
	// Part names the part of a prompt; it is empty for a whole request. A quarantine concerns the prompts
	// that have the parts of TogetherWith too.
	Part         string   `json:"part,omitempty"`
	TogetherWith []string `json:"together_with,omitempty"`
	// State is "quarantined" or "suspected".
	State     string  `json:"state"`
	Remaining float64 `json:"left_seconds"`
	Round     int     `json:"round"`
	// Servers are the last ones that have crashed under the fingerprint. Reporter is the entry that
	// detected it.
	Servers  []string `json:"servers"`
	Reporter string   `json:"by,omitempty"`
}

// Fingerprints lists the fingerprints that are quarantined or suspected.
func (f *Forwarder) Fingerprints() []FingerprintView {
	f.quarantine.mutex.Lock()
	defer f.quarantine.mutex.Unlock()
	views := []FingerprintView{}
	for _, known := range f.quarantine.tracker.Describe(f.quarantine.since(time.Now())) {
		state := "suspected"
		if known.State == quarantine.InQuarantine {
			state = "quarantined"
		}
		views = append(views, FingerprintView{
			Fingerprint: known.Fingerprint.String(), Part: known.Fingerprint.PartName(), TogetherWith: partNames(known.Companions),
			State: state, Remaining: known.Remaining.Seconds(), Round: known.Round, Servers: known.Servers, Reporter: known.Reporter,
		})
	}
	return views
}
