package demo

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/deployment"
	"pinevane.example/pinevane/internal/workload"
)

// Kinds of the demo's requests, and lengths of their answers in tokens.
const (
	shortTokens = 24
	longTokens  = 160
	// longRatio, unaryRatio and callRatio are fractions of the requests.
	longRatio  = 0.1
	unaryRatio = 0.3
	callRatio  = 0.4
)

func (d *demo) linkFraction() float64 { return d.snapshot.Rollout.LinkFraction }

func (d *demo) tenants() []string { return slices.Sorted(maps.Keys(d.snapshot.Tenants)) }

// nextRequest generates a request of a random tenant: a short or long stream, a non-streamed
// generation, or a call of a plain service.
func (d *demo) nextRequest(generator *rand.Rand, sequence int64) workload.Request {
	names := d.tenants()
	tenant := d.snapshot.Tenants[names[generator.IntN(len(names))]]
	request := workload.Request{
		Kind: workload.KindStream, Key: deployment.DemoKey(tenant.Name), Model: d.model,
		Prompt: fmt.Sprintf("request %d", sequence), MaximumTokens: shortTokens,
	}
	draw := generator.Float64()
	switch {
	case draw < callRatio && len(tenant.Services) > 0:
		return d.serviceCall(generator, tenant, request)
	case draw < callRatio+unaryRatio:
		request.Kind = workload.KindUnary
	case draw < callRatio+unaryRatio+longRatio:
		request.MaximumTokens = longTokens
	}
	if adapters := d.snapshot.Models[d.model].Adapters; len(adapters) > 0 && generator.IntN(3) == 0 {
		request.Adapter = adapters[generator.IntN(len(adapters))].Name
	}
	return request
}

func (d *demo) serviceCall(generator *rand.Rand, tenant configuration.Tenant, request workload.Request) workload.Request {
	request.Kind = workload.KindCall
	request.Service = tenant.Services[generator.IntN(len(tenant.Services))]
	request.Path = "/items"
	request.Body = request.Prompt
	request.NotRepeatable = !d.snapshot.Services[request.Service].Repeatable
	if request.NotRepeatable && generator.IntN(2) == 0 {
		request.IdempotencyKey = request.Prompt
	}
	return request
}
