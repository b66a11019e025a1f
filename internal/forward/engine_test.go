package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
)

// VERSION: guards against requests of a model service that are sent as to a plain one, without a check
// of the weights' version, since the configuration changed between their admission and their send.
func TestEngineIsThatOfTheAdmissionWhereNoneIsInForce(t *testing.T) {
	without := &fleet.Configuration{Version: 2, Services: map[string]fleet.Service{"plain": {}}}
	with := &fleet.Configuration{Version: 1, Services: map[string]fleet.Service{"language": {Engine: &fleet.Engine{Slots: 16}}, "plain": {}}}
	f := testForwarder()
	f.targets.bounds.Store(&fleet.Bounds{})
	fill := func(criteria *dispatch.Request, admitted *fleet.Configuration) {
		f.targets.fillEngine(criteria)
		f.targets.fillEngineOfAdmission(criteria, admitted)
	}
	f.Update(&catalog.View{Configuration: without})
	for service, isModel := range map[string]bool{"language": true, "plain": false, "unknown": false} {
		criteria := dispatch.Request{Service: service}
		fill(&criteria, with)
		assert.Equal(t, isModel, criteria.Engine != nil, service)
	}
	criteria := dispatch.Request{Service: "language"}
	fill(&criteria, without)
	assert.Nil(t, criteria.Engine)
	f.Update(&catalog.View{Configuration: with})
	fill(&criteria, without)
	assert.NotNil(t, criteria.Engine, "the one in force goes first")
}
