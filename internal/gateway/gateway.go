// Package gateway is the entry process on the users' machines: it takes callers'
// requests on the published routes and hands them to the forwarding core.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/daemon"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/loadquery"
	"pinevane.example/pinevane/internal/logging"
)

// Options wires a Gateway.
type Options struct {
	Daemon  *daemon.Daemon
	Dialect fleet.Dialect
	Policy  forward.Policy
}

// Gateway is one entry process.
type Gateway struct {
	daemon    *daemon.Daemon
	dialect   fleet.Dialect
	log       *logging.Logger
	forwarder *forward.Forwarder
	loads     *loadquery.Client
	metrics   *metrics
	// memory bounds what is held for callers.
	memory *bytequota.Quota
	open   atomic.Int64
	// stopping is the time of the stop signal in nanoseconds, 0 before it.
	stopping atomic.Int64
}

// New builds an entry that does not listen yet.
func New(options Options) *Gateway {
	base := options.Daemon
	settings := base.Settings()
	g := &Gateway{
		daemon: base, dialect: options.Dialect, log: base.Log, metrics: newMetrics(base.Registry),
		loads: loadquery.NewClient(settings.InternalPort, base.Log), memory: newMemory(settings.MemoryBytes),
	}
	registerMemory(base.Registry, g.memory)
	base.AddSection("callers", func() any { return g.memory.Status() })
	g.forwarder = forward.New(forward.Options{
		Zone: settings.Zone, Regions: settings.Regions, Bounds: settings.Bounds, Dialect: options.Dialect, Log: base.Log,
		Peers: base.Catalog.EntryCount, Self: settings.IP, Entries: base.Catalog.Entries, Health: base.Catalog, Quarantine: base.Catalog, Notices: base.Catalog, Loads: g.loads,
		Registry: base.Registry, Policy: options.Policy,
	})
	base.Catalog.OnChange(g.forwarder.Update)
	base.Catalog.OnStatus(g.forwarder.ApplyStatus)
	base.Catalog.OnHealth(g.forwarder.ReceiveHealth)
	base.Catalog.OnQuarantine(g.forwarder.ReceiveQuarantine)
	base.Catalog.OnServerNotice(g.forwarder.ReceiveNotice)
	base.OnSettings(g.forwarder.SetSettings)
	base.AddAction(ReleasePath+"{"+contentParameter+"}", g.release)
	base.AddSection("contents", func() any { return g.forwarder.Fingerprints() })
	base.AddSection("servers", func() any { return g.forwarder.Servers() })
	return g
}

// Times of a planned stop.
const (
	// noticeTime is how long the platform may go on sending new connections.
	noticeTime = 3200 * time.Millisecond
	// closeIdleTime is when the callers' resting connections are closed, so that
	// their next requests go to another entry.
	closeIdleTime = 2200 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 400 * time.Millisecond
	stopLook   = 20 * time.Millisecond
)

// Run serves until stop is closed, then finishes what is open within the grace.
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
	if err := g.daemon.Serve(settings.Ready, http.HandlerFunc(g.answerReady)); err != nil {
		return err
	}
	plain, err := net.Listen("tcp", settings.Callers)
	if err != nil {
		return &fault.Unavailable{Target: settings.Callers, Operation: "listen", Cause: err}
	}
	callers := newCallerListener(plain)
	g.daemon.ServeOn(callers, http.HandlerFunc(g.take), callers.follow)
	go g.forwarder.Run(ctx)
	<-stop
	g.drain(callers)
	cancel()
	g.daemon.Close()
	g.log.Log(logging.ProcessStopped)
	return nil
}

// drain takes readiness back, goes on serving until the platform has surely
// noticed, and waits for what is open.
func (g *Gateway) drain(callers *callerListener) {
	began := time.Now()
	g.stopping.Store(began.UnixNano())
	g.log.Log(logging.ProcessStopping, zap.Int64("open", g.open.Load()))
	grace := g.daemon.Settings().Bounds.Grace - stopMargin
	for time.Since(began) < grace {
		if time.Since(began) > closeIdleTime {
			callers.closeResting()
		}
		if time.Since(began) > noticeTime && g.open.Load() == 0 {
			return
		}
		time.Sleep(stopLook)
	}
	g.log.Log(logging.ProcessDraining, zap.Int64("open", g.open.Load()))
}

// stoppingFor returns for how long the process has been stopping.
func (g *Gateway) stoppingFor() (time.Duration, bool) {
	at := g.stopping.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}

func (g *Gateway) ready() bool {
	view := g.daemon.Catalog.View()
	_, stopping := g.stoppingFor()
	return !stopping && view.Configuration != nil && len(view.Servers) > 0
}

func (g *Gateway) answerReady(writer http.ResponseWriter, request *http.Request) {
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
