package forward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// caseGenerator derives the decisions of a generated case from bytes; each is 0 when the bytes are
// used up.
type caseGenerator struct{ data []byte }

func (d *caseGenerator) intn(limit int) int {
	if len(d.data) == 0 {
		return 0
	}
	next := d.data[0]
	d.data = d.data[1:]
	return int(next) % limit
}

func (d *caseGenerator) flag() bool { return d.intn(2) == 1 }

// Sizes of generated cases.
const (
	generatedZones = 5
	maxServers     = 9
	maxRegions     = 3
	// corpusSize and corpusBytes are the number and size of the generated cases that every test run
	// covers.
	corpusSize  = 400
	corpusBytes = 96
)

// regionNames include one that no zone has, the empty one, and one that differs only in case.
var regionNames = []string{"north", "south", "east", "nowhere", "", "North"}

// regions generates a list of allowed regions; most lists are empty.
func (d *caseGenerator) regions() fleet.AllowedRegions {
	if d.flag() {
		return nil
	}
	var regions fleet.AllowedRegions
	for range d.intn(maxRegions + 1) {
		regions = append(regions, regionNames[d.intn(len(regionNames))])
	}
	return regions
}

const (
	residencyHost    = "h.example"
	residencyKey     = "key"
	residencyPath    = "/x/"
	residencyService = "plain"
)

// configuration generates a configuration whose routes and tenants may match the request.
func (d *caseGenerator) configuration(version uint64) *fleet.Configuration {
	configuration := &fleet.Configuration{Version: version}
	for _, prefix := range []string{"/", residencyPath, "/other/"} {
		if d.intn(4) != 0 {
			configuration.Routes = append(configuration.Routes, fleet.Route{Name: prefix, Host: residencyHost, Prefix: prefix, AllowedRegions: d.regions()})
		}
	}
	for _, key := range []string{residencyKey, "another"} {
		if d.intn(4) != 0 {
			configuration.Tenants = append(configuration.Tenants, fleet.Tenant{Name: key, Keys: []string{key}, AllowedRegions: d.regions()})
		}
	}
	configuration.Index()
	return configuration
}

// allowedLists returns the lists of allowed regions that a configuration holds for the request,
// without using the code under test.
func allowedLists(configuration *fleet.Configuration) [][]string {
	var lists [][]string
	longest := -1
	var ofRoute []string
	for _, route := range configuration.Routes {
		if strings.HasPrefix(residencyPath, route.Prefix) && len(route.Prefix) > longest {
			longest, ofRoute = len(route.Prefix), route.AllowedRegions
		}
	}
	lists = append(lists, ofRoute)
	for _, tenant := range configuration.Tenants {
		if tenant.Name == residencyKey {
			lists = append(lists, tenant.AllowedRegions)
		}
	}
	return lists
}

// mayServe reports whether the lists allow a region, without using the code under test.
func mayServe(region string, lists [][]string) bool {
	for _, list := range lists {
		if len(list) > 0 && (region == "" || !slices.Contains(list, region)) {
			return false
		}
	}
	return true
}

// residencyCase is one generated case.
type residencyCase struct {
	forwarder  *Forwarder
	forwarding *forwarding
	lists      [][]string
	regions    map[string]string
}

// residencyCase generates servers in some zones and states, the configuration that a request was
// admitted under and the newest one.
func (d *caseGenerator) residencyCase() residencyCase {
	c := residencyCase{regions: map[string]string{}}
	for zone := range generatedZones {
		// A zone may be missing from the settings.
		if region := d.intn(4); region < 3 {
			c.regions[fmt.Sprintf("z%d", zone)] = regionNames[region]
		}
	}
	c.forwarder = New(Options{
		Zone: "z0", Regions: c.regions, Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(),
		Peers: func() int { return 1 },
	})
	admitted, newest := d.configuration(1), d.configuration(uint64(d.intn(3)))
	view := &catalog.View{Configuration: newest, Servers: map[string][]fleet.Server{}}
	for number := range d.intn(maxServers) {
		view.Servers[residencyService] = append(view.Servers[residencyService], fleet.Server{
			ID: fmt.Sprintf("i-%d", number), Service: residencyService, Address: fmt.Sprintf("10.0.0.%d:1", number),
			Zone: fmt.Sprintf("z%d", d.intn(generatedZones+1)), Slots: 4, Draining: d.intn(5) == 0,
		})
	}
	c.forwarder.Update(view)
	c.lists = allowedLists(admitted)
	if newest.Version >= admitted.Version {
		c.lists = append(c.lists, allowedLists(newest)...)
	}
	c.forwarding = &forwarding{Forwarder: c.forwarder, request: &Request{
		Call: fleet.CallHeader{Key: residencyKey}, Host: residencyHost, Target: residencyPath + "?q", Route: &fleet.Route{Target: time.Second},
		Configuration: admitted, Residency: admitted.ResidencyOf(residencyHost, residencyPath, residencyKey),
	}}
	c.forwarding.criteria = dispatch.Request{Service: residencyService, Target: c.forwarding.request.Route.Target}
	for _, server := range c.servers() {
		if d.intn(3) == 0 {
			eject(c.forwarder.targets, server)
		}
		if d.intn(5) == 0 {
			c.forwarding.criteria.Tried = append(c.forwarding.criteria.Tried, server)
		}
		if d.intn(4) == 0 {
			c.forwarding.criteria.Queried = append(c.forwarding.criteria.Queried, server)
		}
	}
	return c
}

// servers returns all servers.
func (c residencyCase) servers() []*dispatch.Candidate {
	return c.forwarder.targets.core.Candidates(residencyService)
}

// left returns the servers that are available and in an allowed region.
func (c residencyCase) left() []*dispatch.Candidate {
	draining := map[string]bool{}
	for _, server := range c.forwarder.targets.currentView().Servers[residencyService] {
		draining[server.ID] = server.Draining
	}
	var left []*dispatch.Candidate
	for _, server := range c.servers() {
		if !draining[server.ID] && !slices.Contains(c.forwarding.criteria.Tried, server) && mayServe(c.regions[server.Zone], c.lists) {
			left = append(left, server)
		}
	}
	return left
}

// Whatever the configurations and the states of the servers are, a request is sent, and load
// queries are made, only in regions that every list allows; it is refused only if no server is left
// there.
func FuzzResidency(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 1))
	for range corpusSize {
		data := make([]byte, corpusBytes)
		for at := range data {
			data[at] = byte(random.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := (&caseGenerator{data: data}).residencyCase()
		c.forwarding.bindResidency()
		left := c.left()
		for _, queried := range c.forwarder.targets.serversToQuery(&c.forwarding.criteria, nil) {
			assert.Contains(t, left, queried)
		}
		chosen, refusal := c.forwarder.targets.choose(c.forwarding)
		if refusal != nil {
			assert.Empty(t, left, "refused with %s though a server is left", refusal.Reason)
			assert.Equal(t, fault.ExecutionNotRun, refusal.Execution)
			assert.Positive(t, refusal.RetryAfter)
			return
		}
		assert.Contains(t, left, chosen.Candidate)
		assert.True(t, c.forwarder.stillAllowed(c.forwarding.request, chosen.target))
	})
}

// The generated cases cover every outcome, so that the fuzz test is not vacuous.
func TestGeneratedResidencyCasesCoverEveryOutcome(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sorts := map[string]int{}
	for range corpusSize {
		data := make([]byte, corpusBytes)
		for at := range data {
			data[at] = byte(random.Uint32())
		}
		c := (&caseGenerator{data: data}).residencyCase()
		c.forwarding.bindResidency()
		_, refusal := c.forwarder.targets.choose(c.forwarding)
		switch {
		case refusal == nil && c.forwarding.criteria.Residency.Restricts():
			sorts["sent within a residency"]++
		case refusal == nil:
			sorts["sent anywhere"]++
		default:
			sorts[string(refusal.Reason)]++
		}
	}
	t.Log(sorts)
	for _, sort := range []string{"sent within a residency", "sent anywhere", string(fault.ReasonResidency), string(fault.ReasonNoReplica)} {
		assert.GreaterOrEqual(t, sorts[sort], 10, sort)
	}
}

// residencyTargets returns a forwarder for three zones in two regions.
func residencyTargets(log *logging.Logger) *Forwarder {
	f := New(Options{
		Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}, Log: log, Registry: prometheus.NewRegistry(),
		Policy: DefaultPolicy(), Peers: func() int { return 1 },
	})
	return f
}

// The retry time depends on the servers of the allowed regions, not on another region's. If the
// fleet has no zone in any of them, it is the time that an operator takes.
func TestRetryAfterIsThatOfTheAllowedRegions(t *testing.T) {
	f := residencyTargets(logging.Nop())
	engine := &fleet.Engine{Pieces: 100, PieceBytes: 25_000, Warm: 100 * time.Millisecond}
	configuration := &fleet.Configuration{Services: map[string]fleet.Service{
		"s": {Engine: engine}, "o": {OriginAddress: "10.0.0.1:1", OriginLinkBytesPerSecond: 1e6},
	}}
	f.Update(&catalog.View{Configuration: configuration, Servers: map[string][]fleet.Server{"s": {
		{ID: "near", Service: "s", Address: "10.0.1.1:1", Zone: "a1"}, {ID: "far", Service: "s", Address: "10.0.2.1:1", Zone: "b1"},
	}}})
	now := time.Now()
	f.ApplyStatus(fleet.MachineStatus{Address: "10.0.1.1:1", Reachable: true, MissingPieces: 60, SwitchMilliseconds: fleet.NoSwitch}, now, false)
	f.ApplyStatus(fleet.MachineStatus{Address: "10.0.2.1:1", Reachable: true, MissingPieces: 20, SwitchMilliseconds: fleet.NoSwitch}, now, false)
	refused := func(regions ...string) time.Duration {
		w := &forwarding{Forwarder: f, request: &Request{}, criteria: dispatch.Request{Service: "s"}}
		f.targets.fillEngine(&w.criteria)
		if len(regions) > 0 {
			w.criteria.Residency = fleet.Residency{regions}
		}
		_, refusal := f.targets.choose(w)
		require.NotNil(t, refusal)
		return refusal.RetryAfter
	}
	// One copy takes 2.5 s over a link like the origin's.
	const afterTransfer = 100*time.Millisecond + 800*time.Millisecond/2
	assert.Equal(t, 1500*time.Millisecond+afterTransfer, refused("a"))
	assert.Equal(t, 500*time.Millisecond+afterTransfer, refused("b"))
	assert.Equal(t, refused("b"), refused(), "without residency the shortest time counts")
	assert.Equal(t, 5*time.Second, refused("c"))
}

// Residency is the reason for a refusal only if another region's server would have been sent the
// request.
func TestResidencyIsTheReasonOnlyWhereItDecides(t *testing.T) {
	f := residencyTargets(logging.Nop())
	view := &catalog.View{Servers: map[string][]fleet.Server{residencyService: {{ID: "far", Service: residencyService, Address: "10.0.2.1:1", Zone: "b1", Slots: 1}}}}
	f.Update(view)
	w := &forwarding{Forwarder: f, request: &Request{}, criteria: dispatch.Request{Service: residencyService, Residency: fleet.Residency{{"a"}}}}
	_, refusal := f.targets.choose(w)
	require.NotNil(t, refusal)
	assert.Equal(t, fault.ReasonResidency, refusal.Reason)
	f.Update(&catalog.View{Servers: map[string][]fleet.Server{}})
	_, refusal = f.targets.choose(w)
	require.NotNil(t, refusal)
	assert.Equal(t, fault.ReasonNoReplica, refusal.Reason)
}

// If a new configuration disallows the server's region while a connection is being made, nothing is
// written, and the attempt is known not to have run.
func TestNothingIsSentToARegionDisallowedWhileConnecting(t *testing.T) {
	f := residencyTargets(logging.Nop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var received atomic.Int64
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			count, _ := io.Copy(io.Discard, connection)
			received.Add(count)
		}
	}()
	wide := &fleet.Configuration{Version: 1, Routes: []fleet.Route{{Host: residencyHost, Prefix: "/"}}}
	wide.Index()
	narrow := &fleet.Configuration{Version: 2, Routes: []fleet.Route{{Host: residencyHost, Prefix: "/", AllowedRegions: fleet.AllowedRegions{"a"}}}}
	narrow.Index()
	servers := map[string][]fleet.Server{residencyService: {{ID: "far", Service: residencyService, Address: listener.Addr().String(), Zone: "b1", Slots: 1}}}
	f.Update(&catalog.View{Configuration: wide, Servers: servers})
	request := &Request{Host: residencyHost, Target: residencyPath, Route: &wide.Routes[0], Configuration: wide, Deadline: time.Now().Add(time.Second), Header: http.Header{}}
	w := &forwarding{Forwarder: f, request: request}
	w.criteria = dispatch.Request{Service: residencyService}
	w.bindResidency()
	chosen, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	f.Update(&catalog.View{Configuration: narrow, Servers: servers})
	_, failed := f.open(t.Context(), request, fleet.SendHeader{}, chosen.target, nil)
	require.NotNil(t, failed)
	assert.Equal(t, fault.ReasonResidency, failed.reason)
	assert.Equal(t, fault.ExecutionNotRun, failed.execution)
	assert.Zero(t, received.Load())
}

// logBuffer collects log lines.
type logBuffer struct{ bytes.Buffer }

// Sync implements zapcore.WriteSyncer.
func (*logBuffer) Sync() error { return nil }

// Faults in lists of regions are logged once per configuration, with its version and the names of a
// few owners, however many there are.
func TestFaultyRegionListsAreLogged(t *testing.T) {
	lines := &logBuffer{}
	log := logging.NewBounded(zapcore.InfoLevel, "entry-1", lines)
	f := residencyTargets(log)
	configuration := &fleet.Configuration{
		Version: 7,
		Routes:  []fleet.Route{{Name: "twice", AllowedRegions: fleet.AllowedRegions{"a", "a"}}, {Name: "free", AllowedRegions: fleet.AllowedRegions{}}},
		Tenants: []fleet.Tenant{{Name: "partly", AllowedRegions: fleet.AllowedRegions{"b", "c"}}},
	}
	for number := range 9 {
		configuration.Routes = append(configuration.Routes, fleet.Route{Name: fmt.Sprintf("lost-%d", number), AllowedRegions: fleet.AllowedRegions{"c"}})
	}
	for range 2 {
		f.Update(&catalog.View{Configuration: configuration})
	}
	log.Sync()
	type line struct {
		Event         string   `json:"event"`
		Fault         string   `json:"fault"`
		Region        string   `json:"region"`
		Owners        []string `json:"owners"`
		OwnerCount    int      `json:"owner_count"`
		Configuration uint64   `json:"configuration"`
	}
	found := map[string]line{}
	for text := range strings.Lines(lines.String()) {
		var one line
		require.NoError(t, json.Unmarshal([]byte(text), &one))
		assert.NotContains(t, found, one.Fault, "logged twice")
		found[one.Fault] = one
	}
	event := logging.RegionsInvalid.Number
	lost := []string{"route lost-0", "route lost-1", "route lost-2", "route lost-3", "route lost-4"}
	assert.Equal(t, map[string]line{
		faultRepeatedRegion: {Event: event, Fault: faultRepeatedRegion, Region: "a", Owners: []string{"route twice"}, OwnerCount: 1, Configuration: 7},
		faultUnknownRegion:  {Event: event, Fault: faultUnknownRegion, Region: "c", Owners: lost, OwnerCount: 10, Configuration: 7},
		faultNoRegion:       {Event: event, Fault: faultNoRegion, Region: "c", Owners: lost, OwnerCount: 9, Configuration: 7},
	}, found)
	assert.InDelta(t, 9, gaugeValue(t, f, "pinevane_unserved_residencies"), 0)
}

// gaugeValue returns the exported value of a gauge.
func gaugeValue(t *testing.T, f *Forwarder, name string) float64 {
	t.Helper()
	families, err := f.options.Registry.(*prometheus.Registry).Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatal("no gauge " + name)
	return 0
}

// The load on a region's servers from requests that only that region may serve is exported by
// service and region.
func TestBoundLoadIsPublished(t *testing.T) {
	f := residencyTargets(logging.Nop())
	engine := &fleet.Engine{Pieces: 100, PieceBytes: 25_000}
	f.Update(&catalog.View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {Engine: engine}}},
		Servers:       map[string][]fleet.Server{"s": {{ID: "near", Service: "s", Address: "10.0.1.1:1", Zone: "a1"}, {ID: "far", Service: "s", Address: "10.0.2.1:1", Zone: "b1"}}},
	})
	for range 10 {
		w := &forwarding{Forwarder: f, request: &Request{}, criteria: dispatch.Request{Service: "s", Prompt: 1000, Residency: fleet.Residency{{"b"}}}}
		f.targets.fillEngine(&w.criteria)
		_, _ = f.targets.choose(w) // Counts as load whether it is refused or not.
	}
	assert.Positive(t, gaugeValue(t, f, "pinevane_bound_load"))
}
