// Package daemon implements what the processes on the users' machines have in
// common: settings and their reload, links to other processes, the catalog, and
// the administration endpoints. A process keeps no state across restarts.
package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/pauses"
	"pinevane.example/pinevane/internal/peering"
)

// MetricsPort is the port on which each process serves its metrics and state dump.
const MetricsPort = 9464

// Paths of the administration endpoints.
const (
	MetricsPath = "/metrics"
	DumpPath    = "/dump"
)

// Options configures a process.
type Options struct {
	Settings fleet.Settings
	// Reload reads the settings again; it is nil if they can't change.
	Reload  func() (fleet.Settings, error)
	Role    string
	Store   fleet.Store
	Decoder fleet.Decoder
	Log     *logging.Logger
	// AdminListen, when set, replaces the machine's address and MetricsPort.
	AdminListen string
}

// Daemon is the common part of a process.
type Daemon struct {
	options   Options
	settings  atomic.Pointer[fleet.Settings]
	startedAt time.Time

	Log               *logging.Logger
	Registry          *prometheus.Registry
	Hub               *peering.Hub
	Catalog           *catalog.Catalog
	silentConnections *prometheus.CounterVec
	reloads           *prometheus.CounterVec
	// Router serves the internal port: links, and the handlers that a role adds.
	Router chi.Router

	mutex    sync.Mutex
	servers  []*http.Server
	sections map[string]func() any
	// actions maps paths on the administration address to operator actions.
	actions map[string]http.HandlerFunc
	// onSettings are called with reloaded settings.
	onSettings []func(fleet.Settings)
	// onSilence are called when a connection has gone silent.
	onSilence []func()
}

// New creates a daemon that does not listen yet.
func New(options Options) *Daemon {
	d := &Daemon{
		options: options, startedAt: time.Now(), Log: options.Log, Registry: prometheus.NewRegistry(),
		Router: chi.NewRouter(), sections: map[string]func() any{}, actions: map[string]http.HandlerFunc{},
	}
	d.silentConnections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_silent_connections_total", Help: "Open connections that had gone silent while a fresh one worked, by what they led to."}, []string{"target"})
	d.reloads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_settings_reloads_total", Help: "Times the settings were read again while the process ran, by whether they are in force."}, []string{"result"})
	d.Registry.MustRegister(d.silentConnections, d.reloads)
	d.ObserveSilence(options.Store)
	settings := options.Settings
	d.settings.Store(&settings)
	hello := peering.Hello{ID: settings.IP, Incarnation: uint64(d.startedAt.UnixNano()), Role: options.Role, Zone: settings.Zone, Protocol: catalog.ProtocolVersion}
	d.Hub = peering.NewHub(hello, options.Log, peering.NewCounters(d.Registry))
	d.Catalog = catalog.New(catalog.Options{
		Self: settings.IP, Role: options.Role, Zone: settings.Zone, InternalPort: settings.InternalPort, Seeds: settings.Seeds, IsSeed: settings.IsSeed,
		Store: options.Store, Decoder: options.Decoder, Hub: d.Hub, Log: options.Log, OnSilent: d.RecordSilentConnection,
		VersionApply: settings.Bounds.VersionApply, Contact: settings.Bounds.Contact, Drain: settings.Bounds.Drain,
		Zones: settings.Regions, LinkBytesPerSecond: settings.LinkBytesPerSecond,
	})
	d.OnSettings(d.Catalog.SetSettings)
	d.Router.Handle(peering.Path, d.Hub)
	d.AddSection("catalog", func() any { return d.Catalog.Status() })
	d.registerCatalogMetrics()
	return d
}

// registerCatalogMetrics registers the metrics of the catalog and of calls to the store.
func (d *Daemon) registerCatalogMetrics() {
	gauge := func(name, help string, value func(catalog.Status) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(d.Catalog.Status()) })
	}
	d.Registry.MustRegister(
		gauge("pinevane_configuration_age_seconds", "Time since the configuration in force came in force.",
			func(s catalog.Status) float64 { return s.ConfigurationAge }),
		gauge("pinevane_catalog_age_seconds", "Time since the copy of the store was last known to be current.",
			func(s catalog.Status) float64 { return s.FreshAge }),
		gauge("pinevane_evacuated_zones", "Zones whose servers are sent nothing new, because the operator has evacuated them.",
			func(s catalog.Status) float64 { return float64(len(s.EvacuatedZones)) }),
		gauge("pinevane_store_epoch", "The store's epoch, which rises when it comes back from a copy of itself; 0 if unknown.",
			func(s catalog.Status) float64 { return float64(s.StoreEpoch) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_older_records_total", Help: "Records read from the store that were older than the ones held, and ignored."},
			func() float64 { return float64(d.Catalog.OlderRecords()) }),
		newFaultyRecordCollector(d.Catalog),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_store_calls_total", Help: "Calls to the platform's store."},
			func() float64 { return float64(d.Catalog.StoreCalls()) }),
	)
}

// ObserveSilence logs and counts the silent connections of a client that reports them.
func (d *Daemon) ObserveSilence(client any) {
	if reporter, ok := client.(fleet.SilenceReporter); ok {
		reporter.OnSilent(d.RecordSilentConnection)
	}
}

// OnSilence registers a function that is called when a connection of this process has gone silent: the
// same fault may have struck others that are as old. It must not block.
func (d *Daemon) OnSilence(function func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.onSilence = append(d.onSilence, function)
}

// RecordSilentConnection logs and counts a connection that has gone silent, and calls the functions
// registered for that. Connections to other machines are counted under one label.
func (d *Daemon) RecordSilentConnection(target string, silent time.Duration) {
	kind := target
	if net.ParseIP(target) != nil {
		kind = "peer"
	}
	d.silentConnections.WithLabelValues(kind).Inc()
	d.Log.Log(logging.ConnectionSilent, zap.String("target", target), zap.Duration("silent", silent))
	d.mutex.Lock()
	functions := slices.Clone(d.onSilence)
	d.mutex.Unlock()
	for _, function := range functions {
		function()
	}
}

// Settings returns the settings in force.
func (d *Daemon) Settings() fleet.Settings { return *d.settings.Load() }

// AddSection adds a section to the state dump.
func (d *Daemon) AddSection(name string, describe func() any) { d.sections[name] = describe }

// AddAction adds an operator action, which is triggered by a POST to a path on the
// administration address. It must be called before Start.
func (d *Daemon) AddAction(path string, handler http.HandlerFunc) { d.actions[path] = handler }

// Limits of the HTTP servers of a process. There is no write timeout, because
// streams are long-lived.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Serve listens on an address and serves a handler there until Close.
func (d *Daemon) Serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &fault.Unavailable{Target: address, Operation: "listen", Cause: err}
	}
	d.ServeOn(listener, handler, nil)
	return nil
}

// ServeOn serves a handler on a listener until Close. If onState is not nil, it is
// called on each change of a connection's state.
func (d *Daemon) ServeOn(listener net.Listener, handler http.Handler, onState func(net.Conn, http.ConnState)) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: d.Log.Standard(logging.HTTPServerError), ConnState: onState,
	}
	d.mutex.Lock()
	d.servers = append(d.servers, server)
	d.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// Start opens the internal and administration addresses and runs the catalog.
func (d *Daemon) Start(ctx context.Context) error {
	settings := d.Settings()
	if err := d.Serve(net.JoinHostPort(settings.IP, strconv.Itoa(settings.InternalPort)), d.Router); err != nil {
		return err
	}
	admin := d.options.AdminListen
	if admin == "" {
		admin = net.JoinHostPort(settings.IP, strconv.Itoa(MetricsPort))
	}
	addresses := []string{admin}
	if settings.Control != "" {
		addresses = append(addresses, settings.Control)
	}
	for _, address := range addresses {
		if err := d.Serve(address, d.adminRouter()); err != nil {
			d.Log.Log(logging.ListenFailed, zap.String("address", address), zap.Error(err))
		}
	}
	d.Log.Log(logging.ProcessStarted, zap.String("role", d.options.Role), zap.String("ip", settings.IP), zap.String("zone", settings.Zone),
		zap.Int("seeds", len(settings.Seeds)))
	go d.Catalog.Run(ctx)
	go pauses.Watch(ctx, d.Log)
	return nil
}

// Close closes all servers and links immediately.
func (d *Daemon) Close() {
	d.Hub.Close()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, server := range d.servers {
		_ = server.Close()
	}
}

func (d *Daemon) adminRouter() chi.Router {
	router := chi.NewRouter()
	router.Handle(MetricsPath, promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	router.Get(DumpPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(d.Dump())
	})
	for path, handler := range d.actions {
		router.Post(path, handler)
	}
	return router
}

// Dump returns the state of the process by section.
func (d *Daemon) Dump() map[string]any {
	settings := d.Settings()
	dump := map[string]any{
		"name": settings.Name, "role": d.options.Role, "zone": settings.Zone, "ip": settings.IP,
		"uptime_seconds": time.Since(d.startedAt).Seconds(),
	}
	for name, describe := range d.sections {
		dump[name] = describe()
	}
	return dump
}

// Results of a settings reload, as label values of the metric.
const (
	reloadInForce = "in force"
	reloadRefused = "refused"
)

// OnSettings registers a function that is called with reloaded settings once they are
// in force. The calls do not overlap.
func (d *Daemon) OnSettings(function func(fleet.Settings)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.onSettings = append(d.onSettings, function)
}

// Reload reads the settings again. Invalid settings change nothing. Fields that can't
// change while the process runs keep their values and are logged; the others are in force
// when Reload returns.
func (d *Daemon) Reload() {
	if d.options.Reload == nil {
		return
	}
	fresh, err := d.options.Reload()
	if err != nil {
		d.reloads.WithLabelValues(reloadRefused).Inc()
		d.Log.Log(logging.SettingsRejected, zap.Error(err))
		return
	}
	before := d.Settings()
	restart := before.RestartNeeded(fresh)
	if len(restart) > 0 {
		d.Log.Log(logging.RestartRequired, zap.Strings("fields", restart))
	}
	fresh = before.MergeReloadable(fresh)
	d.settings.Store(&fresh)
	d.mutex.Lock()
	functions := slices.Clone(d.onSettings)
	d.mutex.Unlock()
	for _, function := range functions {
		function(fresh)
	}
	d.reloads.WithLabelValues(reloadInForce).Inc()
	d.Log.Log(logging.SettingsReloaded, zap.Strings("zones_changed", fleet.ZonesChanged(before.Regions, fresh.Regions)),
		zap.Bool("bounds_changed", before.Bounds != fresh.Bounds))
}
