// Package launch starts a complete fleet as local processes on one machine, for
// the commands demo and experiment and their scenarios. Daemons never start
// processes: no other package of the project may import os/exec, which a test
// enforces.
package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/deployment"
	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/node"
)

// Options configures a fleet.
type Options struct {
	// Executable is the path of the pinevane binary.
	Executable string
	Deployment *deployment.Deployment
	// LogDirectory receives one log file for each process; if empty, logs are discarded.
	LogDirectory string
	// LinkRate and OriginRate are in bytes a second; zero means no limit.
	LinkRate   int64
	OriginRate int64
	// EntryFlags, AgentFlags and MachineFlags are passed to every entry, agent and
	// emulated machine.
	EntryFlags   []string
	AgentFlags   []string
	MachineFlags []string
}

// Fleet is a fleet of local processes: the machines of a deployment and the emulated platform.
type Fleet struct {
	options  Options
	network  int
	Machines []deployment.Machine
	client   *http.Client
	*Group
}

// firstNetwork and networks bound the second octet of a fleet's addresses.
const (
	firstNetwork = 32
	networks     = 200
	platformZone = 250
)

// New returns a fleet without starting anything.
func New(options Options) *Fleet {
	network := firstNetwork + os.Getpid()%networks
	return &Fleet{
		options:  options,
		network:  network,
		Machines: options.Deployment.Machines(network),
		client:   &http.Client{Timeout: 10 * time.Second},
		Group:    NewGroup(options.Executable, options.LogDirectory),
	}
}

// PlatformAddress returns the address that the emulated platform services listen on.
func (f *Fleet) PlatformAddress() string {
	return fmt.Sprintf("127.%d.%d.1:%d", f.network, platformZone, deployment.ProcessPort)
}

// Start starts the emulated platform, which serves the configuration documents, publishes the
// membership list and starts every back end, entry and agent.
func (f *Fleet) Start() error {
	platformArguments := []string{
		"emulate", "platform", "--listen", f.PlatformAddress(), "--documents", f.options.Deployment.Directory,
		"--origin-rate", fmt.Sprint(f.options.OriginRate),
	}
	if err := f.Run("platform", platformArguments); err != nil {
		return err
	}
	if err := f.waitListening("http://" + f.PlatformAddress() + emulator.FaultPath); err != nil {
		return err
	}
	if err := f.PublishMembers(f.Machines); err != nil {
		return err
	}
	for _, machine := range f.Machines {
		if err := f.StartBackEnd(machine); err != nil {
			return err
		}
	}
	for _, machine := range f.Machines {
		if err := f.StartProcess(machine); err != nil {
			return err
		}
	}
	return nil
}

// StartBackEnd starts the emulated engine or plain service of a machine.
func (f *Fleet) StartBackEnd(machine deployment.Machine) error {
	if machine.Role != external.RoleAgent {
		return nil
	}
	arguments := append([]string{"emulate", "machine", "--listen", machine.BackEndAddress()}, f.options.MachineFlags...)
	if machine.Service != "" {
		arguments = []string{"emulate", "service", "--listen", machine.BackEndAddress(), "--name", machine.Service}
	}
	return f.Run(machine.ID+"-back-end", arguments)
}

// StartProcess starts a machine's entry or agent.
func (f *Fleet) StartProcess(machine deployment.Machine) error {
	arguments := []string{
		string(machine.Role), "--id", machine.ID, "--zone", machine.Zone, "--region", machine.Region,
		"--listen", machine.Address, "--admin-listen", machine.AdminAddress(),
		"--configuration", f.PlatformAddress(), "--membership", f.PlatformAddress(),
	}
	if machine.Role == external.RoleEntry {
		arguments = append(arguments, f.options.EntryFlags...)
	}
	if machine.Role == external.RoleAgent {
		arguments = append(arguments, "--back-end", machine.BackEndAddress())
		arguments = append(arguments, f.options.AgentFlags...)
		if machine.Service != "" {
			arguments = append(arguments, "--service", machine.Service)
		} else {
			arguments = append(arguments, "--store", machine.BackEndAddress(), "--origin", f.PlatformAddress(),
				"--link-rate", fmt.Sprint(f.options.LinkRate))
		}
	}
	return f.Run(machine.ID, arguments)
}

// startTimeout bounds the wait for a process to listen.
const startTimeout = 15 * time.Second

func (f *Fleet) waitListening(url string) error {
	return WaitFor(startTimeout, "answer from "+url, func() bool {
		response, err := f.client.Get(url)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	})
}

// WaitFor polls a condition until it holds or the limit has passed.
func WaitFor(limit time.Duration, what string, condition func() bool) error {
	const poll = 25 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(poll) {
		if condition() {
			return nil
		}
	}
	return &fault.Timeout{Condition: what, After: limit}
}

// PublishMembers adds, replaces and removes members of the membership list.
func (f *Fleet) PublishMembers(machines []deployment.Machine, removed ...string) error {
	changed := map[string][]byte{}
	for _, machine := range machines {
		data, err := json.Marshal(machine.Member)
		if err != nil {
			return &fault.InvalidFrame{Field: "member", Reason: err.Error()}
		}
		changed[machine.ID] = data
	}
	return f.change(external.MembershipPath, emulator.ChangeRequest{Changed: changed, Removed: removed})
}

// Publish changes documents of the configuration.
func (f *Fleet) Publish(changed map[string][]byte) error {
	return f.change(external.ConfigurationPath, emulator.ChangeRequest{Changed: changed})
}

func (f *Fleet) change(path string, request emulator.ChangeRequest) error {
	return f.send(http.MethodPost, "http://"+f.PlatformAddress()+path+"/control/change", request)
}

// InjectFault sets the fault state of the emulated service at an address. The prefix is
// empty except for publications, where it is their path and "/control".
func (f *Fleet) InjectFault(address, prefix string, faults emulator.Faults) error {
	return f.send(http.MethodPut, "http://"+address+prefix+emulator.FaultPath, faults)
}

func (f *Fleet) send(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &fault.InvalidFrame{Field: "body", Reason: err.Error()}
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return &fault.Unavailable{Target: url, Operation: method, Cause: err}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return &fault.Unavailable{Target: url, Operation: method, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return &fault.Unavailable{Target: url, Operation: method, Status: response.StatusCode}
	}
	return nil
}

// Get fetches a URL and decodes its JSON response.
func (f *Fleet) Get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &fault.Unavailable{Target: url, Operation: "GET", Cause: err}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return &fault.Unavailable{Target: url, Operation: "GET", Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &fault.Unavailable{Target: url, Operation: "GET", Status: response.StatusCode}
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &fault.Unavailable{Target: url, Operation: "GET", Cause: err}
	}
	return nil
}

// Dump fetches a process's state dump, with the blackboard values undecoded.
func (f *Fleet) Dump(machine deployment.Machine) (*Dump, error) {
	dump := &Dump{}
	err := f.Get(context.Background(), "http://"+machine.AdminAddress()+node.DumpPath, dump)
	return dump, err
}

// Dump is a state dump fetched from another process.
type Dump struct {
	node.Dump
	Blackboard []RawEntry `json:"blackboard"`
}

// RawEntry is one blackboard entry with its value undecoded.
type RawEntry struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Entry decodes a blackboard entry and reports whether it exists and could be decoded.
func (d *Dump) Entry(name string, into any) bool {
	for _, entry := range d.Blackboard {
		if entry.Name == name {
			return json.Unmarshal(entry.Value, into) == nil
		}
	}
	return false
}

// Serves reports whether an agent serves a version that is not being retired.
func (d *Dump) Serves(model, version string) bool {
	var versions []servedVersion
	if !d.Entry("engine.served", &versions) {
		return false
	}
	for _, served := range versions {
		if served.Model == model && served.Version == version && !served.Retiring {
			return true
		}
	}
	return false
}

type servedVersion struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Retiring bool   `json:"retiring"`
}

// ModelDocument returns the key and content of the instance document of a model,
// with some of its scalar parameters replaced.
func (f *Fleet) ModelDocument(model string, parameters map[string]string) (map[string][]byte, error) {
	documents, err := configuration.ReadDirectory(f.options.Deployment.Directory)
	if err != nil {
		return nil, err
	}
	for key, data := range documents {
		if strings.Contains(string(data), "instance: "+model+"\n") {
			return map[string][]byte{key: []byte(replaceScalars(string(data), parameters))}, nil
		}
	}
	return nil, &fault.InvalidDocument{Document: f.options.Deployment.Directory, Path: "instance", Reason: "no document sets model " + model}
}

// replaceScalars replaces the values of "name: value" lines and keeps their indentation.
func replaceScalars(document string, values map[string]string) string {
	lines := strings.Split(document, "\n")
	for i, line := range lines {
		name, _, found := strings.Cut(strings.TrimSpace(line), ":")
		value, replaced := values[name]
		if !found || !replaced {
			continue
		}
		indent := line[:len(line)-len(strings.TrimLeft(line, " "))]
		lines[i] = indent + name + ": " + value
	}
	return strings.Join(lines, "\n")
}
