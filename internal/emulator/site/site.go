package site

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Options describes a small fleet on loopback addresses.
type Options struct {
	// Network is the second octet of the fleet's addresses.
	Network int
	Zones   int
	// Entries, ModelServers and PlainServers are counts per zone.
	Entries      int
	ModelServers int
	PlainServers int
	Weights      Weights
	EventTime    time.Duration
	// PlainTime is the time that a plain server's answer takes; 0 means EventTime.
	PlainTime time.Duration
	Slots     int
	// StepMilliseconds is the published time of a decoding step; 0 publishes
	// defaultStepMilliseconds, which is shorter than most tests' EventTime.
	StepMilliseconds float64
	// ReadPerSecond is a model server's prefill rate in prompt tokens per second, one prompt at a
	// time, and TypicalPrompt the published prompt size. With 0, prefill takes no time and the
	// defaults are published.
	ReadPerSecond float64
	TypicalPrompt int
	// LinkMbps is the link rate in the settings of each machine; 0 means defaultLinkMbps.
	LinkMbps float64
	// Bounds in milliseconds and seconds, named as in the platform's settings.
	VersionMs     int
	ConfigApplyMs int
	DrainMs       int
	GraceS        float64
	BudgetSlack   int
	TimeoutMs     int
	EvacuateMs    int
	// ColdPerS is the rate limit of a server in its cold start, ColdStartS the duration of a cold
	// start. The server tolerates ColdPerS x ColdOvershoot + ColdSlack requests per second.
	ColdPerS      float64
	ColdStartS    float64
	ColdOvershoot float64
	ColdSlack     float64
}

// ColdLimit returns the number of requests per second that a server tolerates in its cold start.
func (o Options) ColdLimit() float64 { return o.ColdPerS*o.ColdOvershoot + o.ColdSlack }

func (o Options) coldTime() time.Duration { return time.Duration(o.ColdStartS * float64(time.Second)) }

func (o Options) plainTime() time.Duration { return cmp.Or(o.PlainTime, o.EventTime) }

// Names of the emulated services, routes and keys.
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

// defaultStepMilliseconds is the published time of a decoding step if a test sets none.
const defaultStepMilliseconds = 1.0

// defaultReadPerSecond and defaultPrompt are the published prefill rate in tokens per second and
// the published prompt size in tokens if a test sets none.
const (
	defaultReadPerSecond = 1e6
	defaultPrompt        = 10
)

// defaultLinkMbps is the link rate of a machine if a test sets none.
const defaultLinkMbps = 80.0

// Ports of the machines.
const (
	serverPort  = 8001
	callerPort  = 8005
	readyPort   = 8002
	controlPort = 8000
	firstPort   = 7700
	lastPort    = 7715
	storePort   = 8007
	originPort  = 8006
)

// Site is a running emulation of the platform.
type Site struct {
	Options  Options
	Store    *Store
	Origin   *Origin
	Requests *RequestLog
	// Models and Plain map IP addresses to servers.
	Models map[string]*Server
	Plain  map[string]*Server

	version       uint64
	configuration map[string]any
	servers       []*http.Server
	startCount    int
	tracker       crashTracker
}

func (o Options) ip(zone, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", o.Network, zone+1, machine)
}

// ZoneName returns the name of a zone.
func ZoneName(zone int) string { return fmt.Sprintf("hall-%d", zone) }

// First machine number of each kind within a zone.
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
	origin, err := listenAtOrigin(options)
	if err != nil {
		return nil, err
	}
	s.serve(origin, s.Origin.Handler())
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
	s.serve(listener, handler)
	return nil
}

func (s *Site) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// Close stops all servers. The origin is the last, because FreeNetwork takes a network without one for
// free.
func (s *Site) Close() {
	s.tracker.close()
	for _, servers := range []map[string]*Server{s.Models, s.Plain} {
		for _, server := range servers {
			server.Crash()
		}
	}
	for _, server := range slices.Backward(s.servers) {
		_ = server.Close()
	}
}

// storeAddress returns the address at which a machine reaches the store.
func (s *Site) storeAddress(role string, zone, index int) string {
	machine := firstEntry + index
	if role == RoleAgent {
		machine = firstModel + index
	}
	return fmt.Sprintf("%s:%d", s.Options.ip(100+zone, machine), storePort)
}

func (s *Site) originAddress() string { return s.Options.OriginAddress() }

// OriginAddress returns the address of the origin. A network counts as in use while something listens there.
func (o Options) OriginAddress() string { return fmt.Sprintf("%s:%d", o.ip(200, 2), originPort) }

// reservation holds the network that FreeNetwork found last, until Start takes it.
var reservation struct {
	mutex    sync.Mutex
	network  int
	listener net.Listener
}

// FreeNetwork returns the number of a loopback network that no other emulation uses. It tries count
// networks from first on, starting at offset begin, and returns the network at that offset if none is free.
// Other processes do not find the network free until this one has found another or closed the emulation
// that it starts there.
func FreeNetwork(first, count, begin int) int {
	reservation.mutex.Lock()
	defer reservation.mutex.Unlock()
	if reservation.listener != nil {
		_ = reservation.listener.Close()
		reservation.listener = nil
	}
	for offset := range count {
		network := first + (begin+offset)%count
		listener, err := net.Listen("tcp", Options{Network: network}.OriginAddress())
		if err == nil {
			reservation.network, reservation.listener = network, listener
			return network
		}
	}
	return first + begin%count
}

// listenAtOrigin returns the reserved listener of a network's origin, or a new one.
func listenAtOrigin(options Options) (net.Listener, error) {
	reservation.mutex.Lock()
	defer reservation.mutex.Unlock()
	if reservation.listener == nil || reservation.network != options.Network {
		return net.Listen("tcp", options.OriginAddress())
	}
	listener := reservation.listener
	reservation.listener = nil
	return listener, nil
}

// ModelAddress returns the address of a model server.
func (s *Site) ModelAddress(zone, index int) string {
	return fmt.Sprintf("%s:%d", s.Options.ModelIP(zone, index), serverPort)
}

// StartModel starts a model server, without a loaded version if version is 0.
func (s *Site) StartModel(zone, index int, version uint64) (*Server, error) {
	s.startCount++
	weights := s.Options.Weights
	server := NewServer(ServerOptions{
		ID: fmt.Sprintf("i-%d-%d-%d", zone, index, s.startCount), Service: ModelService, Zone: ZoneName(zone), Region: RegionName(zone),
		Address: s.ModelAddress(zone, index), Slots: s.Options.Slots, Weights: &weights, Version: version, StartTime: time.Now().UnixMilli(),
		EventTime: s.Options.EventTime, ReadPerSecond: s.Options.ReadPerSecond, Warm: 50 * time.Millisecond, Heartbeat: 400 * time.Millisecond, Store: s.Store, Requests: s.Requests,
		ColdTime: s.Options.coldTime(), ColdLimit: s.Options.ColdLimit(), OnBegin: s.crashesOn,
	})
	return server, s.startServer(s.Models, server)
}

// RestartModel crashes and restarts a model server under a new ID. Staged pieces survive; no
// version is loaded.
func (s *Site) RestartModel(zone, index int) error {
	s.Store.Delete("servers/" + s.Models[s.Options.ModelIP(zone, index)].options.ID)
	return s.RestartModelStillListed(zone, index)
}

// RestartModelWithSameID crashes and restarts a model server under its old ID, with no version
// loaded and no pieces staged. It announces the given start time.
func (s *Site) RestartModelWithSameID(zone, index int, startTime time.Time) error {
	old := s.Models[s.Options.ModelIP(zone, index)]
	old.Crash()
	options := old.options
	options.Version, options.StartTime = 0, startTime.UnixMilli()
	return s.startServer(s.Models, NewServer(options))
}

// RestartModelStillListed is RestartModel, except that the old record stays listed beside the new
// one, as happens until three heartbeats are missed.
func (s *Site) RestartModelStillListed(zone, index int) error {
	old := s.Models[s.Options.ModelIP(zone, index)]
	staged := old.Crash()
	s.startCount++
	options := old.options
	options.ID, options.Version, options.StartTime = fmt.Sprintf("i-%d-%d-%d", zone, index, s.startCount), 0, time.Now().UnixMilli()
	fresh := NewServer(options)
	fresh.Restage(staged)
	return s.startServer(s.Models, fresh)
}

func (s *Site) startPlain(zone, index int) error {
	s.startCount++
	return s.startServer(s.Plain, NewServer(ServerOptions{
		ID: fmt.Sprintf("p-%d-%d-%d", zone, index, s.startCount), Service: PlainService, Zone: ZoneName(zone), Region: RegionName(zone),
		Address: fmt.Sprintf("%s:%d", s.Options.PlainIP(zone, index), serverPort), Slots: s.Options.Slots, StartTime: time.Now().UnixMilli(),
		EventTime: s.Options.plainTime(), Heartbeat: 400 * time.Millisecond, Store: s.Store, Requests: s.Requests, OnBegin: s.crashesOn,
	}))
}

func (s *Site) startServer(servers map[string]*Server, server *Server) error {
	if err := server.Start(); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(server.options.Address)
	servers[host] = server
	return nil
}

// Configure applies a change to the configuration, publishes it and returns its version.
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

// AddRoute publishes a configuration with a further route to the plain service.
func (s *Site) AddRoute(prefix string) uint64 {
	return s.Configure(func(configuration map[string]any) {
		routes := configuration["routes"].([]any)
		route := maps.Clone(routes[len(routes)-1].(map[string]any))
		route["name"], route["pathPrefix"] = prefix, prefix
		configuration["routes"] = append(routes, route)
	})
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

// evacuationPrefix is the key prefix of evacuations; the zone follows.
const evacuationPrefix = "op/evacuate/"

// Evacuate requests that no new requests are sent to a zone.
func (s *Site) Evacuate(zone string) { s.Store.Put(evacuationPrefix+zone, map[string]any{}) }

// EndEvacuation ends an evacuation. The zone's model servers begin a cold start just before, which
// is announced only by their next heartbeat.
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

// OpenStore starts to serve the store at a machine's address for it.
func (s *Site) OpenStore(role string, zone, index int) error {
	ip := s.Options.EntryIP(zone, index)
	if role == RoleAgent {
		ip = s.Options.ModelIP(zone, index)
	}
	return s.listen(s.storeAddress(role, zone, index), s.Store.HandlerFor(ip))
}

// EntryURL returns the URL of an entry for callers.
func (s *Site) EntryURL(zone, index int) string {
	return fmt.Sprintf("http://%s:%d", s.Options.EntryIP(zone, index), callerPort)
}

// ReadyURL returns the URL of an entry's readiness check.
func (s *Site) ReadyURL(zone, index int) string {
	return fmt.Sprintf("http://%s:%d/-/readyz", s.Options.EntryIP(zone, index), readyPort)
}
