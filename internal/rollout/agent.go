// Package rollout implements the agent process on the users' machines. The agent fetches new
// weights for the model server of its machine, passes them on to other agents, orders the server to
// switch versions when its turn comes, and reports the server's status to the entries.
package rollout

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
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

// Options holds the dependencies of an Agent.
type Options struct {
	Daemon *daemon.Daemon
	Server fleet.ModelServer
	Origin fleet.WeightOrigin
}

// Agent distributes weights to, controls and reports on the model server of one machine.
type Agent struct {
	daemon *daemon.Daemon
	log    *logging.Logger
	server fleet.ModelServer
	origin fleet.WeightOrigin
	self   dissemination.MachineID
	peers  *peerClient
	// metrics is also updated by the transfers.
	metrics *metrics

	uploads *uploadQueue
	wakeup  chan struct{}
	// lastEngine is the engine that was last published for this machine's service.
	lastEngine atomic.Pointer[fleet.Engine]
	// staging is read-locked while a piece is staged and write-locked while an order is sent, so
	// that the server loads exactly the pieces that were verified.
	staging sync.RWMutex

	mutex sync.Mutex
	// current fetches the newest version. fallback holds or fetches an older version that may still
	// begin requests. older continues, in memory, the transfer of a version that was incomplete
	// when a newer one was announced.
	current  *transfer
	fallback *transfer
	older    *transfer
	// previous is one layer of the version that was staged before the present one, or nil.
	previous *previousLayer
	// suspect are the weights in the server that may be corrupt, or nil.
	suspect *suspectWeights
	// rejectedVersion is the version whose manifest was rejected last.
	rejectedVersion uint64
	report          fleet.Report
	// reportAt is when the server last answered a report request. reachable is cleared after
	// maxFailedReports failures in a row.
	reportAt      time.Time
	reachable     bool
	failedReports int
	// roundTrips measures round-trip times to the entries; its times are relative to started.
	roundTrips *liveness.RoundTrips
	started    time.Time
	// sinceBoot is the clock that verifications are timed by.
	sinceBoot func() time.Duration
	switchAt  time.Time
	// switchAnnouncement is the announcement to the entries of an imminent switch.
	switchAnnouncement turnover.Announcement
	ordering           bool
	// unretiredLogged is the served version for which VersionNotReplaced was last logged.
	unretiredLogged uint64
	// announcedRequests are the requests that entries have announced as sent.
	announcedRequests balance.Announcements
	// early keeps offers for a version that is not known yet.
	early earlyOffers
	// cold tracks how long the server stays cold and how many requests were announced to it.
	cold coldState
}

// New returns an agent that does not listen yet; see Run.
func New(options Options) *Agent {
	settings := options.Daemon.Settings()
	a := &Agent{
		daemon: options.Daemon, log: options.Daemon.Log, server: options.Server, origin: options.Origin,
		self: dissemination.MachineID(settings.IP), metrics: newMetrics(options.Daemon.Registry), peers: newPeerClient(settings.InternalPort, options.Daemon.RecordSilentConnection),
		uploads: newUploadQueue(uplinkFraction * settings.LinkBytesPerSecond), wakeup: make(chan struct{}, 1),
		roundTrips: liveness.NewRoundTrips(probeInterval), started: time.Now(), sinceBoot: sinceBoot,
		cold: newColdState(),
	}
	options.Daemon.ObserveSilence(options.Server)
	options.Daemon.ObserveSilence(options.Origin)
	options.Daemon.OnSilence(a.peers.suspect)
	if listener, listens := options.Origin.(fleet.SilenceListener); listens {
		options.Daemon.OnSilence(listener.SuspectSilence)
	}
	options.Daemon.Hub.Handle(fleet.TopicStatusEcho, a.handleEcho)
	options.Daemon.Hub.OnOpen(a.sendInitialStatus)
	a.mount(options.Daemon.Router)
	options.Daemon.Catalog.OnChange(func(*catalog.View) { a.applyView() })
	options.Daemon.AddSection("rollout", func() any { return a.status(time.Now()) })
	return a
}

// uplinkFraction is the fraction of the machine's link that carries pieces. The rest is for the
// server's own answers, which must not queue behind pieces. With 0.92 at full traffic the answers
// lack bandwidth while a version is distributed: 0.46 of the possible credit is earned in those
// seconds instead of 0.48 to 0.51 (means of three seeds), and the version is staged no sooner
// because the origin's link is the bottleneck. With 0.65 the credit is 0.57, but it drops by as
// much while servers switch.
const uplinkFraction = 0.8

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
	work.Go(func() { a.reconcileLoop(ctx) })
	<-stop
	a.log.Log(logging.ProcessStopping)
	a.finishOrder(cancel)
	work.Wait()
	a.daemon.Close()
	a.log.Log(logging.ProcessStopped)
	return nil
}

func itoa(number int) string { return strconv.Itoa(number) }

// wake triggers a run of reconcile.
func (a *Agent) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// engine returns the engine of this machine's service and the name of its model. They stay as they
// were when the service is removed from the configuration: its server goes on with the requests it
// has, and a status report without its version would keep their further attempts away.
func (a *Agent) engine() (*fleet.Engine, string) {
	view := a.daemon.Catalog.View()
	if view.Configuration == nil {
		return nil, ""
	}
	service, published := view.Configuration.Services[a.daemon.Settings().Service]
	engine := service.Engine
	if published {
		a.lastEngine.Store(engine)
	} else {
		engine = a.lastEngine.Load()
	}
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

// members lists the machines of this machine's service, identified by IP address.
func (a *Agent) members() []turnover.Member {
	settings := a.daemon.Settings()
	self := turnover.Member{ID: settings.IP, Zone: settings.Zone}
	return append([]turnover.Member{self}, a.otherMembers(anyServer)...)
}

func anyServer(fleet.Server) bool { return true }

// otherMembers lists the other machines of the service whose servers are not draining and satisfy
// wanted.
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

// inventoryPeers picks a few machines to query for their inventories: of the same zone, or of other
// zones if the zone has no other machine.
func (a *Agent) inventoryPeers() []dissemination.MachineID {
	near, far := a.splitByZone(a.otherMembers(anyServer))
	if len(near) == 0 {
		near = far
	}
	return machineIDs(placement.Top("inventory/"+string(a.self), near, inventoriesPerZone))
}

// splitByZone splits machines into those of the agent's own zone and the others.
func (a *Agent) splitByZone(members []turnover.Member) (near, far []string) {
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

// applyView updates the cold state and the transfer plans from a new catalog view.
func (a *Agent) applyView() {
	a.mutex.Lock()
	current, older := a.current, a.older
	a.cold.update(a.daemon.Catalog.View().Servers[a.daemon.Settings().Service], a.daemon.Settings().ServerAddress)
	a.mutex.Unlock()
	for _, t := range []*transfer{current, older} {
		if t != nil {
			t.updatePlan()
		}
	}
	a.wake()
}

func (a *Agent) findTransfer(model string, version uint64) *transfer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, t := range []*transfer{a.current, a.older, a.fallback} {
		if t != nil && t.model == model && (version == 0 || t.version() == version) {
			return t
		}
	}
	return nil
}

func (a *Agent) applyOffer(incoming offer) dissemination.QueryReply {
	if found := a.findTransfer(incoming.Model, incoming.Version); found != nil {
		return found.applyOffer(incoming)
	}
	if incoming.Query {
		return dissemination.QueryReply{Missing: incoming.Pieces}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.early.add(incoming)
	return dissemination.QueryReply{}
}

// rejectManifest drops a transfer whose pieces from the origin do not match its manifest.
func (a *Agent) rejectManifest(t *transfer) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if t == a.current || t == a.older {
		a.log.Log(logging.ManifestMismatch, zap.String("model", t.model), zap.Uint64("version", t.version()))
	}
	switch t {
	case a.current:
		t.cancel()
		a.current, a.rejectedVersion = nil, t.version()
	case a.older:
		a.dropOlder()
	}
	a.wake()
}

func (a *Agent) serverReachable() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.reachable
}
