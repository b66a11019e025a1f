package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// RouteKind tells how often a request of a route may run.
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
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Target is the time within which an answer (of a stream: its first event)
	// counts in full, TargetGap the longest pause between events.
	Target    time.Duration
	TargetGap time.Duration
	// Attempts is the most servers that one request may be sent to.
	Attempts int
	// Priority is the rank of requests, 0 first.
	Priority  int
	Anonymous bool
	// Resumable streams may be continued at another server.
	Resumable bool
	Services  []WeightedService
	// AllowedRegions bind every request of the route.
	AllowedRegions AllowedRegions
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the speed and size of a service's model servers. Times are in
// milliseconds where named so; rates are in tokens a second.
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

// Parameters are what the predictions of load go by, as published.
func (e *Engine) Parameters() balance.Server {
	return balance.Server{
		Slots: e.Slots, Stride: e.Stride,
		StepMilliseconds: e.StepMilliseconds, PerSequence: e.PerSequenceMilliseconds, ContextPerThousand: e.ContextPerThousand,
		ReadPerSecond: e.ReadPerSecond, ReadChunk: e.ReadChunk, TypicalPrompt: e.UsualPrompt, TypicalAnswer: e.UsualAnswer,
	}
}

// MissingParameters names the figures of speed and size that are not published, or can't
// be right.
func (e *Engine) MissingParameters() []string {
	var missing []string
	for _, figure := range []struct {
		name  string
		value float64
	}{
		{"slots", float64(e.Slots)}, {"stride", float64(e.Stride)}, {"step_milliseconds", e.StepMilliseconds},
		{"read_per_second", e.ReadPerSecond}, {"usual_prompt", e.UsualPrompt}, {"usual_answer", e.UsualAnswer},
		{"pieces", float64(e.Pieces)}, {"piece_bytes", float64(e.PieceBytes)}, {"layers", float64(e.Layers)},
	} {
		if figure.value <= 0 {
			missing = append(missing, figure.name)
		}
	}
	return missing
}

// CopyTime is how long one copy of the weights takes over a link; 0 when the link's
// capacity is not known.
func (e *Engine) CopyTime(bytesPerSecond float64) time.Duration {
	return transferTime(e.Pieces*e.PieceBytes, bytesPerSecond)
}

// PieceTime is the same for one piece.
func (e *Engine) PieceTime(bytesPerSecond float64) time.Duration {
	return transferTime(e.PieceBytes, bytesPerSecond)
}

func transferTime(bytes int, bytesPerSecond float64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerSecond * float64(time.Second))
}

// Service is a set of servers that answer alike.
type Service struct {
	Name               string
	MaximumConnections int
	// Engine is set for services of model servers.
	Engine *Engine
	// ColdTime is how long a server stays cold after a start, and ColdRate the requests a
	// second that a cold one is made for; both are 0 where servers are warm from the start.
	ColdTime time.Duration
	ColdRate float64
	// OriginAddress is set for the service that hands out weights.
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
	// Priority replaces the route's when it is not nil.
	Priority *int
	// AllowedRegions bind every request that bears one of the keys, in addition to the
	// route's.
	AllowedRegions AllowedRegions
}

// Configuration is one published version, immutable once built by Index.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Tenants is nil when requests need no key.
	Tenants []Tenant

	byHost map[string][]*Route
	byKey  map[string]*Tenant
}

// Index prepares the lookups; it is called once, before the configuration is
// shared.
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

// RouteOf finds the route of a host with the longest prefix of the path.
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

// TenantOf finds the owner of a key.
func (c *Configuration) TenantOf(key string) (*Tenant, bool) {
	tenant, known := c.byKey[key]
	return tenant, known
}

// NeedsKeys reports whether requests must bear a key.
func (c *Configuration) NeedsKeys() bool { return c.Tenants != nil }

// OriginRate is the capacity of the origin's link in bytes a second; 0 when it is not
// published.
func (c *Configuration) OriginRate() float64 {
	if c == nil {
		return 0
	}
	origin, _ := c.Origin()
	return origin.OriginLinkBytesPerSecond
}

// Origin returns the service that hands out weights.
func (c *Configuration) Origin() (Service, bool) {
	for _, service := range c.Services {
		if service.OriginAddress != "" {
			return service, true
		}
	}
	return Service{}, false
}

// ResidencyOf is what the configuration binds a request to, by the route of its host and
// path and the tenant of its key. A route or tenant that it does not have binds nothing.
func (c *Configuration) ResidencyOf(host, path, key string) Residency {
	route, _ := c.RouteOf(host, path)
	tenant, _ := c.TenantOf(key)
	return ResidencyOf(route, tenant)
}
