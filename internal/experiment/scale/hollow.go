package scale

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pinevane.example/pinevane/internal/agent"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/protocol"
)

// HostOptions sets up one process of hollow ones.
type HostOptions struct {
	Layout  Options
	Network int
	// First and Count are the members that this process holds; Host numbers it.
	First int
	Count int
	Host  int
}

// startJitter spreads the start of a process's hollow ones.
const startJitter = 2 * time.Second

// host runs hollow processes and reports on them.
type host struct {
	options HostOptions
	layout  layout

	mutex   sync.Mutex
	applied map[uint64][]time.Time
	joined  map[uint64]int
	running map[int]*hollow
	// restarted holds the times from a restart to a configuration in force.
	restarted []float64
}

// hollow is one hollow process.
type hollow struct {
	node  *node.Node
	stop  chan struct{}
	ended chan struct{}
}

// HostReport is what a host tells of its hollow processes.
type HostReport struct {
	Count     int            `json:"count"`
	Resources node.Resources `json:"resources"`
	// Applied lists, for each configuration revision, when each process moved to
	// it, in nanoseconds since 1970 on this machine's clock. Joined counts those
	// that started with it.
	Applied map[uint64][]int64 `json:"applied"`
	Joined  map[uint64]int     `json:"joined"`
	// Traffic sums the control traffic by kind; MaximumBytes is that of the
	// process with the most.
	Traffic      map[string]peering.Traffic `json:"traffic"`
	MaximumBytes uint64                     `json:"maximum_bytes"`
	Restarted    []float64                  `json:"restarted_seconds"`
	Configured   int                        `json:"configured"`
}

// RunHost serves hollow processes until stop is closed.
func RunHost(options HostOptions, stop <-chan struct{}) error {
	h := &host{
		options: options,
		layout:  layout{options: options.Layout, network: options.Network},
		applied: map[uint64][]time.Time{},
		joined:  map[uint64]int{},
		running: map[int]*hollow{},
	}
	listener, err := net.Listen("tcp", h.layout.controlAddress(options.Host))
	if err != nil {
		return &fault.Unavailable{Target: "hollow host", Operation: "listen", Cause: err}
	}
	router := chi.NewRouter()
	router.Get("/report", h.report)
	router.Post("/restart", h.restart)
	server := &http.Server{Handler: router, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	for index := options.First; index < options.First+options.Count; index++ {
		if err := h.start(index, nil); err != nil {
			return err
		}
	}
	<-stop
	return nil
}

func (h *host) start(index int, configured func()) error {
	member := h.layout.member(index)
	joining := true
	options := node.Options{
		ID: member.ID, Role: member.Role, Zone: member.Zone, Region: member.Region, Listen: member.Address,
		ConfigurationAddress: h.layout.platformAddress(), MembershipAddress: h.layout.platformAddress(),
		StartJitter: startJitter,
		OnSnapshot: func(snapshot *configuration.Snapshot) {
			h.noteSnapshot(snapshot.Version.Revision, joining)
			joining = false
			if configured != nil {
				configured()
			}
		},
	}
	started := &hollow{stop: make(chan struct{}), ended: make(chan struct{})}
	var run func(<-chan struct{}) error
	if member.Role == external.RoleEntry {
		process := entry.New(entry.Options{Node: options}, logging.Nop())
		started.node, run = process.Node(), process.Run
	} else {
		served := []protocol.ServedVersion{{Model: "model", Version: "1"}}
		process := agent.NewHollow(agent.Options{Node: options}, served, logging.Nop())
		started.node, run = process.Node(), process.Run
	}
	if err := started.node.Listen(); err != nil {
		return err
	}
	go func() {
		defer close(started.ended)
		_ = run(started.stop)
	}()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.running[index] = started
	return nil
}

func (h *host) noteSnapshot(revision uint64, joining bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if joining {
		h.joined[revision]++
		return
	}
	h.applied[revision] = append(h.applied[revision], time.Now())
}

// restart ends the first of the host's processes that was not restarted yet, and
// starts it anew.
func (h *host) restart(writer http.ResponseWriter, _ *http.Request) {
	h.mutex.Lock()
	index := h.options.First + len(h.restarted)%h.options.Count
	old := h.running[index]
	h.mutex.Unlock()
	close(old.stop)
	<-old.ended
	began := time.Now()
	var once sync.Once
	err := h.start(index, func() {
		once.Do(func() {
			h.mutex.Lock()
			defer h.mutex.Unlock()
			h.restarted = append(h.restarted, time.Since(began).Seconds())
		})
	})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

func (h *host) report(writer http.ResponseWriter, _ *http.Request) {
	h.mutex.Lock()
	report := HostReport{
		Count: h.options.Count, Resources: node.ReadResources(), Applied: map[uint64][]int64{},
		Joined: maps.Clone(h.joined), Traffic: map[string]peering.Traffic{}, Restarted: append([]float64(nil), h.restarted...),
	}
	for revision, times := range h.applied {
		for _, at := range times {
			report.Applied[revision] = append(report.Applied[revision], at.UnixNano())
		}
	}
	running := make([]*hollow, 0, len(h.running))
	for _, current := range h.running {
		running = append(running, current)
	}
	h.mutex.Unlock()
	for _, current := range running {
		if _, configured := current.node.Snapshot(); configured {
			report.Configured++
		}
		var own uint64
		for kind, traffic := range current.node.Counters.Snapshot() {
			report.Traffic[kind] = report.Traffic[kind].Plus(traffic)
			own += traffic.BytesIn + traffic.BytesOut
		}
		report.MaximumBytes = max(report.MaximumBytes, own)
	}
	_ = json.NewEncoder(writer).Encode(report)
}
