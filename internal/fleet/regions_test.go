package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// An empty list allows every region. A name that no region has allows none, and an unknown region
// is in no list.
func TestAllowedRegions(t *testing.T) {
	for _, one := range []struct {
		regions AllowedRegions
		region  string
		want    bool
	}{
		{nil, "a", true}, {AllowedRegions{}, "a", true}, {AllowedRegions{}, "", true},
		{AllowedRegions{"a", "b"}, "b", true}, {AllowedRegions{"a", "a"}, "a", true}, {AllowedRegions{"a"}, "b", false},
		{AllowedRegions{"a"}, "", false}, {AllowedRegions{""}, "", false}, {AllowedRegions{""}, "a", false}, {AllowedRegions{"A"}, "a", false},
	} {
		assert.Equal(t, one.want, one.regions.Allows(one.region), "%v, region %q", one.regions, one.region)
	}
}

// A request must satisfy the regions of both its route and its tenant; lists without a common
// region allow none.
func TestResidencyCombinesRouteAndTenant(t *testing.T) {
	route, tenant := &Route{AllowedRegions: AllowedRegions{"a", "b"}}, &Tenant{AllowedRegions: AllowedRegions{"b", "c"}}
	both := ResidencyOf(route, tenant)
	assert.Equal(t, []string{"b"}, both.Regions())
	assert.False(t, both.Allows("a"))
	assert.False(t, both.Allows("c"))
	assert.True(t, both.Allows("b"))
	disjoint := both.Merge(ResidencyOf(nil, &Tenant{AllowedRegions: AllowedRegions{"a"}}))
	assert.Empty(t, disjoint.Regions())
	assert.True(t, disjoint.Restricts())
	assert.Equal(t, []string{"b"}, both.Regions(), "merging changes neither operand")
	assert.False(t, ResidencyOf(&Route{AllowedRegions: AllowedRegions{}}, nil).Restricts())
}

// A request is restricted by its route and by the tenant of its key.
func TestResidencyOfRequest(t *testing.T) {
	configuration := &Configuration{
		Routes: []Route{
			{Host: "h", Prefix: "/", AllowedRegions: AllowedRegions{"a"}},
			{Host: "h", Prefix: "/free/"},
		},
		Tenants: []Tenant{{Keys: []string{"k"}, AllowedRegions: AllowedRegions{"b"}}, {Keys: []string{"free"}}},
	}
	configuration.Index()
	assert.Equal(t, Residency{{"a"}, {"b"}}, configuration.ResidencyOf("H:80", "/x", "k"))
	assert.Equal(t, Residency{{"b"}}, configuration.ResidencyOf("h", "/free/x", "k"))
	assert.Equal(t, Residency{{"a"}}, configuration.ResidencyOf("h", "/x", "free"))
	assert.Empty(t, configuration.ResidencyOf("h", "/free/x", "unknown"))
	assert.Empty(t, configuration.ResidencyOf("other", "/", "unknown"))
}
