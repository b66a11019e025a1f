package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/launch"
	"pinevane.example/pinevane/internal/node"
)

// Times and sizes of a measurement.
const (
	hollowPerHost = 160
	readyTimeout  = 3 * time.Minute
	// settleTime lets links and first statuses pass before the measurement, with
	// a second more for each settleProcesses processes.
	settleTime      = 8 * time.Second
	settleProcesses = 100
	// tailTime is how long the last change is waited for.
	tailTime = 8 * time.Second
	pollTime = 500 * time.Millisecond
)

// RoleCost is what one process of a role costs.
type RoleCost struct {
	// CPU is the share of a core, in percent: of a real process when there is one,
	// else of a hollow one.
	CPU       float64 `json:"cpu_percent_of_core"`
	HollowCPU float64 `json:"hollow_cpu_percent_of_core"`
	// Memory is resident memory in MiB, likewise.
	Memory       float64 `json:"memory_mb"`
	HollowMemory float64 `json:"hollow_memory_mb"`
	// Bytes is control traffic in and out, a second, of a hollow process on average.
	Bytes  float64            `json:"control_bytes_per_second"`
	In     float64            `json:"control_bytes_in_per_second"`
	Out    float64            `json:"control_bytes_out_per_second"`
	ByKind map[string]float64 `json:"control_bytes_by_kind_per_second"`
	// Messages is messages in and out, a second.
	Messages float64 `json:"control_messages_per_second"`
}

// Roles holds the cost of each role.
type Roles struct {
	Entry RoleCost `json:"entry"`
	Agent RoleCost `json:"agent"`
}

// Spread tells how fast configuration changes came into force.
type Spread struct {
	Changes      int     `json:"changes"`
	SpreadMedian float64 `json:"spread_seconds_median"`
	SpreadMax    float64 `json:"spread_seconds_max"`
	// Missed counts processes, over all changes, that had not put a change in
	// force when the measurement ended; a later revision counts for an earlier one.
	Missed         int     `json:"missed"`
	CallsPerSecond float64 `json:"calls_per_second"`
	RefusedCalls   int64   `json:"refused_calls"`
}

// Result is what a measurement came to.
type Result struct {
	Entries         int     `json:"entries"`
	Agents          int     `json:"agents"`
	Zones           int     `json:"zones"`
	Regions         int     `json:"regions"`
	Tenants         int     `json:"tenants"`
	Seconds         float64 `json:"seconds"`
	Processes       int     `json:"processes"`
	TotalMemory     float64 `json:"total_memory_mb"`
	ReadySeconds    float64 `json:"ready_seconds"`
	Roles           Roles   `json:"roles"`
	Configuration   Spread  `json:"configuration"`
	RestartSeconds  float64 `json:"restart_seconds_max"`
	RestartsCounted int     `json:"restarts"`
}

// hostProcess is one process of hollow ones.
type hostProcess struct {
	role  external.Role
	first int
	count int
	index int
}

type measurement struct {
	layout layout
	group  *launch.Group
	client *http.Client
	hosts  []hostProcess
	// real lists the members that are real processes.
	real []int
}

// network is apart from that of launch.Fleet.
const (
	firstNetwork = 232
	networks     = 20
)

// Run starts the fleet, measures it, and ends it.
func Run(options Options) (*Result, error) {
	m := &measurement{
		layout: layout{options: options, network: firstNetwork + os.Getpid()%networks},
		group:  launch.NewGroup(options.Executable, ""),
		client: &http.Client{Timeout: 30 * time.Second},
	}
	defer m.group.Stop()
	began := time.Now()
	if err := m.start(); err != nil {
		return nil, err
	}
	if err := launch.WaitFor(readyTimeout, "every process to have a configuration", m.configured); err != nil {
		return nil, err
	}
	ready := time.Since(began)
	time.Sleep(settleTime + time.Second*time.Duration(m.layout.count()/settleProcesses))
	result, err := m.measure()
	if err != nil {
		return nil, err
	}
	result.ReadySeconds = ready.Seconds()
	return result, nil
}

// start brings up the platform, the hosts and the real processes.
func (m *measurement) start() error {
	if err := m.group.Run("platform", []string{"emulate", "platform", "--listen", m.layout.platformAddress(), "--membership-lag", "0s"}); err != nil {
		return err
	}
	err := launch.WaitFor(readyTimeout, "the platform", func() bool {
		var faults emulator.Faults
		return m.get("http://"+m.layout.platformAddress()+emulator.FaultPath, &faults) == nil
	})
	if err != nil {
		return err
	}
	members, err := m.layout.members()
	if err != nil {
		return err
	}
	if err := m.change(external.MembershipPath, members); err != nil {
		return err
	}
	if err := m.change(external.ConfigurationPath, m.layout.configuration()); err != nil {
		return err
	}
	options := m.layout.options
	if err := m.startRole(external.RoleAgent, options.Entries, options.Agents); err != nil {
		return err
	}
	return m.startRole(external.RoleEntry, 0, options.Entries)
}

// startRole starts the real processes of a role, then hosts for the hollow ones.
func (m *measurement) startRole(role external.Role, first, count int) error {
	real := min(m.layout.options.Real, count)
	for index := first; index < first+real; index++ {
		if err := m.startReal(index); err != nil {
			return err
		}
		m.real = append(m.real, index)
	}
	for next := first + real; next < first+count; next += hollowPerHost {
		host := hostProcess{role: role, first: next, count: min(hollowPerHost, first+count-next), index: len(m.hosts)}
		m.hosts = append(m.hosts, host)
		if err := m.startHost(host); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) startHost(host hostProcess) error {
	o := m.layout.options
	return m.group.Run(fmt.Sprintf("host-%d", host.index), []string{
		"experiment", "hollow", "--entries", fmt.Sprint(o.Entries), "--agents", fmt.Sprint(o.Agents),
		"--zones", fmt.Sprint(o.Zones), "--regions", fmt.Sprint(o.Regions), "--network", fmt.Sprint(m.layout.network),
		"--first", fmt.Sprint(host.first), "--count", fmt.Sprint(host.count), "--host", fmt.Sprint(host.index),
	})
}

func (m *measurement) startReal(index int) error {
	member := m.layout.member(index)
	arguments := []string{
		string(member.Role), "--id", member.ID, "--zone", member.Zone, "--region", member.Region,
		"--listen", member.Address, "--admin-listen", m.layout.adminAddress(index),
		"--configuration", m.layout.platformAddress(), "--membership", m.layout.platformAddress(),
	}
	if member.Role == external.RoleAgent {
		// A real agent of the measurement stands before a plain service that takes no
		// calls: weights and engine orders are measured elsewhere.
		arguments = append(arguments, "--service", "measured", "--back-end", member.Address)
	}
	return m.group.Run(member.ID, arguments)
}

func (m *measurement) get(url string, into any) error {
	return launch.GetJSON(context.Background(), m.client, url, into)
}

func (m *measurement) change(path string, documents map[string][]byte) error {
	data, err := json.Marshal(emulator.ChangeRequest{Changed: documents})
	if err != nil {
		return &fault.InvalidFrame{Field: "change", Reason: err.Error()}
	}
	url := "http://" + m.layout.platformAddress() + path + "/control/change"
	response, err := m.client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return &fault.Unavailable{Target: url, Operation: "POST", Cause: err}
	}
	_ = response.Body.Close()
	return nil
}

func (m *measurement) reports() ([]HostReport, error) {
	reports := make([]HostReport, len(m.hosts))
	for i, host := range m.hosts {
		if err := m.get("http://"+m.layout.controlAddress(host.index)+"/report", &reports[i]); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

func (m *measurement) configured() bool {
	reports, err := m.reports()
	if err != nil {
		return false
	}
	for _, report := range reports {
		if report.Configured < report.Count {
			return false
		}
	}
	for _, index := range m.real {
		var dump node.Dump
		if m.get("http://"+m.layout.adminAddress(index)+node.DumpPath, &dump) != nil {
			return false
		}
	}
	return true
}

// sample is the state of every process at a moment.
type sample struct {
	at      time.Time
	reports []HostReport
	real    []node.Dump
	calls   emulator.CallCount
}

func (m *measurement) sample() (sample, error) {
	taken := sample{at: time.Now()}
	var err error
	if taken.reports, err = m.reports(); err != nil {
		return taken, err
	}
	for _, index := range m.real {
		var dump node.Dump
		if err := m.get("http://"+m.layout.adminAddress(index)+node.DumpPath, &dump); err != nil {
			return taken, err
		}
		taken.real = append(taken.real, dump)
	}
	err = m.get("http://"+m.layout.platformAddress()+external.ConfigurationPath+"/control/calls", &taken.calls)
	return taken, err
}

// published is a change and when it was published.
type published struct {
	revision uint64
	at       time.Time
}

func (m *measurement) measure() (*Result, error) {
	before, err := m.sample()
	if err != nil {
		return nil, err
	}
	changes, err := m.disturb(before.at)
	if err != nil {
		return nil, err
	}
	after, err := m.sample()
	if err != nil {
		return nil, err
	}
	time.Sleep(tailTime)
	last, err := m.sample()
	if err != nil {
		return nil, err
	}
	o := m.layout.options
	result := &Result{
		Entries: o.Entries, Agents: o.Agents, Zones: o.Zones, Regions: o.Regions, Tenants: o.Tenants,
		Seconds: after.at.Sub(before.at).Seconds(), Processes: m.group.Count(),
		Roles: Roles{
			Entry: m.cost(external.RoleEntry, before, after),
			Agent: m.cost(external.RoleAgent, before, after),
		},
		Configuration: spread(changes, last.reports),
	}
	for _, report := range after.reports {
		result.TotalMemory += float64(report.Resources.ResidentBytes) / (1 << 20)
		for _, seconds := range report.Restarted {
			result.RestartSeconds = max(result.RestartSeconds, seconds)
			result.RestartsCounted++
		}
	}
	for _, dump := range after.real {
		result.TotalMemory += float64(dump.Resources.ResidentBytes) / (1 << 20)
	}
	seconds := after.at.Sub(before.at).Seconds()
	result.Configuration.CallsPerSecond = float64(after.calls.Taken-before.calls.Taken) / seconds
	result.Configuration.RefusedCalls = after.calls.Refused
	return result, nil
}

// disturb publishes changes and restarts hollow processes for the duration.
func (m *measurement) disturb(began time.Time) ([]published, error) {
	o := m.layout.options
	end := began.Add(time.Duration(o.DurationSeconds * float64(time.Second)))
	var changes []published
	var nextChange, nextRestart time.Time
	changePeriod, restartPeriod := time.Duration(0), time.Duration(0)
	if o.ChangesPerHour > 0 {
		changePeriod = time.Hour / time.Duration(o.ChangesPerHour)
		nextChange = began
	}
	if o.Restarts > 0 {
		restartPeriod = end.Sub(began) / time.Duration(o.Restarts+1)
		nextRestart = began.Add(restartPeriod)
	}
	restarts := 0
	// The first revision is the one that the fleet started with.
	revision := uint64(1)
	for now := time.Now(); now.Before(end); now = time.Now() {
		if changePeriod > 0 && !now.Before(nextChange) {
			nextChange = nextChange.Add(changePeriod)
			revision++
			tenant := int(revision) % o.Tenants
			changes = append(changes, published{revision: revision, at: time.Now()})
			if err := m.change(external.ConfigurationPath, map[string][]byte{tenantKey(tenant): tenantDocument(tenant, int(revision%1000)+1)}); err != nil {
				return nil, err
			}
		}
		if restarts < o.Restarts && restartPeriod > 0 && !now.Before(nextRestart) && len(m.hosts) > 0 {
			nextRestart = nextRestart.Add(restartPeriod)
			host := m.hosts[restarts%len(m.hosts)]
			restarts++
			go func() { _, _ = m.client.Post("http://"+m.layout.controlAddress(host.index)+"/restart", "", nil) }()
		}
		time.Sleep(pollTime / 10)
	}
	return changes, nil
}

// spread finds when each change was in force everywhere. A process that skipped
// a revision has it in force once a later one is.
func spread(changes []published, reports []HostReport) Spread {
	result := Spread{Changes: len(changes)}
	var delays []float64
	total := 0
	for _, report := range reports {
		total += report.Count
	}
	for _, change := range changes {
		reached := 0
		for _, report := range reports {
			times := report.Applied[change.revision]
			reached += len(times) + report.Joined[change.revision]
			for _, at := range times {
				delay := time.Unix(0, at).Sub(change.at).Seconds()
				delays = append(delays, delay)
				result.SpreadMax = max(result.SpreadMax, delay)
			}
		}
		result.Missed += max(0, total-reached)
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		result.SpreadMedian = delays[len(delays)/2]
	}
	return result
}

// cost compares two samples for one role.
func (m *measurement) cost(role external.Role, before, after sample) RoleCost {
	seconds := after.at.Sub(before.at).Seconds()
	cost := RoleCost{ByKind: map[string]float64{}}
	hollowCount := 0
	var processor, memory float64
	for i, host := range m.hosts {
		if host.role != role {
			continue
		}
		hollowCount += host.count
		processor += after.reports[i].Resources.ProcessorSeconds - before.reports[i].Resources.ProcessorSeconds
		memory += float64(after.reports[i].Resources.ResidentBytes)
		for kind, traffic := range after.reports[i].Traffic {
			delta := traffic.Minus(before.reports[i].Traffic[kind])
			cost.ByKind[kind] += float64(delta.BytesIn+delta.BytesOut) / seconds
			cost.In += float64(delta.BytesIn) / seconds
			cost.Out += float64(delta.BytesOut) / seconds
			cost.Messages += float64(delta.MessagesIn+delta.MessagesOut) / seconds
		}
	}
	if hollowCount > 0 {
		count := float64(hollowCount)
		for kind := range cost.ByKind {
			cost.ByKind[kind] /= count
		}
		cost.In, cost.Out, cost.Messages = cost.In/count, cost.Out/count, cost.Messages/count
		cost.Bytes = cost.In + cost.Out
		cost.HollowCPU = 100 * processor / seconds / count
		cost.HollowMemory = memory / count / (1 << 20)
	}
	cost.CPU, cost.Memory = cost.HollowCPU, cost.HollowMemory
	m.addReal(role, before, after, &cost)
	return cost
}

// addReal takes processor time and memory from the real processes of a role.
func (m *measurement) addReal(role external.Role, before, after sample, cost *RoleCost) {
	seconds := after.at.Sub(before.at).Seconds()
	var processor, memory float64
	count := 0
	for i, index := range m.real {
		if m.layout.member(index).Role != role {
			continue
		}
		count++
		processor += after.real[i].Resources.ProcessorSeconds - before.real[i].Resources.ProcessorSeconds
		memory += float64(after.real[i].Resources.ResidentBytes) / (1 << 20)
	}
	if count > 0 {
		cost.CPU = 100 * processor / seconds / float64(count)
		cost.Memory = memory / float64(count)
	}
}
