// Package rollout is the agent process on the users' machines: it brings new
// weights to its machine's model server, hands them on to other agents, orders
// the server to change over in its turn, and tells entries how the server does.
package rollout

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/coordination/liveness"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/coordination/turnover"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/daemon"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/loadquery"
	"pinevane.example/pinevane/internal/logging"
)

// Options wires an Agent.
type Options struct {
	Daemon *daemon.Daemon
	Server fleet.ModelServer
	Origin fleet.WeightOrigin
}

// Agent is one agent process.
type Agent struct {
	daemon *daemon.Daemon
	log    *logging.Logger
	server fleet.ModelServer
	origin fleet.WeightOrigin
	self   dissemination.MachineID
	peers  *peerClient
	// metrics are counted by the transfers too.
	metrics *metrics

	uploads *uploads
	woken   chan struct{}
	// staging is held for reading while a piece is laid down, and for writing while
	// an order is given, so that the server takes exactly what was verified.
	staging sync.RWMutex

	mutex sync.Mutex
	// current brings the newest version; fallback holds, or brings, an older one that may
	// still begin requests; older brings one, in memory, that was on its way when a newer one was
	// named.
	current  *transfer
	fallback *transfer
	older    *transfer
	// ending is kept of the version that lay at the server before the present one; nil for none.
	ending *endingLayer
	// doubted is the version whose manifest was doubted last.
	doubted uint64
	report  fleet.Report
	// reportAt is when the server last answered; reachable is whether it did at the
	// last try.
	reportAt  time.Time
	reachable bool
	misses    int
	// roundTrips measures the way to the entries, since started.
	roundTrips *liveness.RoundTrips
	started    time.Time
	switchAt   time.Time
	// announcement is the notice to entries of the change-over that is due.
	announcement turnover.Announcement
	ordering     bool
	// unguarded is the version served of which was last logged that nothing of a newer one is
	// here to end it at its bound.
	unguarded uint64
	// announced are the requests that entries have told to be on their way.
	announced balance.Announcements
	// cold is what entries are told so that a cold server is not overrun.
	cold coldWord
}

// New builds an agent that does not listen yet.
func New(options Options) *Agent {
	settings := options.Daemon.Settings()
	a := &Agent{
		daemon: options.Daemon, log: options.Daemon.Log, server: options.Server, origin: options.Origin,
		self: dissemination.MachineID(settings.IP), metrics: newMetrics(options.Daemon.Registry), peers: newPeerClient(settings.InternalPort, options.Daemon.RecordSilentConnection),
		uploads: newUploads(uplinkShare * settings.LinkBytesPerSecond), woken: make(chan struct{}, 1),
		roundTrips: liveness.NewRoundTrips(probePeriod), started: time.Now(),
		cold: newColdWord(),
	}
	options.Daemon.ObserveSilence(options.Server)
	options.Daemon.ObserveSilence(options.Origin)
	options.Daemon.Hub.Handle(fleet.TopicStatusEcho, a.handleEcho)
	options.Daemon.Hub.OnOpen(a.greet)
	a.mount(options.Daemon.Router)
	options.Daemon.Catalog.OnChange(func(*catalog.View) { a.fleetChanged() })
	options.Daemon.AddSection("rollout", func() any { return a.status(time.Now()) })
	return a
}

// uplinkShare of the machine's link carries pieces; the server's own answers, which must not
// wait behind them, have the rest. At full traffic a share of 0.92 leaves the answers less than
// they need while a version moves: 0.46 of the credit of these seconds is earned instead of 0.48
// to 0.51, in the means of three seeds, and the version is staged no sooner, because the origin's
// link decides. A share of 0.65 gives 0.57, and as much less while servers change over.
const uplinkShare = 0.8

// Run serves until stop is closed.
func (a *Agent) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := a.daemon.Start(ctx); err != nil {
		return err
	}
	settings := a.daemon.Settings()
	responder, err := loadquery.NewResponder(net.JoinHostPort(settings.IP, itoa(settings.InternalPort)), a, a.log)
	if err != nil {
		return err
	}
	defer responder.Close()
	go responder.Run()
	var work sync.WaitGroup
	work.Go(func() { a.watchServer(ctx) })
	work.Go(func() { a.keep(ctx) })
	<-stop
	a.log.Log(logging.ProcessStopping)
	// An order that is being given is waited for, so that its fate is known.
	a.staging.Lock()
	cancel()
	a.staging.Unlock()
	work.Wait()
	a.daemon.Close()
	a.log.Log(logging.ProcessStopped)
	return nil
}

func itoa(number int) string { return strconv.Itoa(number) }

// wake asks the keeper to look again.
func (a *Agent) wake() {
	select {
	case a.woken <- struct{}{}:
	default:
	}
}

// engine returns the engine of this machine's service, and its model's name.
func (a *Agent) engine() (*fleet.Engine, string) {
	view := a.daemon.Catalog.View()
	if view.Configuration == nil {
		return nil, ""
	}
	engine := view.Configuration.Services[a.daemon.Settings().Service].Engine
	if engine == nil || len(engine.Models) == 0 {
		return nil, ""
	}
	return engine, engine.Models[0]
}

func (a *Agent) originAddress() (string, bool) {
	view := a.daemon.Catalog.View()
	if view.Configuration == nil {
		return "", false
	}
	origin, known := view.Configuration.Origin()
	return origin.OriginAddress, known
}

// members lists the machines of this machine's service, by IP address.
func (a *Agent) members() []turnover.Member {
	settings := a.daemon.Settings()
	self := turnover.Member{ID: settings.IP, Zone: settings.Zone}
	return append([]turnover.Member{self}, a.otherMembers(anyServer)...)
}

func anyServer(fleet.Server) bool { return true }

// otherMembers lists the other machines of the service whose servers stay and fulfil a
// condition.
func (a *Agent) otherMembers(wanted func(fleet.Server) bool) []turnover.Member {
	settings := a.daemon.Settings()
	var members []turnover.Member
	for _, server := range a.daemon.Catalog.View().Servers[settings.Service] {
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil || server.Draining || host == settings.IP || !wanted(server) {
			continue
		}
		members = append(members, turnover.Member{ID: host, Zone: server.Zone})
	}
	return members
}

func (a *Agent) roster() *dissemination.Roster {
	settings := a.daemon.Settings()
	var machines []dissemination.Machine
	for _, member := range a.members() {
		machines = append(machines, dissemination.Machine{
			ID: dissemination.MachineID(member.ID), Zone: member.Zone, Region: settings.Regions[member.Zone],
		})
	}
	return dissemination.NewRoster(machines)
}

// inventoryPeers picks a few machines of the own zone, and of the others if there
// is none, to ask what they hold.
func (a *Agent) inventoryPeers() []dissemination.MachineID {
	near, far := a.nearAndFar(a.otherMembers(anyServer))
	if len(near) == 0 {
		near = far
	}
	return machineIDs(placement.Top("inventory/"+string(a.self), near, inventoriesPerZone))
}

// nearAndFar parts machines into those of the own zone and the others.
func (a *Agent) nearAndFar(members []turnover.Member) (near, far []string) {
	zone := a.daemon.Settings().Zone
	for _, member := range members {
		if member.Zone == zone {
			near = append(near, member.ID)
		} else {
			far = append(far, member.ID)
		}
	}
	return near, far
}

func machineIDs(names []string) []dissemination.MachineID {
	ids := make([]dissemination.MachineID, 0, len(names))
	for _, name := range names {
		ids = append(ids, dissemination.MachineID(name))
	}
	return ids
}

// fleetChanged follows a new view.
func (a *Agent) fleetChanged() {
	a.mutex.Lock()
	current, older := a.current, a.older
	a.cold.follow(a.daemon.Catalog.View().Servers[a.daemon.Settings().Service], a.daemon.Settings().ServerAddress)
	a.mutex.Unlock()
	for _, one := range []*transfer{current, older} {
		if one != nil {
			one.rearrange()
		}
	}
	a.wake()
}

func (a *Agent) transferOf(model string, version uint64) *transfer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, one := range []*transfer{a.current, a.older, a.fallback} {
		if one != nil && one.model == model && (version == 0 || one.version() == version) {
			return one
		}
	}
	return nil
}

func (a *Agent) takeOffer(incoming offer) dissemination.QueryReply {
	found := a.transferOf(incoming.Model, incoming.Version)
	if found == nil {
		return dissemination.QueryReply{Missing: incoming.Pieces}
	}
	return found.take(incoming)
}

// doubt gives up a manifest whose pieces the origin itself does not match.
func (a *Agent) doubt(t *transfer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if t == a.current || t == a.older {
		a.log.Log(logging.ManifestDoubted, zap.String("model", t.model), zap.Uint64("version", t.version()))
	}
	switch t {
	case a.current:
		t.cancel()
		a.current, a.doubted = nil, t.version()
	case a.older:
		a.dropOlder()
	}
	a.wake()
}

func (a *Agent) serverSound() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.reachable
}
