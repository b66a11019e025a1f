// Package gateway implements the entry process on the users' machines: it accepts
// callers' requests on the published routes and passes them to the forwarder.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/daemon"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/loadquery"
	"pinevane.example/pinevane/internal/logging"
)

// Options holds the dependencies of a Gateway.
type Options struct {
	Daemon  *daemon.Daemon
	Dialect fleet.Dialect
	Policy  forward.Policy
	// RetriesSince is as in forward.Options.
	RetriesSince time.Time
}

// Gateway accepts, admits and forwards the requests of one entry process.
type Gateway struct {
	daemon    *daemon.Daemon
	dialect   fleet.Dialect
	log       *logging.Logger
	forwarder *forward.Forwarder
	// forward forwards a request, as forward.Forwarder.Serve.
	forward func(ctx context.Context, writer http.ResponseWriter, request *forward.Request) *fault.Refusal
	// view returns the current view of the fleet.
	view    func() *catalog.View
	loads   *loadquery.Client
	metrics *metrics
	// memory bounds the request and response bytes held for callers.
	memory *bytequota.Quota
	// chunkTimeout is the time that a caller has to read each writeChunkBytes of a response.
	chunkTimeout time.Duration
	// callers tracks the callers' connections.
	callers *callerListener
	// stop is nil before the stop signal.
	stop atomic.Pointer[stopPlan]
	// serving is canceled by endRequests when a stop ends the requests that are still open.
	serving     context.Context
	endRequests context.CancelCauseFunc
}

// New returns an entry that does not listen yet.
func New(options Options) *Gateway {
	base := options.Daemon
	settings := base.Settings()
	g := &Gateway{
		daemon: base, view: base.Catalog.View, chunkTimeout: writeTimeout, dialect: options.Dialect, log: base.Log, metrics: newMetrics(base.Registry),
		loads: loadquery.NewClient(settings.InternalPort, base.Log), memory: newMemory(settings.MemoryBytes),
	}
	g.serving, g.endRequests = context.WithCancelCause(context.Background())
	registerMemory(base.Registry, g.memory)
	base.AddSection("callers", func() any { return g.memory.Status() })
	g.forwarder = forward.New(forward.Options{
		Zone: settings.Zone, Regions: settings.Regions, Bounds: settings.Bounds, Dialect: options.Dialect, Log: base.Log,
		Peers: base.Catalog.EntryCount, Self: settings.IP, Entries: base.Catalog.EntryMembers, Health: base.Catalog, Quarantine: base.Catalog, Notices: base.Catalog, Accounts: base.Catalog, Loads: g.loads,
		Registry: base.Registry, Policy: options.Policy, RetriesSince: options.RetriesSince,
	})
	g.forward = g.forwarder.Serve
	base.Catalog.OnChange(g.forwarder.Update)
	base.Catalog.OnStatus(g.forwarder.ApplyStatus)
	base.Catalog.OnHealth(g.forwarder.ReceiveHealth)
	base.Catalog.OnQuarantine(g.forwarder.ReceiveQuarantine)
	base.Catalog.OnServerNotice(g.forwarder.ReceiveNotice)
	base.Catalog.OnRetryAccount(g.forwarder.ReceiveRetryAccount)
	base.OnSettings(g.forwarder.SetSettings)
	base.AddAction(ReleasePath+"{"+fingerprintParameter+"}", g.releaseFingerprint)
	base.AddSection("contents", func() any { return g.forwarder.Fingerprints() })
	base.AddSection("servers", func() any { return g.forwarder.Servers() })
	base.AddSection("retry_budgets", func() any { return g.forwarder.RetryBudgets() })
	return g
}

// Run serves until stop is closed, then drains open requests within the grace period.
func (g *Gateway) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := g.daemon.Start(ctx); err != nil {
		return err
	}
	settings := g.daemon.Settings()
	if err := g.loads.Open(settings.IP); err != nil {
		return err
	}
	defer g.loads.Close()
	if err := g.daemon.Serve(settings.Ready, http.HandlerFunc(g.serveReady)); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.Callers)
	if err != nil {
		return &fault.Unavailable{Target: settings.Callers, Operation: "listen", Cause: err}
	}
	g.callers = newCallerListener(listener, g.recordUnwritten)
	g.daemon.ServeOn(g.callers, http.HandlerFunc(g.serve), g.callers.trackState)
	go g.forwarder.Run(ctx)
	<-stop
	g.drain(newStopPlan(time.Now(), g.daemon.Settings().Bounds.Grace))
	cancel()
	g.daemon.Close()
	g.log.Log(logging.ProcessStopped)
	return nil
}

func (g *Gateway) ready() bool {
	view := g.view()
	return !g.stopping() && view.Configuration != nil && len(view.Servers) > 0
}

func (g *Gateway) serveReady(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != g.dialect.ReadyPath() {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if !g.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
