package emulator

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"pinevane.example/pinevane/coordination/monotonic"
)

// PublicationLimit is the rate limit of the configuration service in calls per second; a watch
// counts as one call.
const PublicationLimit = 2000

// Publication emulates a service that publishes documents: the configuration service, or the
// membership service with its lag.
type Publication struct {
	faults  faultState
	lag     time.Duration
	limiter *rate.Limiter

	mutex   sync.Mutex
	feed    *monotonic.Feed
	visible *monotonic.Feed
	changed chan struct{}
}

// NewPublication returns an empty publication with an epoch. Changes become visible to readers
// after lag.
func NewPublication(epoch uint64, lag time.Duration) *Publication {
	publication := &Publication{
		lag:     lag,
		limiter: rate.NewLimiter(PublicationLimit, PublicationLimit),
		feed:    monotonic.NewFeed(),
		visible: monotonic.NewFeed(),
		changed: make(chan struct{}),
	}
	publication.feed.Apply(monotonic.Update{Version: monotonic.Version{Epoch: epoch}})
	return publication
}

// Change publishes changed and removed documents as one revision.
func (p *Publication) Change(changed map[string][]byte, removed ...string) monotonic.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	base := p.feed.Version()
	next := monotonic.Version{Epoch: base.Epoch, Revision: base.Revision + 1}
	update := monotonic.Update{Base: base, Version: next, Removed: removed}
	for key, data := range changed {
		update.Changed = append(update.Changed, monotonic.Document{Key: key, Data: data})
	}
	if base.IsZero() || base.Revision == 0 {
		update.Base = monotonic.Version{}
	}
	p.feed.Apply(update)
	if p.lag == 0 {
		p.publish()
		return next
	}
	time.AfterFunc(p.lag, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.publish()
	})
	return next
}

// publish makes the latest state visible to readers, unless the publication is frozen.
func (p *Publication) publish() {
	if p.faults.get().Frozen {
		return
	}
	update, newer := p.feed.Since(p.visible.Version())
	if !newer {
		return
	}
	p.visible.Apply(update)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset replaces the publication with a new epoch that has one revision, as after a restart of the
// service.
func (p *Publication) Reset(epoch uint64, documents map[string][]byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	update := monotonic.Update{Version: monotonic.Version{Epoch: epoch, Revision: 1}}
	for key, data := range documents {
		update.Changed = append(update.Changed, monotonic.Document{Key: key, Data: data})
	}
	p.feed, p.visible = monotonic.NewFeed(), monotonic.NewFeed()
	p.feed.Apply(update)
	p.publish()
}

// SetFaults replaces the injected faults.
func (p *Publication) SetFaults(faults Faults) { p.faults.set(faults) }

// Handler serves the publication at path, together with the routes that control the emulation.
func (p *Publication) Handler(path string) http.Handler {
	router := chi.NewRouter()
	p.Mount(router, path)
	return router
}

// Mount adds the publication's routes to a router.
func (p *Publication) Mount(router chi.Router, path string) {
	router.Group(func(group chi.Router) {
		group.Use(p.faults.rejectWhenDown)
		group.Get(path, p.watch)
	})
	router.Route(path+"/control", func(control chi.Router) {
		p.faults.mount(control)
		control.Post("/change", p.change)
	})
}

// ChangeRequest is the body of POST {path}/control/change.
type ChangeRequest struct {
	Changed map[string][]byte `json:"changed"`
	Removed []string          `json:"removed"`
}

func (p *Publication) change(writer http.ResponseWriter, request *http.Request) {
	var change ChangeRequest
	if !readJSON(writer, request, &change) {
		return
	}
	writeJSON(writer, p.Change(change.Changed, change.Removed...))
}

func (p *Publication) watch(writer http.ResponseWriter, request *http.Request) {
	if !p.limiter.Allow() {
		http.Error(writer, "rate limit", http.StatusTooManyRequests)
		return
	}
	query := request.URL.Query()
	since := monotonic.Version{Epoch: parseNumber(query.Get("epoch")), Revision: parseNumber(query.Get("revision"))}
	wait := time.Duration(parseNumber(query.Get("wait_ms"))) * time.Millisecond
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	update, newer := p.waitNewer(ctx, since)
	if !newer {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(writer, update)
}

func (p *Publication) waitNewer(ctx context.Context, since monotonic.Version) (monotonic.Update, bool) {
	for {
		p.mutex.Lock()
		p.publishPending()
		update, newer := p.visible.Since(since)
		changed := p.changed
		p.mutex.Unlock()
		if newer {
			return update, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return monotonic.Update{}, false
		}
	}
}

// publishPending publishes changes that were made while the publication was frozen.
func (p *Publication) publishPending() {
	if p.lag == 0 {
		p.publish()
	}
}

func parseNumber(text string) uint64 {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return number
}
