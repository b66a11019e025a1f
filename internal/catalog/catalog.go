package catalog

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"pinevane.example/pinevane/coordination/mirror"
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
	// Seeds are IP addresses of entries to begin with.
	Seeds   []string
	Store   fleet.Store
	Decoder fleet.Decoder
	Hub     *peering.Hub
	Log     *logging.Logger
	// VersionApply is the time until a named version is in force. Half of it is
	// assumed as the age of a version of which nobody says how old it is.
	VersionApply time.Duration
	// Drain is how long a server that has left may still be sent requests.
	Drain time.Duration
}

// Catalog is the copy. It is safe for concurrent use.
type Catalog struct {
	options Options
	view    atomic.Pointer[View]

	mutex  sync.Mutex
	mirror *mirror.Mirror
	// sequence counts the changes; changedAt is the sequence of each key's last.
	sequence  uint64
	changedAt map[string]uint64
	// ages tells how long ago records of versions were named, by key.
	ages map[string]versionAge
	// fresh is when the copy was last known to be current; regained is when that was
	// known again after an outage of the store.
	fresh    time.Time
	regained time.Time
	// lapsed holds servers that were lost from the list around an outage, by ID.
	lapsed map[string]lapsedServer
	// calls counts the calls to the store.
	calls atomic.Int64

	statuses       map[string]heldStatus
	statusSequence uint64
	onStatus       func(fleet.MachineStatus, time.Time)

	entries map[string]*entryPeer
	// entriesSequence counts the entries that were new.
	entriesSequence uint64
	links           map[string]*outLink
	callbacks       []func(*View)
	notify          sync.Mutex
	kick            chan struct{}
}

// New returns an empty catalog and registers its handlers with the hub.
func New(options Options) *Catalog {
	c := &Catalog{
		options: options, mirror: mirror.New(), changedAt: map[string]uint64{}, ages: map[string]versionAge{},
		statuses: map[string]heldStatus{}, entries: map[string]*entryPeer{}, links: map[string]*outLink{}, lapsed: map[string]lapsedServer{}, kick: make(chan struct{}, 1),
	}
	c.view.Store(&View{Servers: map[string][]fleet.Server{}, Versions: map[string][]Notice{}})
	options.Hub.Handle(topicUpdate, c.handleUpdate)
	options.Hub.Handle(topicPull, c.handlePull)
	options.Hub.Handle(fleet.TopicMachineStatus, c.handleStatus)
	options.Hub.Handle(topicStatuses, c.handleStatuses)
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

// takeWatched merges records that the store has just written; versions among them
// have just been named.
func (c *Catalog) takeWatched(records []mirror.Record) {
	c.apply(func() []mirror.Record {
		c.noteAges(records, func(mirror.Record) versionAge { return versionAge{} })
		return c.mirror.Merge(records)
	})
}

// takeTold merges records from a peer, which says how long ago the versions among
// them were named, if it knows that.
func (c *Catalog) takeTold(records []mirror.Record, ages map[string]time.Duration) {
	c.apply(func() []mirror.Record {
		c.noteAges(records, func(record mirror.Record) versionAge {
			age, told := ages[record.Key]
			if !told {
				return c.assumedAge()
			}
			return versionAge{age: age}
		})
		news := c.mirror.Merge(records)
		c.correctAges(records, ages)
		return news
	})
}

// replace takes in a whole listing. It does not tell how old the versions are that a
// process meets in its first one; later, what is new to it was named lately.
func (c *Catalog) replace(prefix string, listing fleet.Listing) {
	c.apply(func() []mirror.Record {
		age := versionAge{}
		if c.view.Load().Configuration == nil {
			age = c.assumedAge()
		}
		c.noteAges(listing.Records, func(mirror.Record) versionAge { return age })
		return c.mirror.Replace(prefix, listing.Records, listing.At)
	})
}

// apply changes the mirror and tells everyone when that made a difference.
func (c *Catalog) apply(change func() []mirror.Record) {
	c.notify.Lock()
	defer c.notify.Unlock()
	c.mutex.Lock()
	old := c.View()
	before := c.snapshotServers()
	news := c.relevant(before, change())
	for _, record := range news {
		c.sequence++
		c.changedAt[record.Key] = c.sequence
	}
	if len(news) > 0 {
		c.rebuild(news)
	}
	unchanged := c.View() == old
	c.mutex.Unlock()
	if unchanged {
		return
	}
	c.kickExchange()
	for _, callback := range c.callbacks {
		callback(c.View())
	}
}

// snapshotServers remembers what the listed servers said of themselves before a
// change; the mutex is held. Lapsed ones are not among them: that one of them is
// listed again is news, also where its line is the same.
func (c *Catalog) snapshotServers() map[string]fleet.Server {
	before := map[string]fleet.Server{}
	for _, servers := range c.view.Load().Servers {
		for _, server := range servers {
			if _, lapsed := c.lapsed[server.ID]; !lapsed {
				before[server.ID] = server
			}
		}
	}
	return before
}

// relevant drops the records of servers that changed nothing but their counter.
func (c *Catalog) relevant(before map[string]fleet.Server, news []mirror.Record) []mirror.Record {
	kept := news[:0]
	for _, record := range news {
		if c.options.Decoder.Kind(record.Key) == fleet.RecordServer && !record.Gone {
			server, err := c.options.Decoder.Server(record)
			old, known := before[server.ID]
			if err == nil && known && sameServer(old, server) {
				continue
			}
		}
		kept = append(kept, record)
	}
	return kept
}

func sameServer(a, b fleet.Server) bool {
	if a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone || a.Slots != b.Slots || a.Draining != b.Draining {
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
	Entries              []string            `json:"entries"`
	StoreCalls           int64               `json:"store_calls"`
}

// Status describes what is held and how old it is.
func (c *Catalog) Status() Status {
	view := c.View()
	status := Status{Versions: maps.Clone(view.Versions), StoreCalls: c.Calls(), FreshAge: time.Since(c.Fresh()).Seconds()}
	if view.Configuration != nil {
		status.ConfigurationVersion = view.Configuration.Version
		status.ConfigurationAge = time.Since(view.ConfigurationSince).Seconds()
	}
	for _, servers := range view.Servers {
		status.Servers += len(servers)
	}
	status.Entries = c.Entries()
	return status
}
