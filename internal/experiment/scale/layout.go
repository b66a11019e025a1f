// Package scale measures what control costs at a given number of entries and
// agents: hollow processes, which run the real control code without callers or
// engines and share a few operating-system processes, beside some real ones.
package scale

import (
	"encoding/json"
	"fmt"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
)

// Options sets up a measurement.
type Options struct {
	Executable string
	Entries    int
	Agents     int
	Zones      int
	Regions    int
	Tenants    int
	// DurationSeconds is the time of the measurement.
	DurationSeconds float64
	// ChangesPerHour is how often the configuration changes.
	ChangesPerHour int
	// Restarts is how many hollow processes are replaced meanwhile.
	Restarts int
	// Real is how many of the entries, and how many of the agents, are real
	// processes.
	Real int
}

// Ports of the layout. Every member has a loopback address of its own.
const (
	memberPort     = 7400
	adminPort      = 7401
	controlPort    = 7403
	membersPerByte = 250
	platformOctet  = 251
	controlOctet   = 252
)

// layout places the members on loopback addresses.
type layout struct {
	options Options
	network int
}

func (l layout) platformAddress() string {
	return fmt.Sprintf("127.%d.%d.1:%d", l.network, platformOctet, memberPort)
}

func (l layout) controlAddress(host int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.network, controlOctet, host+1, controlPort)
}

func (l layout) ip(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.network, 1+index/membersPerByte, 1+index%membersPerByte)
}

func (l layout) adminAddress(index int) string {
	return fmt.Sprintf("%s:%d", l.ip(index), adminPort)
}

// member returns the line of the membership list of an entry (index below
// Entries) or an agent (from there on).
func (l layout) member(index int) external.Member {
	role, name, ordinal := external.RoleEntry, "entry", index
	if index >= l.options.Entries {
		role, name, ordinal = external.RoleAgent, "agent", index-l.options.Entries
	}
	zone := ordinal % l.options.Zones
	return external.Member{
		ID: fmt.Sprintf("%s-%05d", name, ordinal), Role: role,
		Zone:    fmt.Sprintf("zone-%d", zone),
		Region:  fmt.Sprintf("region-%d", zone*l.options.Regions/l.options.Zones),
		Address: fmt.Sprintf("%s:%d", l.ip(index), memberPort),
	}
}

func (l layout) count() int { return l.options.Entries + l.options.Agents }

// members returns the documents of the whole membership list.
func (l layout) members() (map[string][]byte, error) {
	documents := map[string][]byte{}
	for index := range l.count() {
		member := l.member(index)
		data, err := json.Marshal(member)
		if err != nil {
			return nil, &fault.InvalidFrame{Field: "member", Reason: err.Error()}
		}
		documents[member.ID] = data
	}
	return documents, nil
}

const tenantTemplate = `template: tenant-standard
kind: tenant
parameters:
  keyDigests: {type: list}
  requestsPerSecond: {type: number, unit: requests/s, default: 10, minimum: 1, maximum: 100000}
body:
  keyDigests: ${keyDigests}
  priority: 4
  requestsPerSecond: ${requestsPerSecond}
  tokensPerSecond: 4000
  concurrency: 64
  models: [model]
  services: []
`

const modelDocuments = `template: model-standard
kind: model
parameters:
  version: {type: string}
  manifest: {type: string}
body:
  version: ${version}
  manifest: ${manifest}
  replicasPerZone: 4096
`

const modelInstance = `instance: model
from: model-standard
parameters:
  version: "1"
  manifest: "0000000000000000000000000000000000000000000000000000000000000000"
`

// tenantDocument is the document of one tenant with a limit that changes.
func tenantDocument(tenant, limit int) []byte {
	return fmt.Appendf(nil, "instance: tenant-%d\nfrom: tenant-standard\nparameters:\n  keyDigests: [\"%064x\"]\n  requestsPerSecond: %d\n", tenant, tenant+1, limit)
}

// configuration returns the documents of the first revision.
func (l layout) configuration() map[string][]byte {
	documents := map[string][]byte{
		"templates/tenant.yaml": []byte(tenantTemplate),
		"templates/model.yaml":  []byte(modelDocuments),
		"models/model.yaml":     []byte(modelInstance),
	}
	for tenant := range l.options.Tenants {
		documents[tenantKey(tenant)] = tenantDocument(tenant, 10)
	}
	return documents
}

func tenantKey(tenant int) string { return fmt.Sprintf("tenants/tenant-%05d.yaml", tenant) }
