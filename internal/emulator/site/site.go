package site

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Options describe a small fleet on loopback addresses.
type Options struct {
	// Network is the second octet of the fleet's addresses.
	Network int
	Zones   int
	// Entries and ModelServers are counts in each zone.
	Entries      int
	ModelServers int
	PlainServers int
	Weights      Weights
	EventTime    time.Duration
	Slots        int
	// StepMilliseconds is the published time of a token step; 0 publishes assumedStep, which
	// is shorter than most tests' EventTime.
	StepMilliseconds float64
	// ReadPerSecond is how many tokens of prompts a model server reads in a second, one prompt after the other, and
	// UsualPrompt the published size of prompts; 0 reads in no time, and publishes assumed figures.
	ReadPerSecond float64
	TypicalPrompt int
	// LinkMbps is the link that settings tell of each machine; 0 is 80.
	LinkMbps float64
	// Bounds in milliseconds and seconds, as the platform names them.
	VersionMs     int
	ConfigApplyMs int
	DrainMs       int
	GraceS        float64
	BudgetSlack   int
	TimeoutMs     int
	EvacuateMs    int
	// ColdPerS is the rate that a cold server is made for, ColdStartS how long one is cold;
	// ColdPerS x ColdOvershoot + ColdSlack requests in a second are what it bears.
	ColdPerS      float64
	ColdStartS    float64
	ColdOvershoot float64
	ColdSlack     float64
}

// ColdLimit is how many requests a second a cold server bears.
func (o Options) ColdLimit() float64 { return o.ColdPerS*o.ColdOvershoot + o.ColdSlack }

func (o Options) coldTime() time.Duration { return time.Duration(o.ColdStartS * float64(time.Second)) }

// Names of the stand-in's services, routes and keys.
const (
	ModelService  = "language"
	PlainService  = "records"
	OriginService = "weights"
	Host          = "users.example"
	streamRoute   = "stream"
	onceRoute     = "once"
	StreamPrefix  = "/stream/"
	OncePrefix    = "/once/"
	SafePrefix    = "/safe/"
	Key           = "key-one"
	Tenant        = "tenant-one"
)

// defaultStepMilliseconds is the published time of a token step in milliseconds where a test sets none.
const defaultStepMilliseconds = 1.0

// assumedReadPerSecond and assumedPrompt are the published reading rate of prompts, in tokens, and their usual size
// where a test sets none.
const (
	defaultReadPerSecond = 1e6
	defaultPrompt        = 10
)

// defaultLinkMbps is the link of a machine in Mbit/s where a test sets none.
const defaultLinkMbps = 80.0

// Ports of the machines.
const (
	serverPort  = 8001
	callerPort = 8005
	readyPort   = 8002
	controlPort = 8000
	firstPort   = 7700
	lastPort    = 7715
	storePort   = 8007
	originPort  = 8006
)

// Site is the running stand-in of a whole platform.
type Site struct {
	Options  Options
	Store    *Store
	Origin   *Origin
	Requests *RequestLog
	// Models and Plain are the servers by IP address.
	Models map[string]*Server
	Plain  map[string]*Server

	version       uint64
	configuration map[string]any
	servers       []*http.Server
	starts        int
	tracker       crashTracker
}

func (o Options) ip(zone, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.Network, zone+1, machine)
}

// ZoneName names a zone.
func ZoneName(zone int) string { return fmt.Sprintf("hall-%d", zone) }

// Machine numbers of the kinds, within a zone.
const (
	firstEntry = 10
	firstModel = 100
	firstPlain = 200
)

// EntryIP returns the address of an entry machine.
func (o Options) EntryIP(zone, index int) string { return o.ip(zone, firstEntry+index) }

// ModelIP returns the address of a model server's machine.
func (o Options) ModelIP(zone, index int) string { return o.ip(zone, firstModel+index) }

// PlainIP returns the address of a plain server's machine.
func (o Options) PlainIP(zone, index int) string { return o.ip(zone, firstPlain+index) }

// Start starts the store, the origin and the servers.
func Start(options Options) (*Site, error) {
	s := &Site{
		Options: options, Store: NewStore(), Origin: NewOrigin(options.Weights), Requests: &RequestLog{},
		Models: map[string]*Server{}, Plain: map[string]*Server{}, tracker: crashTracker{crashed: map[*Server]bool{}},
	}
	if err := s.listen(s.originAddress(), s.Origin.Handler()); err != nil {
		return nil, err
	}
	s.Configure(nil)
	for zone := range options.Zones {
		for index := range options.ModelServers {
			if _, err := s.StartModel(zone, index, 1); err != nil {
				return nil, err
			}
		}
		for index := range options.PlainServers {
			if err := s.startPlain(zone, index); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *Site) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Close ends everything.
func (s *Site) Close() {
	s.tracker.close()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, all := range []map[string]*Server{s.Models, s.Plain} {
		for _, server := range all {
			server.Crash()
		}
	}
}

// storeAddress is the store's address for one machine.
func (s *Site) storeAddress(role string, zone, index int) string {
	machine := firstEntry + index
	if role == RoleAgent {
		machine = firstModel + index
	}
	return fmt.Sprintf("%s:%d", s.Options.ip(100+zone, machine), storePort)
}

func (s *Site) originAddress() string { return s.Options.originAddress() }

func (o Options) originAddress() string { return fmt.Sprintf("%s:%d", o.ip(200, 2), originPort) }

// FreeNetwork returns a network of a range, from one of them on, on which no other
// stand-in runs; when there is none, the one to begin with.
func FreeNetwork(first, count, begin int) int {
	for offset := range count {
		network := first + (begin+offset)%count
		listener, err := net.Listen("tcp", Options{Network: network}.originAddress())
		if err == nil {
			_ = listener.Close()
			return network
		}
	}
	return first + begin%count
}

// ModelAddress is the address of a model server.
func (s *Site) ModelAddress(zone, index int) string {
	return fmt.Sprintf("%s:%d", s.Options.ModelIP(zone, index), serverPort)
}

// StartModel starts a model server, empty when the version is 0.
func (s *Site) StartModel(zone, index int, version uint64) (*Server, error) {
	s.starts++
	weights := s.Options.Weights
	server := NewServer(ServerOptions{
		ID: fmt.Sprintf("i-%d-%d-%d", zone, index, s.starts), Service: ModelService, Zone: ZoneName(zone), Region: RegionName(zone),
		Address: s.ModelAddress(zone, index), Slots: s.Options.Slots, Weights: &weights, Version: version, StartTime: time.Now().UnixMilli(),
		EventTime: s.Options.EventTime, ReadPerSecond: s.Options.ReadPerSecond, Warm: 50 * time.Millisecond, Heartbeat: 400 * time.Millisecond, Store: s.Store, Requests: s.Requests,
		ColdTime: s.Options.coldTime(), ColdLimit: s.Options.ColdLimit(), OnBegin: s.crashesOn,
	})
	return server, s.startServer(s.Models, server)
}

// RestartModel crashes a model server and starts it anew, with nothing in service
// and what was staged still there.
func (s *Site) RestartModel(zone, index int) error {
	s.Store.Delete("servers/" + s.Models[s.Options.ModelIP(zone, index)].options.ID)
	return s.RestartModelStillListed(zone, index)
}

// RestartModelWithSameID ends a model server and starts it anew under its ID, with nothing in service and nothing
// staged. It tells that it has started at a moment.
func (s *Site) RestartModelWithSameID(zone, index int, born time.Time) error {
	old := s.Models[s.Options.ModelIP(zone, index)]
	old.Crash()
	options := old.options
	options.Version, options.StartTime = 0, born.UnixMilli()
	return s.startServer(s.Models, NewServer(options))
}

// RestartModelStillListed does the same while the list goes on naming the old server
// beside the new one, as it does until it has missed three heartbeats.
func (s *Site) RestartModelStillListed(zone, index int) error {
	old := s.Models[s.Options.ModelIP(zone, index)]
	staged := old.Crash()
	s.starts++
	options := old.options
	options.ID, options.Version, options.StartTime = fmt.Sprintf("i-%d-%d-%d", zone, index, s.starts), 0, time.Now().UnixMilli()
	fresh := NewServer(options)
	fresh.Restage(staged)
	return s.startServer(s.Models, fresh)
}

func (s *Site) startPlain(zone, index int) error {
	s.starts++
	return s.startServer(s.Plain, NewServer(ServerOptions{
		ID: fmt.Sprintf("p-%d-%d-%d", zone, index, s.starts), Service: PlainService, Zone: ZoneName(zone), Region: RegionName(zone),
		Address: fmt.Sprintf("%s:%d", s.Options.PlainIP(zone, index), serverPort), Slots: s.Options.Slots, StartTime: time.Now().UnixMilli(),
		EventTime: s.Options.EventTime, Heartbeat: 400 * time.Millisecond, Store: s.Store, Requests: s.Requests, OnBegin: s.crashesOn,
	}))
}

func (s *Site) startServer(all map[string]*Server, server *Server) error {
	if err := server.Start(); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(server.options.Address)
	all[host] = server
	return nil
}

// Configure publishes the next configuration, changed by a function.
func (s *Site) Configure(change func(configuration map[string]any)) uint64 {
	s.version += 3
	if s.configuration == nil {
		s.configuration = s.firstConfiguration()
	}
	s.configuration["version"] = s.version
	if change != nil {
		change(s.configuration)
	}
	s.Store.Put("op/config", s.configuration)
	return s.version
}

func (s *Site) firstConfiguration() map[string]any {
	route := func(name, prefix, kind, service string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "pathPrefix": prefix, "routeType": kind, "service": service, "timeoutMs": s.Options.TimeoutMs,
			"targetLatencyMs": 1000, "targetGapMs": 400, "priority": 1, "maxAttempts": 2, "streamResume": resume,
		}
	}
	w := s.Options.Weights
	return map[string]any{
		"routes": []any{
			route(streamRoute, StreamPrefix, "streaming", ModelService, true),
			route(onceRoute, OncePrefix, "non_idempotent", PlainService, false),
			route("safe", SafePrefix, "idempotent", PlainService, false),
		},
		"services": []any{
			map[string]any{"name": ModelService, "healthPath": "/healthz", "maxConnections": 400,
				"coldStartS": s.Options.ColdStartS, "coldPerS": s.Options.ColdPerS, "engine": map[string]any{
					"slots": s.Options.Slots, "stride": 1, "step_ms": cmp.Or(s.Options.StepMilliseconds, defaultStepMilliseconds), "read_per_s": cmp.Or(s.Options.ReadPerSecond, defaultReadPerSecond), "chunk": 2048, "layers": w.Layers,
					"chunks": w.Pieces, "chunkBytes": w.PieceBytes, "usual": map[string]any{"prompt": cmp.Or(s.Options.TypicalPrompt, defaultPrompt), "answer": 10},
					"models": []any{map[string]any{"name": w.Model, "warmS": 0.05}},
				}},
			map[string]any{"name": PlainService, "healthPath": "/healthz", "maxConnections": 400},
			map[string]any{"name": OriginService, "origin": s.originAddress(), "linkMbps": 100.0, "maxConnections": 48},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}}},
	}
}

// AnnounceVersion publishes a new version of the model's weights.
func (s *Site) AnnounceVersion(version uint64) {
	s.Origin.Announce(version)
	s.Store.Put("op/version/"+s.Options.Weights.Model, map[string]any{"model": s.Options.Weights.Model, "version": version})
}

// evacuationPrefix precedes the zone in the key of an evacuation.
const evacuationPrefix = "op/evacuate/"

// Evacuate asks that the servers of a zone are sent nothing new.
func (s *Site) Evacuate(zone string) { s.Store.Put(evacuationPrefix+zone, map[string]any{}) }

// EndEvacuation takes that back; the zone's model servers have become cold just before, which
// their lines tell only with the next heartbeat.
func (s *Site) EndEvacuation(zone string) {
	for _, server := range s.Models {
		if server.options.Zone == zone {
			server.SetCold(false)
		}
	}
	s.Store.Delete(evacuationPrefix + zone)
}

// Roles of the machines.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// OpenStore makes the store reachable for a machine.
func (s *Site) OpenStore(role string, zone, index int) error {
	ip := s.Options.EntryIP(zone, index)
	if role == RoleAgent {
		ip = s.Options.ModelIP(zone, index)
	}
	return s.listen(s.storeAddress(role, zone, index), s.Store.HandlerFor(ip))
}

// Settings returns the settings file of a machine.
func (s *Site) Settings(role string, zone, index int) []byte {
	zones := s.Options.regionsOfZones()
	var seeds []string
	for one := range s.Options.Zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.Options.EntryIP(one, 0), controlPort))
	}
	settings := map[string]any{
		"nodeName": fmt.Sprintf("%s-%d-%d", role, zone, index), "zone": ZoneName(zone), "region": zones[ZoneName(zone)], "zones": zones,
		"internalPorts": []int{firstPort, lastPort}, "seeds": seeds, "unknownField": true,
		"limits": map[string]any{"memoryMb": 150, "linkMbps": cmp.Or(s.Options.LinkMbps, defaultLinkMbps)},
		"bounds": map[string]any{
			"drainMs": s.Options.DrainMs, "graceS": s.Options.GraceS, "configApplyMs": s.Options.ConfigApplyMs,
			"version_ms": s.Options.VersionMs, "recoverS": 12, "reuseAfterS": 2, "retryBudgetRatio": 0.2, "retryWindowS": 10,
			"budgetSlack": s.Options.BudgetSlack, "evacuateMs": s.Options.EvacuateMs,
			"coldOvershoot": s.Options.ColdOvershoot, "coldSlack": s.Options.ColdSlack,
		},
		"platform": map[string]any{"address": s.storeAddress(role, zone, index)},
	}
	if role == RoleAgent {
		ip := s.Options.ModelIP(zone, index)
		settings["ip"], settings["app"], settings["service"] = ip, fmt.Sprintf("%s:%d", ip, serverPort), ModelService
		settings["listen"] = map[string]any{}
	} else {
		ip := s.Options.EntryIP(zone, index)
		settings["ip"] = ip
		settings["listen"] = map[string]any{
			"front": fmt.Sprintf("%s:%d", ip, callerPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort), "control": fmt.Sprintf("%s:%d", ip, controlPort),
		}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	return data
}

// ChangedSettings returns the settings file of a machine with a change.
func (s *Site) ChangedSettings(role string, zone, index int, change func(settings map[string]any)) []byte {
	var settings map[string]any
	if err := json.Unmarshal(s.Settings(role, zone, index), &settings); err != nil {
		panic(err)
	}
	change(settings)
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	return data
}

// EntryURL is where callers reach an entry.
func (s *Site) EntryURL(zone, index int) string {
	return fmt.Sprintf("http://%s:%d", s.Options.EntryIP(zone, index), callerPort)
}

// ReadyURL is where the platform asks an entry whether it takes callers.
func (s *Site) ReadyURL(zone, index int) string {
	return fmt.Sprintf("http://%s:%d/-/readyz", s.Options.EntryIP(zone, index), readyPort)
}
