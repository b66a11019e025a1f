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

// A request can end each server that begins to run it, and come again and again at any entry. Without
// the quarantine of its content it ends a server or two each time for as long as it is asked: 32 of 8
// servers in 8 s, in TestContentThatEndsItsServersIsKeptFromThem, instead of 3 to 6.

// Times of looking after a server whose connections have broken.
const (
	// checkAgainAfter is when a server that took a connection right after others broke is asked once
	// more: its socket may have closed last.
	checkAgainAfter = 150 * time.Millisecond
	// checkTimeout bounds a connection that is made for that, far longer than the way to another region
	// and back.
	checkTimeout = 500 * time.Millisecond
	// mostLoggedContents bounds the contents that a line of the log names.
	mostLoggedContents = 24
)

// QuarantineSource passes on what entries have found out of contents that end servers.
type QuarantineSource interface {
	// AnnounceQuarantine has the other processes told; the words' moments count from a time.
	AnnounceQuarantine(words []quarantine.Report, from time.Time)
}

// contents keeps contents that end servers from these.
type contents struct {
	log     *logging.Logger
	started time.Time
	// source is nil in an entry that shares nothing.
	source QuarantineSource

	mutex   sync.Mutex
	tracker *quarantine.Tracker

	ends        prometheus.Counter
	quarantines *prometheus.CounterVec
}

func newContents(options Options, started time.Time) *contents {
	c := &contents{
		log: options.Log, started: started, source: options.Quarantine,
		tracker: quarantine.New(options.Self, uint64(started.UnixNano())),
		ends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_server_ends_total", Help: "Servers that have ended without a word while requests of this entry were under way there."}),
		quarantines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_quarantines_total", Help: "Quarantines of contents that end their servers, by whether this entry has found out or was told."}, []string{"by"}),
	}
	options.Registry.MustRegister(c.ends, c.quarantines, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "pinevane_quarantined_contents", Help: "Contents that are kept from servers because they end them."},
		func() float64 {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return float64(c.tracker.CountQuarantines(c.since(time.Now())))
		}))
	return c
}

func (c *contents) since(at time.Time) time.Duration { return at.Sub(c.started) }

// do has the tracker do something now, logs what that changes, and has the others told of it.
func (c *contents) do(action func(tracker *quarantine.Tracker, now time.Duration)) {
	c.mutex.Lock()
	action(c.tracker, c.since(time.Now()))
	words, changes := c.tracker.TakeReports(), c.tracker.TakeChanges()
	c.mutex.Unlock()
	for _, change := range changes {
		c.report(change)
	}
	if len(words) > 0 && c.source != nil {
		c.source.AnnounceQuarantine(words, c.started)
	}
}

func (c *contents) report(change quarantine.Change) {
	switch change.Kind {
	case quarantine.Crashed:
		c.ends.Inc()
		named := change.Fingerprints[:min(len(change.Fingerprints), mostLoggedContents)]
		c.log.Log(logging.ServerCrashed, zap.String("server", change.Server), zap.Int("requests", len(change.Fingerprints)), zap.Stringers("contents", named))
	case quarantine.Quarantined:
		by := "told"
		if change.Reporter == c.tracker.Self() {
			by = "found"
		}
		c.quarantines.WithLabelValues(by).Inc()
		c.log.Log(logging.FingerprintQuarantined, zap.Stringer("content", change.Fingerprint), zap.Strings("servers", change.Servers),
			zap.Duration("left", change.Remaining), zap.Int("round", change.Round), zap.String("entry", change.Reporter))
	case quarantine.Cleared:
		c.log.Log(logging.FingerprintReleased, zap.Stringer("content", change.Fingerprint), zap.String("entry", change.Reporter))
	}
}

// HearQuarantine takes in what another process has found out, whose moment counts from a time.
func (f *Forwarder) HearQuarantine(word quarantine.Report, from time.Time) {
	word.At += from.Sub(f.contents.started)
	f.contents.do(func(tracker *quarantine.Tracker, now time.Duration) { tracker.ApplyReport(word, now) })
}

// Release ends what is held against a content, at an operator's wish, and reports whether there was
// anything.
func (f *Forwarder) Release(id [quarantine.FingerprintSize]byte) bool {
	released := false
	f.contents.do(func(tracker *quarantine.Tracker, now time.Duration) {
		for _, one := range tracker.Describe(now) {
			if one.Fingerprint.ID == id {
				released = tracker.Release(one.Fingerprint, now)
			}
		}
	})
	return released
}

// admitContent refuses a request whose content is kept from servers, before each of its attempts. One
// that is a suspect goes to a server that has no other suspect of this entry.
func (w *work) admitContent() *fault.Refusal {
	w.endSuspect()
	verdict := w.contents.admit(w.request.Content)
	w.wanted.Excluded = nil
	refusal := (*fault.Refusal)(nil)
	switch verdict.State {
	case quarantine.Allowed:
		return nil
	case quarantine.Suspected:
		w.suspect = true
		w.wanted.Excluded = w.contents.occupied()
		return nil
	case quarantine.InQuarantine:
		refusal = fault.NotRun(fault.ReasonQuarantined, "servers have ended under requests with this content")
	default:
		refusal = fault.NotRun(fault.ReasonSuspected, "servers have ended under requests with this content, among others")
	}
	refusal.RetryAfter = verdict.Remaining
	w.log.Log(logging.RequestQuarantined, zap.String("request", w.request.Call.RequestID), zap.Stringer("content", w.request.Content),
		zap.String("reason", string(refusal.Reason)), zap.Strings("servers", verdict.Servers), zap.Duration("left", verdict.Remaining))
	return refusal
}

// isWithheld reports whether a request was refused for its content. That says nothing of the load, and
// its caller is not asked back.
func isWithheld(refusal *fault.Refusal) bool {
	return refusal.Reason == fault.ReasonQuarantined || refusal.Reason == fault.ReasonSuspected
}

// admit judges a content that is about to be sent. Nearly all are held against nothing: they need
// no more than a look.
func (c *contents) admit(content quarantine.Fingerprint) (verdict quarantine.Verdict) {
	c.mutex.Lock()
	free := c.tracker.Evaluate(content, c.since(time.Now())).State == quarantine.Allowed
	c.mutex.Unlock()
	if free {
		return quarantine.Verdict{}
	}
	c.do(func(tracker *quarantine.Tracker, now time.Duration) { verdict = tracker.Admit(content, now) })
	return verdict
}

func (c *contents) occupied() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.tracker.TrialServers()
}

// sendSuspect notes where a suspect goes.
func (w *work) sendSuspect(target *target) {
	if !w.suspect {
		return
	}
	w.contents.mutex.Lock()
	defer w.contents.mutex.Unlock()
	w.contents.tracker.SetTrialServer(w.request.Content, target.ID)
}

// endSuspect notes that the request is under way no more.
func (w *work) endSuspect() {
	if !w.suspect {
		return
	}
	w.suspect = false
	w.contents.mutex.Lock()
	defer w.contents.mutex.Unlock()
	w.contents.tracker.EndTrial(w.request.Content)
}

// contentAnswered notes that a server has answered the request whole.
func (w *work) contentAnswered() {
	w.contents.do(func(tracker *quarantine.Tracker, now time.Duration) { tracker.RecordAnswer(w.request.Content, now) })
}

// noteEnd draws the conclusion from a failed attempt on whether its server has ended. A server that is
// leaving ends as planned.
func (w *work) noteEnd(target *target, failed *failure) {
	switch {
	case errors.Is(failed.cause, syscall.ECONNREFUSED):
		w.contents.serverEnded(target.ID)
	case failed.execution == fault.ExecutionUnknown && connectionEnded(failed.cause) && !w.targets.leaving(target):
		doubted := false
		w.contents.do(func(tracker *quarantine.Tracker, now time.Duration) {
			doubted = tracker.RecordBrokenConnection(target.ID, w.request.Content, w.contents.since(w.sentAt), now)
		})
		switch {
		case w.suspect:
			// Its next attempt needs to know: made at once it ended a fourth server before the end of the
			// third was found.
			w.contents.check(target.ID, target.Address)
		case doubted:
			go w.contents.check(target.ID, target.Address)
		}
	}
}

// connectionEnded reports whether an error is that the other end has closed or reset a connection.
func connectionEnded(err error) bool {
	for _, one := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}

// serverEnded notes that a server has ended: its machine refuses connections, or another one is there.
func (c *contents) serverEnded(server string) {
	c.do(func(tracker *quarantine.Tracker, now time.Duration) { tracker.RecordCrash(server, now) })
}

// check finds out whether a server whose connections have broken still listens: a machine that refuses
// connections is there and has no server. One that answers nothing may be cut off, or stand still.
func (c *contents) check(server, address string) {
	for _, pause := range []time.Duration{0, checkAgainAfter} {
		time.Sleep(pause)
		if !c.doubts(server) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.serverEnded(server)
			return
		}
		if err == nil {
			_ = connection.Close()
		}
	}
}

func (c *contents) doubts(server string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.tracker.HasBrokenConnections(server, c.since(time.Now()))
}

// tick decides what is due by time.
func (c *contents) tick() {
	c.do(func(tracker *quarantine.Tracker, now time.Duration) { tracker.Tick(now) })
}

// leaving reports whether a server is to be sent nothing more because it leaves.
func (t *targets) leaving(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Leaving(k.Candidate)
}

// ContentView is what is held against one content.
type ContentView struct {
	Content string `json:"content"`
	// State is "quarantined" or "suspected".
	State string  `json:"state"`
	Left  float64 `json:"left_seconds"`
	Round int     `json:"round"`
	// Servers are the last ones that have ended under it, By the entry that found that out.
	Servers []string `json:"servers"`
	By      string   `json:"by,omitempty"`
}

// Contents lists the contents that are quarantined or suspected.
func (f *Forwarder) Contents() []ContentView {
	f.contents.mutex.Lock()
	defer f.contents.mutex.Unlock()
	views := []ContentView{}
	for _, one := range f.contents.tracker.Describe(f.contents.since(time.Now())) {
		state := "suspected"
		if one.State == quarantine.InQuarantine {
			state = "quarantined"
		}
		views = append(views, ContentView{Content: one.Fingerprint.String(), State: state, Left: one.Remaining.Seconds(), Round: one.Round, Servers: one.Servers, By: one.Reporter})
	}
	return views
}
