package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/peering"
)

// configurationRecord returns a configuration with two services, one of them with model servers,
// and one route.
func configurationRecord(revision uint64) mirror.Record {
	value := `{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","service":"m"}],
		"services":[{"name":"m","engine":{"slots":4,"chunks":8,"chunkBytes":16}},{"name":"w","origin":"10.0.0.9:80","linkMbps":8}],
		"tenants":[{"name":"t","apiKeys":["k"]}]}`
	return mirror.Record{Key: "op/config", Value: []byte(value), Revision: revision}
}

// An agent is sent the services of a configuration once, without its routes and tenants, and
// requests no configuration.
func TestAgentsAreSentServicesOnly(t *testing.T) {
	entry, agent := newTestCatalog(), newTestCatalog()
	agent.options.Role = RoleAgent
	peer := &peerLink{}
	entry.mutex.Lock()
	assert.Nil(t, entry.servicesFor(peer), "nothing is known yet")
	entry.mutex.Unlock()

	entry.applyWatched([]mirror.Record{configurationRecord(7)})
	entry.mutex.Lock()
	published := entry.servicesFor(peer)
	again := entry.servicesFor(peer)
	entry.mutex.Unlock()
	require.NotNil(t, published)
	assert.Nil(t, again, "it was sent")

	agent.applyServices(&peering.Link{}, *published)
	configuration := agent.View().Configuration
	require.NotNil(t, configuration)
	assert.Equal(t, entry.View().Configuration.Services, configuration.Services)
	assert.Empty(t, configuration.Routes)
	assert.Empty(t, configuration.Tenants)
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	assert.Empty(t, agent.missingHeads(map[string]recordHead{"op/config": {Revision: 9}}))
	assert.Empty(t, agent.newerHeads(map[string]recordHead{"op/config": {Revision: 7}}), "it holds the part that it uses")
	assert.NotEmpty(t, agent.newerHeads(map[string]recordHead{"op/config": {Revision: 8}}))
}

// A configuration that an agent has is not replaced by the services of an older one.
func TestServicesNeverGoBack(t *testing.T) {
	agent := newTestCatalog()
	agent.options.Role = RoleAgent
	agent.applyWatched([]mirror.Record{configurationRecord(7)})
	before := agent.View()
	agent.applyServices(&peering.Link{}, publishedServices{Version: 2, Revision: 5})
	assert.Same(t, before, agent.View())
}

// A newer configuration is announced at once to the entries of the local zone.
func TestNewConfigurationsAreAnnouncedAtOnce(t *testing.T) {
	entry := newTestCatalog()
	before := entry.freshSequence
	entry.applyReceived([]mirror.Record{configurationRecord(7)}, nil)
	assert.Greater(t, entry.freshSequence, before)
	assert.Zero(t, entry.storeFreshSequence, "other zones receive it from the same source")
	entry.applyWatched([]mirror.Record{configurationRecord(8)})
	assert.Equal(t, entry.freshSequence, entry.storeFreshSequence)
}
