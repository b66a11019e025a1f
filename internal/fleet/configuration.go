package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// RouteKind is how often a request of a route may run.
type RouteKind int

// The kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota + 1
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce
	// Streaming requests are answered with a series of events.
	Streaming
)

// WeightedService is one target of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends requests of a host under a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Target is the time within which an answer (of a stream: its first event) counts in full.
	// TargetGap is the longest pause between events.
	Target    time.Duration
	TargetGap time.Duration
	// Attempts is the maximum number of servers that a request may be sent to.
	Attempts int
	// Priority is the rank of requests; 0 is the highest.
	Priority  int
	Anonymous bool
	// Resumable streams may be continued at another server.
	Resumable bool
	Services  []WeightedService
	// AllowedRegions restricts every request of the route.
	AllowedRegions AllowedRegions
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the speed and size of a service's model servers. Times are in milliseconds where
// the name says so; rates are in tokens per second.
type Engine struct {
	Slots                   int
	CacheTokens             int
	Stride                  int
	StepMilliseconds        float64
	PerSequenceMilliseconds float64
	ContextPerThousand      float64
	ReadPerSecond           float64
	ReadChunk               int
	UsualPrompt             float64
	UsualAnswer             float64
	Models                  []string
	Layers                  int
	Pieces                  int
	PieceBytes              int
	// Warm is the time to take a staged version into service.
	Warm time.Duration
}

// Parameters returns the published values that load predictions are computed from.
func (e *Engine) Parameters() balance.Server {
	return balance.Server{
		Slots: e.Slots, Stride: e.Stride,
		StepMilliseconds: e.StepMilliseconds, PerSequence: e.PerSequenceMilliseconds, ContextPerThousand: e.ContextPerThousand,
		ReadPerSecond: e.ReadPerSecond, ReadChunk: e.ReadChunk, TypicalPrompt: e.UsualPrompt, TypicalAnswer: e.UsualAnswer,
	}
}

// MissingParameters names the performance values that are not published or not positive.
func (e *Engine) MissingParameters() []string {
	var missing []string
	for _, parameter := range []struct {
		name  string
		value float64
	}{
		{"slots", float64(e.Slots)}, {"stride", float64(e.Stride)}, {"step_milliseconds", e.StepMilliseconds},
		{"read_per_second", e.ReadPerSecond}, {"usual_prompt", e.UsualPrompt}, {"usual_answer", e.UsualAnswer},
		{"pieces", float64(e.Pieces)}, {"piece_bytes", float64(e.PieceBytes)}, {"layers", float64(e.Layers)},
	} {
		if parameter.value <= 0 {
			missing = append(missing, parameter.name)
		}
	}
	return missing
}

// CopyTime returns how long a link takes for one copy of the weights, or 0 if the link's capacity
// is unknown.
func (e *Engine) CopyTime(bytesPerSecond float64) time.Duration {
	return transferTime(e.Pieces*e.PieceBytes, bytesPerSecond)
}

// PieceTime returns how long a link takes for one piece, or 0 if the link's capacity is unknown.
func (e *Engine) PieceTime(bytesPerSecond float64) time.Duration {
	return transferTime(e.PieceBytes, bytesPerSecond)
}

func transferTime(bytes int, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}

// Service is a set of interchangeable servers.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health check, empty if there is none.
	HealthPath         string
	MaximumConnections int
	// Engine is set for services of model servers.
	Engine *Engine
	// ColdTime is how long a server stays cold after a start, and ColdRate the requests per second
	// that a cold server is built for; both are 0 where servers are warm from the start.
	ColdTime time.Duration
	ColdRate float64
	// OriginAddress is set for the service that serves the weights.
	OriginAddress string
	// OriginLinkBytesPerSecond is the capacity of the origin's link.
	OriginLinkBytesPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tenant owns the keys of its callers.
type Tenant struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is not nil.
	Priority *int
	// AllowedRegions restricts every request that carries one of the keys, in addition to the
	// route's regions.
	AllowedRegions AllowedRegions
}

// Configuration is one published version, immutable once built by Index.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants is nil if requests need no key.
	Tenants []Tenant

	byHost map[string][]*Route
	byKey  map[string]*Tenant
}

// Index builds the lookup tables. It is called once, before the configuration is shared.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byKey = map[string]*Tenant{}
	for i := range c.Tenants {
		for _, key := range c.Tenants[i].Keys {
			c.byKey[key] = &c.Tenants[i]
		}
	}
}

// RouteOf returns the route of a host with the longest prefix of the path.
func (c *Configuration) RouteOf(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// TenantOf returns the owner of a key.
func (c *Configuration) TenantOf(key string) (*Tenant, bool) {
	tenant, known := c.byKey[key]
	return tenant, known
}

// NeedsKeys reports whether requests must carry a key.
func (c *Configuration) NeedsKeys() bool { return c.Tenants != nil }

// OriginRate returns the capacity of the origin's link in bytes per second, or 0 if it is not
// published.
func (c *Configuration) OriginRate() float64 {
	if c == nil {
		return 0
	}
	origin, _ := c.Origin()
	return origin.OriginLinkBytesPerSecond
}

// Origin returns the service that serves the weights.
func (c *Configuration) Origin() (Service, bool) {
	for _, service := range c.Services {
		if service.OriginAddress != "" {
			return service, true
		}
	}
	return Service{}, false
}

// ResidencyOf returns the region restrictions of a request, from the route of its host and path and
// the tenant of its key. An unknown route or tenant adds no restriction.
func (c *Configuration) ResidencyOf(host, path, key string) Residency {
	route, _ := c.RouteOf(host, path)
	tenant, _ := c.TenantOf(key)
	return ResidencyOf(route, tenant)
}
