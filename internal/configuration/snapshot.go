package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"pinevane.example/pinevane/coordination/monotonic"
)

// Adapter is an addition to a model's weights that a request may select.
type Adapter struct {
	Name string `json:"name"`
}

// Model is a model version with its number of replicas.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Manifest is the BLAKE3 digest of the manifest, 64 hexadecimal digits.
	Manifest string `json:"manifest"`
	// ReplicasPerZone is the number of machines in each zone that serve the model.
	ReplicasPerZone int       `json:"replicasPerZone"`
	Adapters        []Adapter `json:"adapters,omitempty"`
}

// Service is a plain back end that is reachable under /apps/{name}/.
type Service struct {
	Name string `json:"name"`
	// Repeatable is true if calls may run more than once.
	Repeatable bool `json:"repeatable"`
}

// Tenant is the account of callers, with its keys and limits.
type Tenant struct {
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests of the tenant's keys, in hexadecimal.
	KeyDigests []string `json:"keyDigests"`
	// Priority orders requests at engines, from 0 to 9; higher priorities run first.
	Priority          int     `json:"priority"`
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// TokensPerSecond limits the rate of generated tokens.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// Concurrency limits the number of open requests.
	Concurrency int      `json:"concurrency"`
	Models      []string `json:"models,omitempty"`
	Services    []string `json:"services,omitempty"`
}

// Rollout limits the resources used to transfer weights.
type Rollout struct {
	Name string `json:"name"`
	// OriginCopies limits how many copies of a model may be read from the origin.
	OriginCopies float64 `json:"originCopies"`
	// LinkFraction is the fraction of a machine's link that weights may use, 0 to 1.
	LinkFraction float64 `json:"linkShare"`
}

// Snapshot is a completely validated configuration revision. It is immutable.
type Snapshot struct {
	Version  monotonic.Version  `json:"version"`
	Models   map[string]Model   `json:"models"`
	Services map[string]Service `json:"services"`
	Tenants  map[string]Tenant  `json:"tenants"`
	Rollout  Rollout            `json:"rollout"`

	// keyOwner maps a key digest to the name of its tenant.
	keyOwner map[string]string
}

// TenantByKeyDigest returns the tenant that owns a key digest. Only digests are
// compared, so that timing reveals nothing about a key.
func (s *Snapshot) TenantByKeyDigest(digest string) (Tenant, bool) {
	tenant, known := s.Tenants[s.keyOwner[digest]]
	return tenant, known
}

// DefaultRollout is used when no rollout instance is published.
var DefaultRollout = Rollout{Name: "default", OriginCopies: 4, LinkFraction: 0.5}

// Parse validates a complete set of documents, keyed by path, and renders them to a
// Snapshot. The error is a *fault.InvalidConfiguration that lists all faults.
func Parse(version monotonic.Version, documents map[string][]byte) (*Snapshot, error) {
	return NewParser().Parse(version, documents)
}

type builder struct {
	snapshot *Snapshot
	found    *faultList
	// documentOf maps "kind/name" to the document that declared it.
	documentOf map[string]string
	hasRollout bool
}

func newBuilder(version monotonic.Version, found *faultList) *builder {
	return &builder{
		snapshot: &Snapshot{
			Version:  version,
			Models:   map[string]Model{},
			Services: map[string]Service{},
			Tenants:  map[string]Tenant{},
			Rollout:  DefaultRollout,
			keyOwner: map[string]string{},
		},
		found:      found,
		documentOf: map[string]string{},
	}
}

// add adds a rendered instance to the snapshot.
func (b *builder) add(item renderedInstance) {
	document, name := item.instance.document, item.instance.Instance
	identity := string(item.template.Kind) + "/" + name
	if earlier, duplicate := b.documentOf[identity]; duplicate {
		b.found.add(document, "instance", "name is already used by "+earlier)
		return
	}
	b.documentOf[identity] = document
	switch value := item.value.(type) {
	case Model:
		b.snapshot.Models[name] = value
	case Service:
		b.snapshot.Services[name] = value
	case Tenant:
		b.snapshot.Tenants[name] = value
		b.addKeys(document, value)
	case Rollout:
		if b.hasRollout {
			b.found.add(document, "instance", "only one rollout may be published")
			return
		}
		b.hasRollout = true
		b.snapshot.Rollout = value
	}
}

func (b *builder) addKeys(document string, tenant Tenant) {
	for _, digest := range tenant.KeyDigests {
		if owner, taken := b.snapshot.keyOwner[digest]; taken {
			b.found.add(document, "keyDigests", "key is already used by tenant "+owner)
		}
		b.snapshot.keyOwner[digest] = tenant.Name
	}
}

// render substitutes an instance's parameters in a template's body.
func render(template *Template, instance *Instance, found *faultList) (map[string]any, bool) {
	before := len(found.list)
	values := map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(instance.Parameters)) {
		parameter, declared := template.Parameters[name]
		if !declared {
			found.add(instance.document, "parameters."+name, "is not declared by template "+template.Template)
			continue
		}
		if reason := parameter.check(instance.Parameters[name]); reason != "" {
			found.add(instance.document, "parameters."+name, reason)
			continue
		}
		values[name] = instance.Parameters[name]
	}
	for _, name := range slices.Sorted(maps.Keys(template.Parameters)) {
		if _, set := instance.Parameters[name]; set {
			continue
		}
		if template.Parameters[name].Default == nil {
			found.add(instance.document, "parameters."+name, "is required by template "+template.Template)
			continue
		}
		values[name] = template.Parameters[name].Default
	}
	if len(found.list) > before {
		return nil, false
	}
	body, _ := substitute(template.Body, values).(map[string]any)
	return body, true
}

// decode decodes a rendered body into the type of its kind. It returns nil if the
// body has faults.
func decode(kind Kind, instance *Instance, body map[string]any, found *faultList) any {
	if body == nil {
		body = map[string]any{}
	}
	body["name"] = instance.Instance
	data, err := json.Marshal(body)
	if err != nil {
		found.add(instance.document, "body", err.Error())
		return nil
	}
	if !checkSchema(kind, instance.document, data, found) {
		return nil
	}
	switch kind {
	case KindModel:
		return decodeAs[Model](instance, data, found)
	case KindService:
		return decodeAs[Service](instance, data, found)
	case KindTenant:
		return decodeAs[Tenant](instance, data, found)
	}
	return decodeAs[Rollout](instance, data, found)
}

func decodeAs[T any](instance *Instance, data []byte, found *faultList) any {
	var value T
	if err := json.Unmarshal(data, &value); err != nil {
		found.add(instance.document, "body", err.Error())
		return nil
	}
	return value
}

// checkReferences reports tenants that refer to undeclared models or services.
func (b *builder) checkReferences() {
	for _, name := range slices.Sorted(maps.Keys(b.snapshot.Tenants)) {
		tenant := b.snapshot.Tenants[name]
		document := b.documentOf["tenant/"+name]
		for i, model := range tenant.Models {
			if _, declared := b.snapshot.Models[model]; !declared {
				b.found.add(document, fmt.Sprintf("models[%d]", i), "no model is named "+strconv.Quote(model))
			}
		}
		for i, service := range tenant.Services {
			if _, declared := b.snapshot.Services[service]; !declared {
				b.found.add(document, fmt.Sprintf("services[%d]", i), "no service is named "+strconv.Quote(service))
			}
		}
	}
}

func asNumber(value any) (float64, bool) {
	switch number := value.(type) {
	case int:
		return float64(number), true
	case int64:
		return float64(number), true
	case uint64:
		return float64(number), true
	case float64:
		return number, true
	}
	return 0, false
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'g', -1, 64)
}
