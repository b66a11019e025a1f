// Package deployment describes an emulated fleet: its zones, the number of machines
// of each kind, and the synthetic weights. A real fleet gets this information from
// the platform instead.
package deployment

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/weights"
)

// Zone is a data center hall with its machines.
type Zone struct {
	Name    string `yaml:"name"`
	Region  string `yaml:"region"`
	Entries int    `yaml:"entries"`
	// Engines is the number of model servers.
	Engines int `yaml:"engines"`
	// Services maps each plain service to its number of servers.
	Services map[string]int `yaml:"services"`
}

// Deployment is the content of deployment.yaml.
type Deployment struct {
	Name  string `yaml:"name"`
	Zones []Zone `yaml:"zones"`
	// Weights lists synthetic versions. The first version of a model is the one that the
	// documents name; the demo rolls out the later ones.
	Weights []weights.Synthetic `yaml:"weights"`

	// Directory is the directory of the configuration documents.
	Directory string `yaml:"-"`
}

// Limits of a deployment that is emulated on one machine.
const (
	maxZones    = 64
	maxMachines = 250
)

// Read reads and validates the deployment file of a directory.
func Read(directory string) (*Deployment, error) {
	path := filepath.Join(directory, configuration.DeploymentFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &fault.InvalidDocument{Document: path, Path: "document", Reason: err.Error()}
	}
	result := &Deployment{Directory: directory}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(result); err != nil {
		return nil, &fault.InvalidDocument{Document: path, Path: "document", Reason: err.Error()}
	}
	if len(result.Zones) == 0 || len(result.Zones) > maxZones {
		return nil, &fault.InvalidDocument{Document: path, Path: "zones", Reason: "must have 1 to 64 entries"}
	}
	for i, zone := range result.Zones {
		machines := zone.Entries + zone.Engines
		for _, count := range zone.Services {
			machines += count
		}
		if machines < 1 || machines > maxMachines || zone.Entries < 0 || zone.Engines < 0 {
			return nil, &fault.InvalidDocument{Document: path, Path: fmt.Sprintf("zones[%d]", i), Reason: "must have 1 to 250 machines"}
		}
	}
	for i, synthetic := range result.Weights {
		if synthetic.Bytes <= 0 || synthetic.ChunkBytes <= 0 || synthetic.ChangedFraction < 0 || synthetic.ChangedFraction > 1 {
			return nil, &fault.InvalidDocument{Document: path, Path: fmt.Sprintf("weights[%d]", i), Reason: "sizes must be positive and changedShare 0 to 1"}
		}
	}
	return result, nil
}

// Ports of a machine's processes. Each machine has its own loopback address.
const (
	ProcessPort = 7400
	AdminPort   = 7401
	BackEndPort = 7402
)

// Machine is a machine of the fleet with its addresses.
type Machine struct {
	external.Member
	IP string
}

// AdminAddress returns the address on which the machine's process serves its dump.
func (m Machine) AdminAddress() string { return fmt.Sprintf("%s:%d", m.IP, AdminPort) }

// BackEndAddress returns the address of the machine's engine or plain service.
func (m Machine) BackEndAddress() string { return fmt.Sprintf("%s:%d", m.IP, BackEndPort) }

// Machines assigns the loopback addresses 127.network.zone.n to the machines of the fleet.
func (d *Deployment) Machines(network int) []Machine {
	var machines []Machine
	for zoneIndex, zone := range d.Zones {
		next := 1
		add := func(role external.Role, service, name string) {
			ip := fmt.Sprintf("127.%d.%d.%d", network, zoneIndex+1, next)
			next++
			machines = append(machines, Machine{IP: ip, Member: external.Member{
				ID: name, Role: role, Zone: zone.Name, Region: zone.Region, Service: service,
				Address: fmt.Sprintf("%s:%d", ip, ProcessPort),
			}})
		}
		for i := range zone.Entries {
			add(external.RoleEntry, "", fmt.Sprintf("%s-entry-%d", zone.Name, i+1))
		}
		for i := range zone.Engines {
			add(external.RoleAgent, "", fmt.Sprintf("%s-engine-%d", zone.Name, i+1))
		}
		for _, service := range slices.Sorted(maps.Keys(zone.Services)) {
			for i := range zone.Services[service] {
				add(external.RoleAgent, service, fmt.Sprintf("%s-%s-%d", zone.Name, service, i+1))
			}
		}
	}
	return machines
}

// Version returns the synthetic weights of a model version.
func (d *Deployment) Version(model, version string) (weights.Synthetic, bool) {
	for _, synthetic := range d.Weights {
		if synthetic.Model == model && synthetic.Version == version {
			return synthetic, true
		}
	}
	return weights.Synthetic{}, false
}

// DemoKey returns the API key of a tenant in the example deployments.
func DemoKey(tenant string) string { return "demo-" + tenant }
