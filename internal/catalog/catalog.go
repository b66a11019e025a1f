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

// Options wires a Catalog.
type Options struct {
	// Self is this machine's IP address; Role and Zone say what it is.
	Self string
	Role string
	Zone string
	// InternalPort is where every process of the fleet accepts links.
	InternalPort int
	// Seeds are IP addresses of other entries to begin with.
	Seeds []string
	// IsSeed is set when others begin with this process.
	IsSeed  bool
	Store   fleet.Store
	Decoder fleet.Decoder
	Hub     *peering.Hub
	Log     *logging.Logger
	// OnSilent is told of links that have gone silent while a new one works, by the IP address
	// of their other end.
	OnSilent func(target string, silent time.Duration)
	// VersionApply is the time until a named version is in force, Contact how long after
	// its start a process is held to that: see assumedAge.
	VersionApply time.Duration
	Contact      time.Duration
	// Drain is how long a server that has left may still be sent requests.
	Drain time.Duration
	// Zones are the fleet's zones and their regions.
	Zones map[string]string
	// LinkBytesPerSecond is what the machine's link carries; 0 when that is not known.
	LinkBytesPerSecond float64
}

// Catalog is the copy. It is safe for concurrent use.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mutex  sync.Mutex
	mirror *mirror.Mirror
	// changes orders the records that are passed on to others.
	changes *mirror.ChangeLog
	// urgent is the sequence of the last change that others are told of at once.
	urgent uint64
	// closeWatch follows that servers in use turn cold.
	closeWatch closeWatch
	// heads are the revisions held of large records, which others ask for; pulls are the
	// last questions of this process for them.
	heads map[string]uint64
	// servicesRevision is that of the configuration whose services entries have told this
	// agent.
	servicesRevision uint64
	pulls            map[string]pull
	packs            packs
	// bundle is the one that was sent last.
	bundle bundle
	// servers are the listed servers by the keys of their records, in order of key.
	servers    map[string]fleet.Server
	serverKeys []string
	faulty     faultyRecords
	// formerIncarnations are the births of lines that were taken for late ones of a former incarnation, by key.
	formerIncarnations map[string]incarnation.Born
	// ages tells how long ago records of versions were named, by key.
	ages map[string]versionAge
	// fresh is when the copy was last known to be current; regained is when that was
	// known again after an outage of the store.
	fresh    time.Time
	regained time.Time
	// known is up to when the copy surely holds every change of the store. It trails fresh,
	// which counts an answer of the store from its arrival.
	known horizon
	// outUntil is the newest moment at which the store was out for all: see noteRefused.
	outUntil time.Time
	// freshSequence counts how often others were to be told at once that the copy is
	// fresh, freshFromStore is that of the last answer of the store to this process.
	freshSequence  uint64
	freshFromStore uint64
	// complete is the store's revision up to which every change has been heard of;
	// toldAt is when another process last said anything.
	complete uint64
	toldAt   time.Time
	started  time.Time
	// agentOffset spreads the agents that begin to read for themselves.
	agentOffset time.Duration
	// lapsed holds servers that were lost from the list around an outage, by ID.
	lapsed map[string]lapsedServer
	// storeSuspectedAt is when the store's connections were last suspected to be silent.
	storeSuspectedAt time.Time
	// calls counts the calls to the store.
	calls atomic.Int64

	statuses       map[string]heldStatus
	statusSequence uint64
	onStatus       StatusFunction
	// hastened is set when statuses are to be passed on soon, of which haste tells; hasteAll when
	// they are to all entries; hastenedAt is when that was last done.
	hastened   bool
	hasteAll   bool
	hastenedAt time.Time
	haste      chan struct{}

	health     healthWords
	quarantine quarantineWords
	asks       serverAsks

	// overlay tells whom this entry speaks with; links are what it has of that, and
	// those that others made, by IP address.
	overlay *overlay.Overlay
	links   map[string]*peerLink
	pause   pause
	// backupOf are the entries that have this agent's words from another one too.
	backupOf  map[string]bool
	callbacks []func(*View)
	notify    sync.Mutex
	kick      chan struct{}
}

// New returns an empty catalog and registers its handlers with the hub.
func New(options Options) *Catalog {
	if options.OnSilent == nil {
		options.OnSilent = func(string, time.Duration) {}
	}
	c := &Catalog{
		options: options, started: time.Now(), agentOffset: rand.N(agentSpread), mirror: mirror.New(), changes: mirror.NewChangeLog(), heads: map[string]uint64{}, pulls: map[string]pull{},
		servers: map[string]fleet.Server{}, formerIncarnations: map[string]incarnation.Born{}, faulty: newFaultyRecords(), ages: map[string]versionAge{}, lapsed: map[string]lapsedServer{},
		statuses: map[string]heldStatus{}, links: map[string]*peerLink{}, backupOf: map[string]bool{}, kick: make(chan struct{}, 1), haste: make(chan struct{}, 1),
		overlay: overlay.New(overlay.Options{
			Self: options.Self, Zone: options.Zone, Relays: relaysPerZone, Gateways: gatesPerZone, Feeders: feedersPerAgent,
			AliveTimeout: entryRecent, MemberTTL: entryMemory, Capacity: capacityOf(options.LinkBytesPerSecond),
		}),
	}
	c.health, c.quarantine, c.asks = newHealthWords(c.started), newQuarantineWords(), newServerAsks(c.started)
	c.view.Store(&View{Servers: map[string][]fleet.Server{}, Versions: map[string][]Notice{}})
	options.Hub.Handle(topicUpdate, c.handleUpdate)
	options.Hub.Handle(topicPull, c.handlePull)
	options.Hub.Handle(fleet.TopicMachineStatus, c.handleStatus)
	options.Hub.Handle(topicStatuses, c.handleStatuses)
	options.Hub.Handle(topicHealth, c.handleHealth)
	options.Hub.Handle(topicQuarantine, c.handleQuarantine)
	options.Hub.Handle(topicAsks, c.handleAsks)
	options.Hub.OnOpen(c.linkOpened)
	options.Hub.OnOpen(c.greetQuarantine)
	return c
}

// View returns the newest picture.
func (c *Catalog) View() *View { return c.view.Load() }

// OnChange registers a function that is called with each new view, in order. It
// must be registered before Run.
func (c *Catalog) OnChange(function func(*View)) { c.callbacks = append(c.callbacks, function) }

// Calls returns how many calls the store was sent.
func (c *Catalog) Calls() int64 { return c.calls.Load() }

// Fresh returns when the copy was last known to be current.
func (c *Catalog) Fresh() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fresh
}

// Run reads the store and exchanges records until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.followStore(ctx) })
	work.Go(func() { c.exchange(ctx) })
	work.Wait()
}

// takeWatched merges records that a watch has brought. The versions among them were named
// after the moment up to which the copy was complete, and no later: a watch that was silent,
// or late at the store, brings them long after that.
func (c *Catalog) takeWatched(records []mirror.Record) {
	c.apply(fromStore, func() []mirror.Record {
		c.noteAges(records, func(mirror.Record) versionAge { return c.ageOfWatched() })
		return c.mirror.Merge(records)
	})
}

// takeTold merges records from a peer, which says how long ago the versions among
// them were named, if it knows that.
func (c *Catalog) takeTold(records []mirror.Record, ages map[string]word) {
	c.apply(fromPeer, func() []mirror.Record {
		c.noteAges(records, func(record mirror.Record) versionAge {
			told, known := ages[record.Key]
			if !known {
				return c.ageOfUnseen()
			}
			age, bounded := ageOfNews(told, c.surelyKnown().notBefore(c.outUntil), time.Now())
			return versionAge{age: age, assumed: !bounded}
		})
		news := c.mirror.Merge(records)
		c.correctAges(records, ages)
		return news
	})
}

// replace takes in a whole listing. It does not tell how old the versions are that a
// process meets in its first one; later, what is new to it was named since the copy was
// last complete.
func (c *Catalog) replace(prefix string, listing fleet.Listing) {
	c.apply(fromStore, func() []mirror.Record {
		age := c.ageOfUnseen()
		c.noteAges(listing.Records, func(mirror.Record) versionAge { return age })
		return c.mirror.Replace(prefix, listing.Records, listing.At)
	})
}

// source is where records come from.
type source int

// The sources.
const (
	fromStore source = iota + 1
	fromPeer
)

// apply changes the mirror and tells everyone when that made a difference.
func (c *Catalog) apply(from source, change func() []mirror.Record) {
	c.notify.Lock()
	defer c.notify.Unlock()
	old := c.View()
	c.mutex.Lock()
	news, turnedCold := c.relevant(change())
	c.noteChanges(from, news, turnedCold)
	c.mutex.Unlock()
	decoded := c.decodeConfigurations(news)
	c.mutex.Lock()
	if len(news) > 0 {
		c.rebuild(news, decoded)
	}
	c.mutex.Unlock()
	if c.View() == old {
		return
	}
	c.kickExchange()
	for _, callback := range c.callbacks {
		callback(c.View())
	}
}

// changeView publishes a changed copy of the view and tells everyone of it, unless the function
// reports that nothing has changed.
func (c *Catalog) changeView(change func(next *View) bool) {
	c.notify.Lock()
	defer c.notify.Unlock()
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

// noteChanges notes what others are to be told. What the store has told this process
// is urgent, since others depend on it; what a peer has told goes on with the next
// update, unless it names weights, evacuates a zone, or says that a server in use has turned
// cold: told with the next update, that reached a zone's last entry 0.2 s after its first and
// agents 0.6 s after it, and both 0.02 s after it when told at once. The mutex is held.
func (c *Catalog) noteChanges(from source, news []mirror.Record, turnedCold bool) {
	for _, record := range news {
		kind := c.options.Decoder.Kind(record.Key)
		switch kind {
		case fleet.RecordConfiguration:
			c.heads[record.Key] = record.Revision
			c.announceHeads(from)
		case fleet.RecordServer, fleet.RecordVersion, fleet.RecordEvacuation:
			c.changes.Add(record)
		case fleet.RecordOther:
			continue
		}
		if from == fromStore || kind == fleet.RecordVersion || kind == fleet.RecordEvacuation {
			c.urgent = c.changes.Sequence()
		}
	}
	if turnedCold {
		c.urgent = c.changes.Sequence()
		c.closeWatch.turnedCold(time.Now())
	}
}

// announceHeads has the entries of the own zone told at once that a large record is newer, and
// those of others where the store has told it; the mutex is held. Told with the next update of
// each hop, the configuration was known to a zone's last entry 0.7 s after its first.
func (c *Catalog) announceHeads(from source) {
	c.freshSequence++
	if from == fromStore {
		c.freshFromStore = c.freshSequence
	}
}

// relevant takes over what records say of servers, and drops the records of those
// that changed nothing but their counter. It reports whether one has turned cold that was
// warm. The mutex is held.
func (c *Catalog) relevant(news []mirror.Record) (kept []mirror.Record, turnedCold bool) {
	kept = news[:0]
	now := time.Now()
	for _, record := range news {
		if c.options.Decoder.Kind(record.Key) != fleet.RecordServer {
			kept = append(kept, record)
			continue
		}
		old, known := c.servers[record.Key]
		if c.takeServer(record) {
			kept = append(kept, record)
			turnedCold = turnedCold || (known && !now.Before(old.ColdUntil) && now.Before(c.servers[record.Key].ColdUntil))
		}
	}
	return kept, turnedCold
}

// takeServer takes over the record of a server, and reports whether it says anything
// new. That a lapsed server is listed again is news, also where its line is the same:
// it is not among the listed ones meanwhile.
func (c *Catalog) takeServer(record mirror.Record) bool {
	old, known := c.servers[record.Key]
	if record.Deleted {
		c.dropServer(record.Key)
		delete(c.faulty.reasons, record.Key)
		return true
	}
	server, err := c.options.Decoder.Server(record, time.Now())
	if err != nil {
		c.dropServer(record.Key)
		c.noteFaulty(record.Key, record.Revision, err)
		return known
	}
	delete(c.faulty.reasons, record.Key)
	if known && c.isFormerIncarnation(record.Key, server.Born, old.Born) {
		return false
	}
	if held := c.statuses[server.Address]; old.Born.Differs(server.Born) && held.status.Born != server.Born {
		// Otherwise words on the former incarnation would be passed on, and keep out those on this one where its
		// birth is the earlier one.
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

// isFormerIncarnation reports whether a line is a late one of a server's former incarnation: it began before the one
// that is listed, and no other line has told the same. A server whose clock was set back tells it
// with each heartbeat; one that has ended can have had one line under way. The mutex is held.
func (c *Catalog) isFormerIncarnation(key string, born, listed incarnation.Born) bool {
	if !born.Before(listed) {
		delete(c.formerIncarnations, key)
		return false
	}
	if c.formerIncarnations[key] == born {
		delete(c.formerIncarnations, key)
		return false
	}
	c.formerIncarnations[key] = born
	return true
}

func (c *Catalog) dropServer(key string) {
	delete(c.formerIncarnations, key)
	delete(c.servers, key)
	if index, listed := slices.BinarySearch(c.serverKeys, key); listed {
		c.serverKeys = slices.Delete(c.serverKeys, index, index+1)
	}
}

// coldStep is the difference up to which two words on when a server will be warm count as
// the same: what a line takes from the server to here varies by less, and each heartbeat of
// a cold server would make a view otherwise.
const coldStep = 400 * time.Millisecond

// sameCold reports whether two times until which a server is cold are the same to those who
// send requests there now.
func sameCold(a, b time.Time) bool {
	now := time.Now()
	if a.Before(now) && b.Before(now) {
		return true
	}
	return !a.IsZero() && !b.IsZero() && a.Sub(b).Abs() < coldStep
}

func sameServer(a, b fleet.Server) bool {
	if a.Born != b.Born || a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone || a.Slots != b.Slots || a.Draining != b.Draining || !a.ColdUntil.Equal(b.ColdUntil) {
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
	ConfigurationVersion uint64              `json:"configuration_version"`
	ConfigurationAge     float64             `json:"configuration_age_seconds"`
	FreshAge             float64             `json:"fresh_age_seconds"`
	Servers              int                 `json:"servers"`
	Versions             map[string][]Notice `json:"versions"`
	// EvacuatedZones are sent nothing new.
	EvacuatedZones []string `json:"evacuated_zones"`
	// FaultyRecords are some of the servers' records that can't be used, with the reason.
	FaultyRecords map[string]string `json:"faulty_records,omitempty"`
	Entries       []string          `json:"entries"`
	StoreCalls    int64             `json:"store_calls"`
}

// Status describes what is held and how old it is.
func (c *Catalog) Status() Status {
	view := c.View()
	status := Status{Versions: maps.Clone(view.Versions), EvacuatedZones: slices.Sorted(maps.Keys(view.Evacuations)), StoreCalls: c.Calls(), FreshAge: time.Since(c.Fresh()).Seconds()}
	if view.Configuration != nil {
		status.ConfigurationVersion = view.Configuration.Version
		status.ConfigurationAge = time.Since(view.ConfigurationSince).Seconds()
	}
	for _, servers := range view.Servers {
		status.Servers += len(servers)
	}
	status.Entries, status.FaultyRecords = c.Entries(), c.toldFaulty()
	return status
}
