package catalog

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/coordination/overlay"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Roles of the processes that share a catalog.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Options configures a Catalog.
type Options struct {
	// Self is this machine's IP address; Role and Zone describe this process.
	Self string
	Role string
	Zone string
	// InternalPort is the port on which every process of the fleet accepts links.
	InternalPort int
	// Seeds are the IP addresses of the entries to contact first.
	Seeds []string
	// IsSeed is set when this process is a seed of others.
	IsSeed  bool
	Store   fleet.Store
	Decoder fleet.Decoder
	Hub     *peering.Hub
	Log     *logging.Logger
	// OnSilent is called with the IP address of the peer when a link has gone silent while a new
	// link to the same peer works.
	OnSilent func(target string, silent time.Duration)
	// VersionApply is the time after which an announced version is in force. Contact is the time
	// after its start from which a process is bound by versions announced before, see assumedAge.
	VersionApply time.Duration
	Contact      time.Duration
	// Drain is how long a server that has left may still be sent requests.
	Drain time.Duration
	// Zones maps the fleet's zones to their regions.
	Zones map[string]string
	// LinkBytesPerSecond is the bandwidth of the machine's link, 0 if unknown.
	LinkBytesPerSecond float64
}

// Catalog is this process's copy of the published records. It is safe for concurrent use.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mutex  sync.Mutex
	mirror *mirror.Mirror
	// changes orders the records to be sent to peers.
	changes *mirror.ChangeLog
	// urgentSequence is the sequence of the last change that peers are sent at once.
	urgentSequence uint64
	// watchPacer shortens the watch interval when a server in use turns cold.
	watchPacer watchPacer
	// heads are the large records held, without their values, which peers request; pulls are the
	// last requests of this process for them.
	heads map[string]recordHead
	// servicesHead is the configuration whose services this agent was sent by entries.
	servicesHead recordHead
	pulls        map[string]pendingPull
	packs        packCache
	// lastBundle is the bundle sent last.
	lastBundle bundle
	// servers are the listed servers by record key; serverKeys are the keys in order.
	servers    map[string]fleet.Server
	serverKeys []string
	faulty     faultyRecords
	// epochs tracks the store's epoch; restore is the state of the last restore of the store.
	epochs  mirror.EpochTracker
	restore restoreState
	// olderRecords counts the records from the store that were older than the ones held.
	olderRecords atomic.Uint64
	// formerIncarnations are the start times, by record key, of records that were rejected as late
	// ones of a former incarnation.
	formerIncarnations map[string]incarnation.StartTime
	// versionAges are the ages of the announced versions by record key.
	versionAges map[string]versionAge
	// freshAt is when the copy was last known to be current; regainedAt is when it became current
	// again after an outage of the store.
	freshAt    time.Time
	regainedAt time.Time
	// watermark is the moment up to which the copy certainly holds every change of the store. It
	// trails freshAt, which counts an answer of the store from its arrival.
	watermark watermark
	// storeOutUntil is the latest known moment at which the store was out for the whole fleet, see
	// recordRefused.
	storeOutUntil time.Time
	// freshSequence counts the freshness updates that peers are sent at once; storeFreshSequence is
	// its value at the last answer of the store to this process.
	freshSequence      uint64
	storeFreshSequence uint64
	// complete is the version of the store up to which every change was received; its revision is 0
	// if that is not known in the present epoch. lastUpdateAt is when the last update of a peer
	// arrived.
	complete     monotonic.Version
	lastUpdateAt time.Time
	started      time.Time
	// agentReadDelay spreads agents that start to read the store themselves.
	agentReadDelay time.Duration
	// expired holds servers that expired from the list around an outage of the store, by ID.
	expired map[string]expiredServer
	// storeSuspectedAt is when the store's connections were last suspected to be silent.
	storeSuspectedAt time.Time
	// storeCalls counts the calls to the store.
	storeCalls atomic.Int64

	statuses       map[string]heldStatus
	statusSequence uint64
	onStatus       StatusHandler
	// flushScheduled is set when a status flush is scheduled, which flush signals; flushAll is set
	// when it goes to all entries. flushedAt is the time of the last one.
	flushScheduled bool
	flushAll       bool
	flushedAt      time.Time
	flush          chan struct{}

	health     healthReports
	quarantine quarantineReports
	notices    serverNotices
	accounts   retryAccounts

	// overlay decides which entries and agents this entry links to; links holds the state of those
	// links and of accepted ones, by IP address.
	overlay *overlay.Overlay
	links   map[string]*peerLink
	pauses  pauseDetector
	// backupOf are the entries that receive this agent's reports from another entry as well.
	backupOf    map[string]bool
	callbacks   []func(*View)
	notifyMutex sync.Mutex
	wake        chan struct{}
}

// New returns an empty catalog and registers its handlers with the hub.
func New(options Options) *Catalog {
	if options.OnSilent == nil {
		options.OnSilent = func(string, time.Duration) {}
	}
	c := &Catalog{
		options: options, started: time.Now(), agentReadDelay: rand.N(agentReadJitter), changes: mirror.NewChangeLog(), heads: map[string]recordHead{}, pulls: map[string]pendingPull{},
		servers: map[string]fleet.Server{}, formerIncarnations: map[string]incarnation.StartTime{}, faulty: newFaultyRecords(), versionAges: map[string]versionAge{}, expired: map[string]expiredServer{},
		statuses: map[string]heldStatus{}, links: map[string]*peerLink{}, backupOf: map[string]bool{}, wake: make(chan struct{}, 1), flush: make(chan struct{}, 1),
		overlay: overlay.New(overlay.Options{
			Self: options.Self, Zone: options.Zone, Relays: relaysPerZone, Gateways: gatewaysPerZone, Feeders: feedersPerAgent,
			AliveTimeout: entryTimeout, MemberTTL: entryTTL, Capacity: capacityClass(options.LinkBytesPerSecond),
		}),
	}
	c.mirror = mirror.New(c.isDurable)
	c.health, c.quarantine, c.notices, c.accounts = newHealthReports(c.started), newQuarantineReports(), newServerNotices(c.started), newRetryAccounts(c.started)
	c.view.Store(&View{Servers: map[string][]fleet.Server{}, Versions: map[string][]VersionAnnouncement{}})
	options.Hub.Handle(topicUpdate, c.handleUpdate)
	options.Hub.Handle(topicPull, c.handlePull)
	options.Hub.Handle(fleet.TopicMachineStatus, c.handleStatus)
	options.Hub.Handle(topicStatuses, c.handleStatuses)
	options.Hub.Handle(topicHealth, c.handleHealth)
	options.Hub.Handle(topicQuarantine, c.handleQuarantine)
	options.Hub.Handle(topicServerNotices, c.handleServerNotices)
	options.Hub.Handle(topicRetryAccounts, c.handleRetryAccounts)
	options.Hub.OnOpen(c.linkOpened)
	options.Hub.OnOpen(c.sendHeldQuarantine)
	options.Hub.OnOpen(c.sendHeldAccounts)
	return c
}

// View returns the current view.
func (c *Catalog) View() *View { return c.view.Load() }

// OnChange registers a function that is called with each new view, in order. It must be registered
// before Run.
func (c *Catalog) OnChange(function func(*View)) { c.callbacks = append(c.callbacks, function) }

// StoreCalls returns the number of calls to the store.
func (c *Catalog) StoreCalls() int64 { return c.storeCalls.Load() }

// FreshAt returns when the copy was last known to be current.
func (c *Catalog) FreshAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.freshAt
}

// Run reads the store and exchanges records with peers until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.followStore(ctx) })
	work.Go(func() { c.exchange(ctx) })
	work.Wait()
}

// applyWatched merges records returned by a watch. Their versions were announced after the
// watermark, but possibly long before now: a watch that was silent, or late at the store, returns
// them long after that.
func (c *Catalog) applyWatched(records []mirror.Record) {
	c.apply(fromStore, func() []mirror.Record {
		c.recordAges(records, func(mirror.Record) versionAge { return c.ageOfWatched() })
		return c.mirror.Merge(records)
	})
}

// applyReceived merges records from a peer, with the ages of the versions among them as far as the
// peer knows them.
func (c *Catalog) applyReceived(records []mirror.Record, ages map[string]peerAge) {
	c.addMissingOrders(records)
	c.apply(fromPeer, func() []mirror.Record {
		c.recordAges(records, func(record mirror.Record) versionAge {
			reported, known := ages[record.Key]
			if !known {
				return c.ageOfUnseen()
			}
			age, bounded := ageOfReceived(reported, c.safeWatermark().atLeast(c.storeOutUntil), time.Now())
			return versionAge{age: age, assumed: !bounded}
		})
		changed := c.mirror.Merge(records)
		c.correctAges(records, ages)
		return changed
	})
}

// applyListing applies a complete listing. The first listing of a process does not bound the ages
// of the versions in it; in a later one, versions that are new here were announced after the
// watermark.
func (c *Catalog) applyListing(prefix string, listing fleet.Listing) {
	c.apply(fromStore, func() []mirror.Record {
		age := c.ageOfUnseen()
		c.recordAges(listing.Records, func(mirror.Record) versionAge { return age })
		return c.mirror.Replace(prefix, listing.Records, monotonic.Version{Epoch: listing.Epoch, Revision: listing.Revision})
	})
}

// source is the origin of records.
type source int

const (
	fromStore source = iota + 1
	fromPeer
)

// apply changes the mirror, rebuilds the view and notifies peers and callbacks if that made a
// difference.
func (c *Catalog) apply(from source, change func() []mirror.Record) {
	c.notifyMutex.Lock()
	defer c.notifyMutex.Unlock()
	old := c.View()
	c.mutex.Lock()
	changed, turnedCold := c.applyServers(change())
	c.recordChanges(from, changed, turnedCold)
	c.mutex.Unlock()
	decoded := c.decodeConfigurations(changed)
	c.mutex.Lock()
	if len(changed) > 0 {
		c.rebuildView(changed, decoded)
	}
	c.mutex.Unlock()
	if c.View() == old {
		return
	}
	c.wakeExchange()
	for _, callback := range c.callbacks {
		callback(c.View())
	}
}

// updateView publishes a changed copy of the view and runs the callbacks, unless the function
// reports that nothing changed.
func (c *Catalog) updateView(change func(next *View) bool) {
	c.notifyMutex.Lock()
	defer c.notifyMutex.Unlock()
	c.mutex.Lock()
	next := *c.View()
	changed := change(&next)
	if changed {
		c.view.Store(&next)
	}
	c.mutex.Unlock()
	if !changed {
		return
	}
	for _, callback := range c.callbacks {
		callback(c.View())
	}
}

// recordChanges records the changes to be sent to peers. A change read from the store is urgent,
// since others depend on this process. A change received from a peer waits for the next update,
// unless it announces a version, evacuates a zone or reports that a server in use has turned cold:
// sent with the next update, such a change reached a zone's last entry 0.2 s after its first and
// agents 0.6 s after it; sent at once, it reached both within 0.02 s. The mutex must be held.
func (c *Catalog) recordChanges(from source, changed []mirror.Record, turnedCold bool) {
	for _, record := range changed {
		kind := c.options.Decoder.Kind(record.Key)
		switch kind {
		case fleet.RecordConfiguration:
			c.heads[record.Key] = headOf(record)
			c.announceHeads(from)
		case fleet.RecordServer, fleet.RecordVersion, fleet.RecordEvacuation:
			c.changes.Add(record, c.contentOf(record))
		case fleet.RecordOther:
			continue
		}
		if from == fromStore || kind == fleet.RecordVersion || kind == fleet.RecordEvacuation {
			c.urgentSequence = c.changes.Sequence()
		}
	}
	if turnedCold {
		c.urgentSequence = c.changes.Sequence()
		c.watchPacer.recordTurnedCold(time.Now())
	}
}

// announceHeads has a newer revision of a large record announced at once to entries of the own
// zone, and to those of other zones if it was read from the store. Announced with the next update
// at each hop, a configuration was known to a zone's last entry 0.7 s after its first. The mutex
// must be held.
func (c *Catalog) announceHeads(from source) {
	c.freshSequence++
	if from == fromStore {
		c.storeFreshSequence = c.freshSequence
	}
}

// applyServers applies the records of servers and returns the records without those that changed
// only their counter. It reports whether a warm server has turned cold. The mutex must be held.
func (c *Catalog) applyServers(changed []mirror.Record) (kept []mirror.Record, turnedCold bool) {
	kept = changed[:0]
	now := time.Now()
	for _, record := range changed {
		if c.options.Decoder.Kind(record.Key) != fleet.RecordServer {
			kept = append(kept, record)
			continue
		}
		old, known := c.servers[record.Key]
		if c.applyServer(record) {
			kept = append(kept, record)
			turnedCold = turnedCold || (known && !now.Before(old.ColdUntil) && now.Before(c.servers[record.Key].ColdUntil))
		}
	}
	return kept, turnedCold
}

// applyServer applies the record of a server and reports whether anything changed. An expired
// server that is listed again counts as a change even if its record is the same, because it is not
// listed in the meantime.
func (c *Catalog) applyServer(record mirror.Record) bool {
	old, known := c.servers[record.Key]
	if record.Deleted {
		c.removeServer(record.Key)
		delete(c.faulty.reasons, record.Key)
		return true
	}
	server, err := c.options.Decoder.Server(record, time.Now())
	if err != nil {
		c.removeServer(record.Key)
		c.recordFaulty(record.Key, record.Revision, err)
		return known
	}
	delete(c.faulty.reasons, record.Key)
	if known && c.isFormerIncarnation(record.Key, server.StartTime, old.StartTime) {
		return false
	}
	if held := c.statuses[server.Address]; old.StartTime.Differs(server.StartTime) && held.status.StartTime != server.StartTime {
		// Otherwise status reports on the former incarnation would be forwarded, and would displace
		// those on this one if its start time is the earlier one.
		delete(c.statuses, server.Address)
	}
	if known && sameCold(old.ColdUntil, server.ColdUntil) {
		server.ColdUntil = old.ColdUntil
	}
	c.servers[record.Key] = server
	if !known {
		index, _ := slices.BinarySearch(c.serverKeys, record.Key)
		c.serverKeys = slices.Insert(c.serverKeys, index, record.Key)
	}
	return !known || !sameServer(old, server)
}

// isFormerIncarnation reports whether a record is a late one of a server's former incarnation: its
// start time is earlier than the listed one, and no record with that start time came before. A
// server whose clock was set back repeats the earlier start time with each heartbeat, whereas a
// server that has ended can have had only one record in transit. The mutex must be held.
func (c *Catalog) isFormerIncarnation(key string, startTime, listed incarnation.StartTime) bool {
	if !startTime.Before(listed) {
		delete(c.formerIncarnations, key)
		return false
	}
	if c.formerIncarnations[key] == startTime {
		delete(c.formerIncarnations, key)
		return false
	}
	c.formerIncarnations[key] = startTime
	return true
}

func (c *Catalog) removeServer(key string) {
	delete(c.formerIncarnations, key)
	delete(c.servers, key)
	if index, listed := slices.BinarySearch(c.serverKeys, key); listed {
		c.serverKeys = slices.Delete(c.serverKeys, index, index+1)
	}
}

// coldTolerance is the difference up to which two times at which a server will be warm count as the
// same. The delay of a record on its way here varies by less; without the tolerance, each heartbeat
// of a cold server would change the view.
const coldTolerance = 400 * time.Millisecond

// sameCold reports whether two times at which a server will be warm are equivalent for routing now.
func sameCold(a, b time.Time) bool {
	now := time.Now()
	if a.Before(now) && b.Before(now) {
		return true
	}
	return !a.IsZero() && !b.IsZero() && a.Sub(b).Abs() < coldTolerance
}

func sameServer(a, b fleet.Server) bool {
	if a.StartTime != b.StartTime || a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone || a.Slots != b.Slots || a.Draining != b.Draining || !a.ColdUntil.Equal(b.ColdUntil) {
		return false
	}
	if len(a.Models) != len(b.Models) {
		return false
	}
	for i := range a.Models {
		if a.Models[i] != b.Models[i] {
			return false
		}
	}
	return true
}

// Status is the catalog's part of a state dump.
type Status struct {
	ConfigurationVersion uint64                           `json:"configuration_version"`
	ConfigurationAge     float64                          `json:"configuration_age_seconds"`
	FreshAge             float64                          `json:"fresh_age_seconds"`
	Servers              int                              `json:"servers"`
	Versions             map[string][]VersionAnnouncement `json:"versions"`
	// EvacuatedZones are the zones that receive no new requests.
	EvacuatedZones []string `json:"evacuated_zones"`
	// FaultyRecords maps some of the unusable server records to the reason.
	FaultyRecords map[string]string `json:"faulty_records,omitempty"`
	Entries       []string          `json:"entries"`
	StoreCalls    int64             `json:"store_calls"`
	// StoreEpoch is the store's epoch, 0 if unknown; CompleteRevision is the store revision up to
	// which every change was received.
	StoreEpoch       uint64 `json:"store_epoch"`
	CompleteRevision uint64 `json:"complete_revision"`
	// RestoreSettled is false for some seconds after a restore of the store, while what it has lost
	// is kept.
	RestoreSettled bool `json:"restore_settled"`
	// OlderRecords is how many records from the store were older than the ones held.
	OlderRecords uint64 `json:"older_records"`
}

// Status describes what the catalog holds and how old it is.
func (c *Catalog) Status() Status {
	view := c.View()
	status := Status{Versions: maps.Clone(view.Versions), EvacuatedZones: slices.Sorted(maps.Keys(view.Evacuations)), StoreCalls: c.StoreCalls(), FreshAge: time.Since(c.FreshAt()).Seconds()}
	if view.Configuration != nil {
		status.ConfigurationVersion = view.Configuration.Version
		status.ConfigurationAge = time.Since(view.ConfigurationSince).Seconds()
	}
	for _, servers := range view.Servers {
		status.Servers += len(servers)
	}
	status.Entries, status.FaultyRecords = c.Entries(), c.reportedFaulty()
	status.OlderRecords = c.olderRecords.Load()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status.StoreEpoch, status.CompleteRevision, status.RestoreSettled = c.epochs.Current(), c.complete.Revision, c.mirror.Settled()
	return status
}
