package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
)

// Guards against a request that runs with a key that no configuration holds, because its route needs no key.
func TestUnknownKeyIsRefusedOnEveryRoute(t *testing.T) {
	configuration := &fleet.Configuration{
		Routes:  []fleet.Route{{Name: "open", Host: "h", Prefix: "/open/", Anonymous: true}, {Name: "closed", Host: "h", Prefix: "/closed/"}},
		Tenants: []fleet.Tenant{{Name: "t", Keys: []string{"known"}}},
	}
	configuration.Index()
	for _, test := range []struct {
		path, key string
		admitted  bool
		tenant    string
	}{
		{"/open/x", "", true, ""}, {"/open/x", "known", true, "t"}, {"/open/x", "unknown", false, ""},
		{"/closed/x", "", false, ""}, {"/closed/x", "known", true, "t"}, {"/closed/x", "unknown", false, ""},
	} {
		request := &forward.Request{Host: "h", Target: test.path, Call: fleet.CallHeader{Key: test.key}}
		refusal := admit(configuration, request)
		if !test.admitted {
			require.NotNil(t, refusal, "%+v", test)
			assert.Equal(t, fault.ReasonUnauthorized, refusal.Reason)
			continue
		}
		assert.Nil(t, refusal, "%+v", test)
		assert.Equal(t, test.tenant, request.Tenant)
	}
}
