package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/fleet"
)

// viewWithEngine returns a view with a listed server of a service of model servers.
func viewWithEngine() *View {
	view := &View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"language": {Engine: &fleet.Engine{}}}},
		Servers:       map[string][]fleet.Server{"language": {{ID: "i", Address: "10.0.0.9:80", Zone: "z"}}},
	}
	view.collectAgents()
	return view
}

// Guards against requests that are given up because their service was removed from the configuration:
// the links to its agents stay while servers of it are listed.
func TestRemovedServiceKeepsItsAgentsWhileServersAreListed(t *testing.T) {
	view := viewWithEngine()
	agents := map[string]string{"10.0.0.9": "z"}
	assert.Equal(t, agents, view.Agents())
	for range 2 {
		view.Configuration = &fleet.Configuration{}
		view.collectAgents()
		assert.Equal(t, agents, view.Agents())
	}
	view.Servers = nil
	view.collectAgents()
	assert.Empty(t, view.Agents())
}

// Guards against links to machines without agents: a service that is published without model servers
// has none, whatever it was before.
func TestServiceThatLosesItsEngineHasNoAgents(t *testing.T) {
	view := viewWithEngine()
	view.Configuration = &fleet.Configuration{Services: map[string]fleet.Service{"language": {}}}
	view.collectAgents()
	assert.Empty(t, view.Agents())
}
