package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/shedding"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Times of ejection and of agents' words.
const (
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 2
	// ejectTime is the first ejection; it doubles up to maximumEjectTime.
	ejectTime        = 500 * time.Millisecond
	maximumEjectTime = 4 * time.Second
	// statusCurrent is the age up to which an agent's word is trusted.
	statusCurrent = 1200 * time.Millisecond
	// switchMargin is how long before its switch a server is sent nothing more.
	switchMargin = 150 * time.Millisecond
)

// target is one server as this entry sees it. The fields below the pool are
// guarded by the mutex of the set.
type target struct {
	id      string
	address string
	zone    string
	pool    pool

	server fleet.Server

	inFlight int
	// unread counts the requests sent to a model server whose first event has not
	// come, unreadTokens their prompts.
	unread       int
	unreadTokens int
	// unbegun holds these requests.
	unbegun map[*work]unbegun
	// excess is the moving mean of how much later than expected first events come,
	// as of excessAt.
	excess      time.Duration
	excessAt    time.Time
	failures    int
	ejections   int
	ejectedTill time.Time
	status      fleet.MachineStatus
	statusAt    time.Time
	// inFlightThen, unreadThen and unreadTokensThen are this entry's own part of the
	// status's load.
	inFlightThen     int
	unreadThen       int
	unreadTokensThen int
	// version is the newest that the server itself has told, in an answer or on the
	// list of servers.
	version uint64
	// meanMilliseconds is the moving mean time of whole answers.
	meanMilliseconds float64
	// firstMean is the moving mean time to the first event of streams.
	firstMean time.Duration
	// answeredAt is when the server's agent last answered a question of this entry.
	answeredAt time.Time
	// unansweredAt is when the server's agent last did not answer a question.
	unansweredAt time.Time
	// gone servers are kept until their last request has ended.
	gone bool
	// received are the requests that this entry has sent here lately.
	received admission.Window
	// readmittedUntil is until when the server counts as cold because an evacuation of its
	// zone was taken back.
	readmittedUntil time.Time
	// superseded servers have ended for good: another has answered at their address.
	superseded bool
}

// unbegun is a request at a model server whose first event has not come.
type unbegun struct {
	sentAt time.Time
	// due is when the first event was expected to come.
	due    time.Time
	prompt int
	// nearLimit is set when it was expected so late that the limit of refusals matters.
	nearLimit bool
	// idle is set when the server was known to have nothing else to do.
	idle bool
}

// targets is the set of servers.
type targets struct {
	zone    string
	regions map[string]string
	log     *logging.Logger
	random  func() float64
	shuffle func(count int, swap func(i, j int))

	mutex     sync.Mutex
	byID      map[string]*target
	byService map[string][]*target
	byAddress map[string]*target
	// statuses keeps the agents' words by the address of their server.
	statuses map[string]statusAt
	// leastMissing is how many pieces the best prepared machine lacks of each version
	// that is being fetched, as of the last choice.
	leastMissing map[uint64]int
	view         *catalog.View
	// learned is what the answers of each service of model servers have shown.
	learned map[string]*balance.Learned
	// margins learn the limit of refusals of each service.
	margins map[string]*balance.Margin
	// usual learns what time callers of each route have left at first attempts.
	usual map[string]*shedding.Usual
	// pressures tell whether each service is overloaded.
	pressures map[string]*shedding.Pressure
	started   time.Time

	// bounds are what the platform holds the fleet to; cold are the entries that share what
	// cold servers may receive, and coldSent counts this entry's requests to such.
	bounds   fleet.Bounds
	cold     *coldMembers
	coldSent uint64
}

type statusAt struct {
	status fleet.MachineStatus
	at     time.Time
}

func newTargets(zone string, regions map[string]string, log *logging.Logger) *targets {
	return &targets{
		zone: zone, regions: regions, log: log, random: rand.Float64, shuffle: rand.Shuffle, cold: newColdMembers("", nil),
		byID: map[string]*target{}, byService: map[string][]*target{}, byAddress: map[string]*target{}, statuses: map[string]statusAt{},
		view: &catalog.View{}, learned: map[string]*balance.Learned{}, margins: map[string]*balance.Margin{}, usual: map[string]*shedding.Usual{}, pressures: map[string]*shedding.Pressure{}, started: time.Now(),
	}
}

// update takes over a new list of servers.
func (t *targets) update(view *catalog.View) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	old := t.view
	t.view = view
	present := map[string]bool{}
	t.byService = map[string][]*target{}
	t.byAddress = map[string]*target{}
	for service, servers := range view.Servers {
		for _, server := range servers {
			present[server.ID] = true
			known := t.byID[server.ID]
			if known == nil {
				known = &target{id: server.ID, address: server.Address, zone: server.Zone, unbegun: map[*work]unbegun{}, received: *admission.NewWindow(coldSpan)}
				t.byID[server.ID] = known
				if told, heard := t.statuses[server.Address]; heard {
					known.status, known.statusAt = told.status, told.at
				}
			}
			if known.server.Draining != server.Draining && server.Draining {
				t.log.Log(logging.ServerLeaving, zap.String("server", server.ID), zap.Int("in_flight", known.inFlight))
				known.pool.close()
			}
			known.server = server
			known.listed(server)
			t.byService[service] = append(t.byService[service], known)
			t.holdAddress(known)
		}
	}
	for id, known := range t.byID {
		if !present[id] {
			t.log.Log(logging.ServerGone, zap.String("server", id), zap.Int("in_flight", known.inFlight))
			known.gone = true
			known.pool.close()
			delete(t.byID, id)
		}
	}
	t.noteEvacuations(old, view)
	t.forgetRoutes(view.Configuration)
}

// holdAddress notes who has an address now: of several servers that are listed with
// it, the one whose line is the newest. The others have ended, and the list will
// drop them; the mutex is held.
func (t *targets) holdAddress(known *target) {
	holder := t.byAddress[known.address]
	if holder == nil || holder.server.Revision < known.server.Revision {
		t.byAddress[known.address] = known
		known.gone = known.superseded
		holder, known = known, holder
	}
	if known == nil {
		return
	}
	known.gone = true
	known.pool.close()
	if told, heard := t.statuses[holder.address]; heard && holder.statusAt.IsZero() {
		holder.status, holder.statusAt = told.status, told.at
	}
}

// supersede notes that another server has answered at a server's address.
func (t *targets) supersede(k *target, instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !k.gone {
		t.log.Log(logging.ServerSuperseded, zap.String("server", k.id), zap.String("instance", instance))
	}
	k.gone, k.superseded = true, true
	k.pool.close()
}

// listed takes over the version that the list of servers tells.
func (k *target) listed(server fleet.Server) {
	for _, model := range server.Models {
		k.version = max(k.version, model.Version)
	}
}

// takeStatus notes an agent's word on its server. Only an entry that has it from the
// agent itself logs what it changes: the log of the fleet tells it once or twice.
func (t *targets) takeStatus(status fleet.MachineStatus, at time.Time, direct bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.statuses[status.Address].at.After(at) {
		// An answer to a question overtakes what is told all the time.
		return
	}
	t.statuses[status.Address] = statusAt{status: status, at: at}
	known := t.byAddress[status.Address]
	if known == nil {
		return
	}
	if direct && (known.status.Reachable != status.Reachable || known.status.Version != status.Version) {
		t.log.Log(logging.ServerStatus, zap.String("server", known.id), zap.Bool("reachable", status.Reachable),
			zap.Uint64("version", status.Version), zap.Int64("switch_ms", status.SwitchMilliseconds))
	}
	known.status, known.statusAt = status, at
	known.inFlightThen, known.unreadThen, known.unreadTokensThen = known.inFlight, known.unread, known.unreadTokens
	for _, one := range known.unbegun {
		if one.sentAt.After(at) {
			known.inFlightThen--
			known.unreadThen--
			known.unreadTokensThen -= one.prompt
		}
	}
	known.version = max(known.version, status.Version)
}

// current reports whether the agent's word is recent.
func (k *target) current(now time.Time) bool {
	return !k.statusAt.IsZero() && now.Sub(k.statusAt) < statusCurrent
}

// silentAgent reports whether the server has an agent that has fallen silent.
func (k *target) silentAgent(now time.Time) bool {
	return !k.statusAt.IsZero() && now.Sub(k.statusAt) >= statusCurrent
}

// outstanding estimates how many requests the server holds.
func (k *target) outstanding(now time.Time) int {
	if !k.current(now) {
		return k.inFlight
	}
	others := max(0, k.status.Running+k.status.Waiting-k.inFlightThen)
	return others + k.inFlight
}

// fail notes an attempt that the server spoilt.
func (t *targets) fail(k *target, reason string, hard bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.failures++
	if hard {
		k.failures = max(k.failures, ejectAfter)
	}
	if k.failures < ejectAfter {
		return
	}
	k.failures = 0
	pauseTime := min(ejectTime<<min(k.ejections, 6), maximumEjectTime)
	k.ejections++
	k.ejectedTill = time.Now().Add(pauseTime)
	t.log.Log(logging.ServerEjected, zap.String("server", k.id), zap.String("reason", reason), zap.Duration("for", pauseTime))
}

// succeed notes an attempt that the server carried out.
func (t *targets) succeed(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if k.ejections > 0 {
		t.log.Log(logging.ServerReturned, zap.String("server", k.id))
	}
	k.failures, k.ejections = 0, 0
	const weight = 0.1
	value := float64(took) / float64(time.Millisecond)
	if k.meanMilliseconds == 0 {
		k.meanMilliseconds = value
	}
	k.meanMilliseconds += weight * (value - k.meanMilliseconds)
}

// firstMeanWeight is the weight of one more first event in the mean.
const firstMeanWeight = 0.1

// sawFirst notes how long a stream's first event took.
func (t *targets) sawFirst(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if k.firstMean == 0 {
		k.firstMean = took
	}
	k.firstMean += time.Duration(firstMeanWeight * float64(took-k.firstMean))
}

// usualWait is how long the first byte of an answer usually takes: as the last ones did, or as
// predicted, whichever is longer.
func (t *targets) usualWait(chosen choice, route *fleet.Route) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usual := time.Duration(chosen.target.meanMilliseconds * float64(time.Millisecond))
	if route.Kind == fleet.Streaming {
		usual = chosen.target.firstMean
	}
	if usual == 0 {
		usual = route.Target
	}
	return max(usual, chosen.expected)
}

// sawVersion notes the version that an answer named.
func (t *targets) sawVersion(k *target, version uint64) {
	if version == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.version = max(k.version, version)
}

// sweep ends idle connections that are too old.
func (t *targets) sweep() {
	t.mutex.Lock()
	all := make([]*target, 0, len(t.byID))
	for _, known := range t.byID {
		all = append(all, known)
	}
	t.mutex.Unlock()
	now := time.Now()
	for _, known := range all {
		known.pool.sweep(now)
	}
}
