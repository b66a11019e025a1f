// Package node implements what all pinevane processes have in common: the
// blackboard, the links to other processes, the publications, the administration
// endpoints, and the graceful shutdown.
package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/pauses"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/relay"
)

// The blackboard entries of every process.
var (
	// SnapshotKey holds the configuration in force.
	SnapshotKey = blackboard.NewKey[*configuration.Snapshot]("configuration.snapshot")
	// RejectedKey holds the most recently rejected configuration revision.
	RejectedKey = blackboard.NewKey[RejectedRevision]("configuration.rejected")
	// MembersKey holds the membership list.
	MembersKey = blackboard.NewKey[[]external.Member]("membership.members")
)

// RejectedRevision is a configuration revision that was rejected, with the reason.
type RejectedRevision struct {
	Version monotonic.Version `json:"version"`
	Reason  string            `json:"reason"`
}

// Options configures a process.
type Options struct {
	ID     string
	Role   external.Role
	Zone   string
	Region string
	// Listen is the IP address and port at which peers and callers reach the process.
	Listen string
	// AdminListen is the address that serves metrics and the state dump; empty means none.
	AdminListen string
	// ConfigurationAddress and MembershipAddress are the addresses of the platform's services.
	ConfigurationAddress string
	MembershipAddress    string
	Seeds                []string
	StartJitter          time.Duration
	// OnSnapshot, when set, is called with each configuration in force.
	OnSnapshot func(*configuration.Snapshot)
	// Profile serves pprof on the administration address.
	Profile bool
	// SettleTime is the minimum time that a stopping process keeps answering after its
	// readiness is off.
	SettleTime time.Duration
	// Grace is the time within which a stopping process ends, 0 for as long as its requests take. The
	// platform must not kill the process before.
	Grace time.Duration
}

// Node is the common part of a process.
type Node struct {
	options     Options
	incarnation uint64
	startedAt   time.Time

	Board    *blackboard.Board
	Hub      *peering.Hub
	Log      *logging.Logger
	Registry *prometheus.Registry
	Counters *peering.Counters
	Relay    *relay.Relay
	// Router serves the process's own address.
	Router chi.Router

	// parser is used only by applyPublication, whose calls do not overlap.
	parser    *configuration.Parser
	leaving   atomic.Bool
	ready     func() bool
	openCount func() int
	onLeave   []func()
	// onGraceOver are called when requests are still open shortly before the process ends.
	onGraceOver []func()
	server      *http.Server
	admin       *http.Server
	listener    net.Listener
	// answering are the connections of the process's own address that carry a request.
	answering *activeConnections
}

// New creates a node; Run starts it.
func New(options Options, log *logging.Logger) *Node {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	node := &Node{
		options:     options,
		incarnation: uint64(time.Now().UnixNano()),
		startedAt:   time.Now(),
		Board:       blackboard.New(time.Now),
		Log:         log,
		Registry:    registry,
		Counters:    peering.NewCounters(registry),
		Router:      chi.NewRouter(),
		parser:      configuration.NewParser(),
		ready:       func() bool { return true },
		openCount:   func() int { return 0 },
		answering:   newActiveConnections(),
	}
	hello := peering.Hello{ID: options.ID, Incarnation: node.incarnation, Role: string(options.Role), Zone: options.Zone}
	node.Hub = peering.NewHub(hello, log, node.Counters)
	node.Relay = relay.New(relay.Options{
		SelfID: options.ID,
		Zone:   options.Zone,
		Seeds:  options.Seeds,
		Publications: map[relay.Kind]external.Publication{
			relay.Configuration: node.publication(options.ConfigurationAddress, external.ConfigurationPath),
			relay.Membership:    node.publication(options.MembershipAddress, external.MembershipPath),
		},
		Hub:         node.Hub,
		Log:         log,
		OnChange:    node.applyPublication,
		StartJitter: options.StartJitter,
	})
	node.Router.Handle(peering.Path, node.Hub)
	node.mountHealth(node.Router)
	return node
}

func (n *Node) publication(address, path string) external.Publication {
	return external.NewHTTPPublication(address, path, func(answerBytes int) {
		n.Counters.CountRequest("platform", len(path), answerBytes)
	})
}

// ID returns the ID of the process.
func (n *Node) ID() string { return n.options.ID }

// Zone returns the zone of the process.
func (n *Node) Zone() string { return n.options.Zone }

// Region returns the region of the process.
func (n *Node) Region() string { return n.options.Region }

// Incarnation returns a number that changes with each restart of the process.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Snapshot returns the configuration in force.
func (n *Node) Snapshot() (*configuration.Snapshot, bool) {
	return blackboard.Read(n.Board, SnapshotKey)
}

// Leaving reports whether the graceful shutdown has begun.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Address returns the address on which the process listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// SetReady replaces the readiness check.
func (n *Node) SetReady(ready func() bool) { n.ready = ready }

// SetOpenCount replaces the function that counts open requests; a graceful shutdown
// waits until it returns zero.
func (n *Node) SetOpenCount(open func() int) { n.openCount = open }

// OnLeave registers a function that is called when the graceful shutdown begins.
func (n *Node) OnLeave(function func()) { n.onLeave = append(n.onLeave, function) }

// OnGraceOver registers a function that is called when requests are still open shortly before the
// process ends. It has them refused, and may be called repeatedly.
func (n *Node) OnGraceOver(function func()) { n.onGraceOver = append(n.onGraceOver, function) }

// applyPublication writes each new state of a publication to the blackboard.
func (n *Node) applyPublication(kind relay.Kind, version monotonic.Version, documents map[string][]byte) {
	if kind == relay.Membership {
		members := relay.DecodeMembers(documents)
		n.Log.Log(logging.MembershipChanged, zap.Stringer("version", version), zap.Int("members", len(members)))
		blackboard.Write(n.Board, MembersKey, members)
		return
	}
	snapshot, err := n.parser.Parse(version, documents)
	if err != nil {
		n.Log.Log(logging.SnapshotRejected, zap.Stringer("version", version), zap.Error(err))
		blackboard.Write(n.Board, RejectedKey, RejectedRevision{Version: version, Reason: err.Error()})
		return
	}
	n.Log.Log(logging.SnapshotAccepted, zap.Stringer("version", version))
	blackboard.Write(n.Board, SnapshotKey, snapshot)
	if n.options.OnSnapshot != nil {
		n.options.OnSnapshot(snapshot)
	}
}

func (n *Node) isReady() bool {
	_, configured := blackboard.Read(n.Board, SnapshotKey)
	return configured && !n.Leaving() && n.ready()
}

func (n *Node) mountHealth(router chi.Router) {
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.Get("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
}

// Dump is the state dump of a process.
type Dump struct {
	ID            string                     `json:"id"`
	Role          external.Role              `json:"role"`
	Zone          string                     `json:"zone"`
	Region        string                     `json:"region"`
	Incarnation   uint64                     `json:"incarnation"`
	UptimeSeconds float64                    `json:"uptime_seconds"`
	Ready         bool                       `json:"ready"`
	Leaving       bool                       `json:"leaving"`
	OpenWork      int                        `json:"open_work"`
	Relay         relay.Status               `json:"relay"`
	Traffic       map[string]peering.Traffic `json:"control_traffic"`
	Resources     Resources                  `json:"resources"`
	Blackboard    []blackboard.DumpedEntry   `json:"blackboard"`
}

// Dump returns the state of the process.
func (n *Node) Dump() Dump {
	return Dump{
		ID: n.options.ID, Role: n.options.Role, Zone: n.options.Zone, Region: n.options.Region,
		Incarnation: n.incarnation, UptimeSeconds: time.Since(n.startedAt).Seconds(),
		Ready: n.isReady(), Leaving: n.Leaving(), OpenWork: n.openCount(),
		Relay: n.Relay.Status(), Traffic: n.Counters.Snapshot(), Resources: ReadResources(),
		Blackboard: n.Board.Dump(),
	}
}

// DumpPath is the path of the state dump on the administration address.
const DumpPath = "/dump"

func (n *Node) adminRouter() chi.Router {
	router := chi.NewRouter()
	n.mountHealth(router)
	router.Handle("/metrics", promhttp.HandlerFor(n.Registry, promhttp.HandlerOpts{}))
	router.Get(DumpPath, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(n.Dump())
	})
	if n.options.Profile {
		router.HandleFunc("/debug/pprof/profile", pprof.Profile)
		router.HandleFunc("/debug/pprof/*", pprof.Index)
	}
	return router
}

// Limits of the HTTP servers. There is no write timeout, because streams are
// long-lived.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
)

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// endConnectionsOnStop has each answer of a stopping process tell that its connection ends, so that
// callers send their next requests elsewhere and few idle connections are left to close.
func (n *Node) endConnectionsOnStop(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if n.Leaving() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// Listen opens the process's addresses.
func (n *Node) Listen() error {
	listener, err := net.Listen("tcp", n.options.Listen)
	if err != nil {
		return &fault.Unavailable{Target: n.options.Listen, Operation: "listen", Cause: err}
	}
	n.listener = listener
	n.server = newServer(n.endConnectionsOnStop(n.Router))
	n.server.ConnState = n.answering.track
	go func() { _ = n.server.Serve(listener) }()
	if n.options.AdminListen == "" {
		return nil
	}
	adminListener, err := net.Listen("tcp", n.options.AdminListen)
	if err != nil {
		return &fault.Unavailable{Target: n.options.AdminListen, Operation: "listen", Cause: err}
	}
	n.admin = newServer(n.adminRouter())
	go func() { _ = n.admin.Serve(adminListener) }()
	return nil
}

// drainPollInterval is how often a process that drains checks its open requests, drainLogPeriod the
// period of its log events.
const (
	drainPollInterval = 50 * time.Millisecond
	drainLogPeriod    = 2 * time.Second
)

// Run serves until stop is closed and then shuts down gracefully: readiness goes
// off, open requests finish, and the process keeps answering until the settle time
// has passed. The controllers run until their context ends.
func (n *Node) Run(stop <-chan struct{}, controllers ...func(context.Context)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n.listener == nil {
		if err := n.Listen(); err != nil {
			return err
		}
	}
	n.Log.Log(logging.ProcessStarted, zap.String("listen", n.Address()), zap.Uint64("incarnation", n.incarnation))
	go n.Relay.Run(ctx)
	go pauses.Watch(ctx, n.Log)
	for _, controller := range controllers {
		go controller(ctx)
	}
	<-stop
	n.finishAnswers(n.leave())
	cancel()
	n.Close()
	n.Log.Log(logging.ProcessStopped)
	return nil
}

// refusalMargin is the last part of the grace period, in which the requests that are still open are
// refused: several times what it takes to confirm that a canceled attempt did not run. A grace period
// that is shorter than twice as long is halved.
const refusalMargin = time.Second

// gracePeriod is the time within which a stopping process ends.
type gracePeriod struct {
	began    time.Time
	duration time.Duration
}

// refusalDue reports whether the requests that are still open are to be refused.
func (g gracePeriod) refusalDue() bool {
	return g.duration > 0 && time.Since(g.began) >= g.duration-min(refusalMargin, g.duration/2)
}

func (g gracePeriod) over() bool { return g.duration > 0 && time.Since(g.began) >= g.duration }

// leave begins the graceful shutdown. It returns when no request is open and the settle time has
// passed, or when the grace period is over.
func (n *Node) leave() gracePeriod {
	grace := gracePeriod{began: time.Now(), duration: n.options.Grace}
	n.leaving.Store(true)
	n.Log.Log(logging.ProcessStopping, zap.Int("open", n.openCount()))
	for _, function := range n.onLeave {
		function()
	}
	loggedAt := grace.began
	for (n.openCount() > 0 || time.Since(grace.began) < n.options.SettleTime) && !grace.refusalDue() {
		time.Sleep(drainPollInterval)
		if time.Since(loggedAt) >= drainLogPeriod {
			loggedAt = time.Now()
			n.Log.Log(logging.ProcessDraining, zap.Int("open", n.openCount()))
		}
	}
	if n.openCount() > 0 {
		n.refuseOpen()
	}
	for n.openCount() > 0 && !grace.over() {
		time.Sleep(finishPollInterval)
	}
	return grace
}

// refuseOpen has the requests that are still open refused. It may be called repeatedly.
func (n *Node) refuseOpen() {
	n.Log.Log(logging.ProcessDraining, zap.Int("open", n.openCount()))
	for _, function := range n.onGraceOver {
		function()
	}
}

// maxFinishTime bounds the wait for answers that are still being sent when no request is open any more:
// a caller that reads slowly, or a peer that fetches a chunk of weights.
const maxFinishTime = 5 * time.Second

// finishPollInterval is how often finishAnswers checks the connections.
const finishPollInterval = 5 * time.Millisecond

// finishAnswers accepts no more connections and waits, within the grace period, until every request that
// was read has its whole answer. Requests that arrived last and take too long are refused. The links
// stay up meanwhile.
func (n *Node) finishAnswers(grace gracePeriod) {
	_ = n.listener.Close()
	n.server.SetKeepAlivesEnabled(false)
	finish := gracePeriod{began: time.Now(), duration: maxFinishTime}
	for refused := false; n.answering.count() > 0; time.Sleep(finishPollInterval) {
		if !refused && finish.refusalDue() {
			refused = true
			n.refuseOpen()
		}
		if finish.over() || grace.over() {
			n.Log.Log(logging.ProcessDraining, zap.Int("connections", n.answering.count()))
			return
		}
	}
}

// Close closes the servers and links immediately.
func (n *Node) Close() {
	n.Hub.Close()
	if n.server != nil {
		_ = n.server.Close()
	}
	if n.admin != nil {
		_ = n.admin.Close()
	}
	n.Board.Close()
}
