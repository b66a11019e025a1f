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

// draws turns bytes into the decisions of a generated case; without more bytes each is 0.
type draws struct{ data []byte }

func (d *draws) below(limit int) int {
	if len(d.data) == 0 {
		return 0
	}
	next := d.data[0]
	d.data = d.data[1:]
	return int(next) % limit
}

func (d *draws) yes() bool { return d.below(2) == 1 }

// Sizes of generated cases.
const (
	generatedZones = 5
	mostServers    = 9
	mostRegions    = 3
	// corpusSize and corpusBytes are the generated cases that every run of the tests plays.
	corpusSize  = 400
	corpusBytes = 96
)

// regionNames include one that no zone has, the empty one, and one in another case.
var regionNames = []string{"north", "south", "east", "nowhere", "", "North"}

// regions draws a list of allowed regions; most lists are empty.
func (d *draws) regions() fleet.AllowedRegions {
	if d.yes() {
		return nil
	}
	var regions fleet.AllowedRegions
	for range d.below(mostRegions + 1) {
		regions = append(regions, regionNames[d.below(len(regionNames))])
	}
	return regions
}

const (
	residencyHost   = "h.example"
	residencyKey    = "key"
	residencyPath   = "/x/"
	residencyPlaces = "plain"
)

// configuration draws one with a route, and a tenant, that the request may fall under.
func (d *draws) configuration(version uint64) *fleet.Configuration {
	configuration := &fleet.Configuration{Version: version}
	for _, prefix := range []string{"/", residencyPath, "/other/"} {
		if d.below(4) != 0 {
			configuration.Routes = append(configuration.Routes, fleet.Route{Name: prefix, Host: residencyHost, Prefix: prefix, AllowedRegions: d.regions()})
		}
	}
	for _, key := range []string{residencyKey, "another"} {
		if d.below(4) != 0 {
			configuration.Tenants = append(configuration.Tenants, fleet.Tenant{Name: key, Keys: []string{key}, AllowedRegions: d.regions()})
		}
	}
	configuration.Index()
	return configuration
}

// bound lists what a configuration's text says of the request, found without the code that is
// tested.
func bound(configuration *fleet.Configuration) [][]string {
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

// mayServe judges a server by the lists, without the code that is tested.
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
	forwarder *Forwarder
	work      *work
	lists     [][]string
	regions   map[string]string
}

// draw makes servers in some zones and states, the configuration that a request was admitted
// under and the newest one.
func (d *draws) residencyCase() residencyCase {
	c := residencyCase{regions: map[string]string{}}
	for zone := range generatedZones {
		// A zone may be missing from the settings.
		if region := d.below(4); region < 3 {
			c.regions[fmt.Sprintf("z%d", zone)] = regionNames[region]
		}
	}
	c.forwarder = New(Options{
		Zone: "z0", Regions: c.regions, Log: logging.Nop(), Registry: prometheus.NewRegistry(), Policy: DefaultPolicy(),
		Peers: func() int { return 1 },
	})
	admitted, newest := d.configuration(1), d.configuration(uint64(d.below(3)))
	view := &catalog.View{Configuration: newest, Servers: map[string][]fleet.Server{}}
	for number := range d.below(mostServers) {
		view.Servers[residencyPlaces] = append(view.Servers[residencyPlaces], fleet.Server{
			ID: fmt.Sprintf("i-%d", number), Service: residencyPlaces, Address: fmt.Sprintf("10.0.0.%d:1", number),
			Zone: fmt.Sprintf("z%d", d.below(generatedZones+1)), Slots: 4, Draining: d.below(5) == 0,
		})
	}
	c.forwarder.Update(view)
	c.lists = bound(admitted)
	if newest.Version >= admitted.Version {
		c.lists = append(c.lists, bound(newest)...)
	}
	c.work = &work{Forwarder: c.forwarder, request: &Request{
		Call: fleet.CallHeader{Key: residencyKey}, Host: residencyHost, Target: residencyPath + "?q", Route: &fleet.Route{Target: time.Second},
		Configuration: admitted, Residency: admitted.ResidencyOf(residencyHost, residencyPath, residencyKey),
	}}
	c.work.wanted = dispatch.Request{Service: residencyPlaces, Target: c.work.request.Route.Target}
	for _, server := range c.servers() {
		if d.below(3) == 0 {
			eject(c.forwarder.targets, server)
		}
		if d.below(5) == 0 {
			c.work.wanted.Tried = append(c.work.wanted.Tried, server)
		}
		if d.below(4) == 0 {
			c.work.wanted.Queried = append(c.work.wanted.Queried, server)
		}
	}
	return c
}

// servers lists all servers.
func (c residencyCase) servers() []*dispatch.Candidate {
	return c.forwarder.targets.core.Candidates(residencyPlaces)
}

// left lists the servers that are in place and in an allowed region.
func (c residencyCase) left() []*dispatch.Candidate {
	draining := map[string]bool{}
	for _, server := range c.forwarder.targets.currentView().Servers[residencyPlaces] {
		draining[server.ID] = server.Draining
	}
	var left []*dispatch.Candidate
	for _, server := range c.servers() {
		if !draining[server.ID] && !slices.Contains(c.work.wanted.Tried, server) && mayServe(c.regions[server.Zone], c.lists) {
			left = append(left, server)
		}
	}
	return left
}

// Whatever the configurations say and the servers do, a request is sent, and its load asked
// for, only in regions that every list allows; and it is refused only where none is left.
func FuzzHomes(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 1))
	for range corpusSize {
		data := make([]byte, corpusBytes)
		for at := range data {
			data[at] = byte(random.Uint32())
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := (&draws{data: data}).residencyCase()
		c.work.bindResidency()
		left := c.left()
		for _, asked := range c.forwarder.targets.toAsk(&c.work.wanted, nil) {
			assert.Contains(t, left, asked)
		}
		chosen, refusal := c.forwarder.targets.choose(c.work)
		if refusal != nil {
			assert.Empty(t, left, "refused with %s though a server is left", refusal.Reason)
			assert.Equal(t, fault.ExecutionNotRun, refusal.Execution)
			assert.Positive(t, refusal.RetryAfter)
			return
		}
		assert.Contains(t, left, chosen.Candidate)
		assert.True(t, c.forwarder.stillAllowed(c.work.request, chosen.target))
	})
}

// The generated cases are of every sort, so that the property is not empty.
func TestGeneratedResidenciesAreOfEverySort(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sorts := map[string]int{}
	for range corpusSize {
		data := make([]byte, corpusBytes)
		for at := range data {
			data[at] = byte(random.Uint32())
		}
		c := (&draws{data: data}).residencyCase()
		c.work.bindResidency()
		_, refusal := c.forwarder.targets.choose(c.work)
		switch {
		case refusal == nil && c.work.wanted.Residency.Restrict():
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

// residencyTargets is a fleet of two regions with one plain server in each zone.
func residencyTargets(log *logging.Logger) *Forwarder {
	f := New(Options{
		Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}, Log: log, Registry: prometheus.NewRegistry(),
		Policy: DefaultPolicy(), Peers: func() int { return 1 },
	})
	return f
}

// The time to return goes by the servers of the allowed regions: it is not another region's,
// and where the fleet has no zone in any of them it is that of an operator.
func TestTimeToReturnIsThatOfTheAllowedRegions(t *testing.T) {
	f := residencyTargets(logging.Nop())
	engine := &fleet.Engine{Pieces: 100, PieceBytes: 25_000, Warm: 100 * time.Millisecond}
	configuration := &fleet.Configuration{Services: map[string]fleet.Service{
		"s": {Engine: engine}, "o": {OriginAddress: "10.0.0.1:1", OriginLinkBytesPerSecond: 1e6},
	}}
	f.Update(&catalog.View{Configuration: configuration, Servers: map[string][]fleet.Server{"s": {
		{ID: "near", Service: "s", Address: "10.0.1.1:1", Zone: "a1"}, {ID: "far", Service: "s", Address: "10.0.2.1:1", Zone: "b1"},
	}}})
	now := time.Now()
	f.TakeStatus(fleet.MachineStatus{Address: "10.0.1.1:1", Reachable: true, Missing: 60, SwitchMilliseconds: fleet.NoSwitch}, now, false)
	f.TakeStatus(fleet.MachineStatus{Address: "10.0.2.1:1", Reachable: true, Missing: 20, SwitchMilliseconds: fleet.NoSwitch}, now, false)
	refused := func(regions ...string) time.Duration {
		w := &work{Forwarder: f, request: &Request{}, wanted: dispatch.Request{Service: "s"}}
		f.targets.describe(&w.wanted)
		if len(regions) > 0 {
			w.wanted.Residency = fleet.Residency{regions}
		}
		_, refusal := f.targets.choose(w)
		require.NotNil(t, refusal)
		return refusal.RetryAfter
	}
	// One copy takes 2.5 s over a link like the origin's.
	const afterTransfer = 100*time.Millisecond + 800*time.Millisecond/2
	assert.Equal(t, 1500*time.Millisecond+afterTransfer, refused("a"))
	assert.Equal(t, 500*time.Millisecond+afterTransfer, refused("b"))
	assert.Equal(t, refused("b"), refused(), "without residency the soonest counts")
	assert.Equal(t, 5*time.Second, refused("c"))
}

// A home decides a refusal only where another region's server would have been sent the
// request.
func TestResidencyIsTheReasonOnlyWhereItDecides(t *testing.T) {
	f := residencyTargets(logging.Nop())
	view := &catalog.View{Servers: map[string][]fleet.Server{residencyPlaces: {{ID: "far", Service: residencyPlaces, Address: "10.0.2.1:1", Zone: "b1", Slots: 1}}}}
	f.Update(view)
	w := &work{Forwarder: f, request: &Request{}, wanted: dispatch.Request{Service: residencyPlaces, Residency: fleet.Residency{{"a"}}}}
	_, refusal := f.targets.choose(w)
	require.NotNil(t, refusal)
	assert.Equal(t, fault.ReasonResidency, refusal.Reason)
	f.Update(&catalog.View{Servers: map[string][]fleet.Server{}})
	_, refusal = f.targets.choose(w)
	require.NotNil(t, refusal)
	assert.Equal(t, fault.ReasonNoReplica, refusal.Reason)
}

// While a connection is made a configuration may come that does not allow the server's region
// any more: nothing is written, and the attempt is known not to have run.
func TestNothingIsWrittenAfterARegionIsNoLongerAllowed(t *testing.T) {
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
	servers := map[string][]fleet.Server{residencyPlaces: {{ID: "far", Service: residencyPlaces, Address: listener.Addr().String(), Zone: "b1", Slots: 1}}}
	f.Update(&catalog.View{Configuration: wide, Servers: servers})
	request := &Request{Host: residencyHost, Target: residencyPath, Route: &wide.Routes[0], Configuration: wide, Deadline: time.Now().Add(time.Second), Header: http.Header{}}
	w := &work{Forwarder: f, request: request}
	w.wanted = dispatch.Request{Service: residencyPlaces}
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

// logLines collects what is logged.
type logLines struct{ bytes.Buffer }

// Sync implements zapcore.WriteSyncer.
func (*logLines) Sync() error { return nil }

// What can't be meant in lists of regions is logged once for a configuration, with its
// version and the names of a few owners, however many there are.
func TestDoubtfulRegionsAreLogged(t *testing.T) {
	lines := &logLines{}
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

// gaugeValue reads a gauge as it is published.
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

// What requests that only one region may serve ask of its servers is published, by service and
// region.
func TestBoundLoadIsPublished(t *testing.T) {
	f := residencyTargets(logging.Nop())
	engine := &fleet.Engine{Pieces: 100, PieceBytes: 25_000}
	f.Update(&catalog.View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {Engine: engine}}},
		Servers:       map[string][]fleet.Server{"s": {{ID: "near", Service: "s", Address: "10.0.1.1:1", Zone: "a1"}, {ID: "far", Service: "s", Address: "10.0.2.1:1", Zone: "b1"}}},
	})
	for range 10 {
		w := &work{Forwarder: f, request: &Request{}, wanted: dispatch.Request{Service: "s", Prompt: 1000, Residency: fleet.Residency{{"b"}}}}
		f.targets.describe(&w.wanted)
		_, _ = f.targets.choose(w) // Refused or not, it is asked for.
	}
	assert.Positive(t, gaugeValue(t, f, "pinevane_bound_load"))
}
