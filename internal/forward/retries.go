package forward

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/budget"
	"pinevane.example/pinevane/internal/fleet"
)

// Fractions of the users' retry bound that are used, because their windows and ours do not begin at
// the same moments.
const (
	retryRatioFraction = 0.8
	retrySlackFraction = 0.8
	// settleTime is how long after the start the number of entries is uncertain.
	settleTime = 3 * time.Second
)

// retryBudgets limits the retries of each service. It implements prometheus.Collector.
type retryBudgets struct {
	bounds  *atomic.Pointer[fleet.Bounds]
	peers   func() int
	started time.Time

	mutex     sync.Mutex
	byService map[string]*budget.Budget
	// maxPeers is the maximum number of other entries seen at once.
	maxPeers int

	allowed, spent, members *prometheus.Desc
}

func newRetryBudgets(options Options, bounds *atomic.Pointer[fleet.Bounds], started time.Time) *retryBudgets {
	return &retryBudgets{
		bounds: bounds, peers: options.Peers, started: started, byService: map[string]*budget.Budget{},
		allowed: prometheus.NewDesc("pinevane_retry_budget_allowed",
			"Retries that this entry may make in the retry window, by what allows them: the ratio of its requests, or its share of the slack.", []string{"service", "by"}, nil),
		spent:   prometheus.NewDesc("pinevane_retry_budget_spent", "Retries that this entry has made in the retry window.", []string{"service"}, nil),
		members: prometheus.NewDesc("pinevane_retry_budget_members", "Entries that this entry divides the slack of the retry budget among.", nil, nil),
	}
}

// budgetOf returns a service's budget. The mutex must be held.
func (r *retryBudgets) budgetOf(service string) *budget.Budget {
	b := r.byService[service]
	if b == nil {
		bounds := r.bounds.Load()
		b = budget.New(budget.Options{Ratio: retryRatioFraction * bounds.RetryRatio, Window: bounds.RetryWindow})
		r.byService[service] = b
	}
	return b
}

func (r *retryBudgets) setRatio(ratio float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, b := range r.byService {
		b.SetRatio(retryRatioFraction * ratio)
	}
}

func (r *retryBudgets) recordRequest(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budgetOf(service).RecordRequest(time.Since(r.started))
}

// spend spends one retry of a service's budget, and reports whether there was one.
func (r *retryBudgets) spend(service string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Since(r.started)
	return r.budgetOf(service).Spend(now, r.slackShare(now))
}

// available reports whether a service's budget has a retry left.
func (r *retryBudgets) available(service string) bool {
	return r.state(service).Remaining() >= 1
}

func (r *retryBudgets) state(service string) budget.State {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Since(r.started)
	return r.budgetOf(service).State(now, r.slackShare(now))
}

// slackShare is this entry's share of the retry slack of each service. The mutex must be held.
func (r *retryBudgets) slackShare(now time.Duration) float64 {
	slack := int(retrySlackFraction * float64(r.bounds.Load().RetrySlack))
	return budget.SlackShare(slack, r.memberCount(), now > settleTime)
}

// memberCount returns the number of entries that share the slack. The mutex must be held.
func (r *retryBudgets) memberCount() int {
	r.maxPeers = max(r.maxPeers, r.peers())
	return r.maxPeers + 1
}

// logFields describes a service's budget.
func (r *retryBudgets) logFields(service string) []zap.Field {
	view := r.view(service)
	return []zap.Field{
		zap.Int("window_requests", view.Requests), zap.Int("window_retries", view.Retries), zap.Float64("allowed_by_ratio", view.AllowedByRatio),
		zap.Float64("allowed_by_slack", view.AllowedBySlack), zap.Int("members", view.Members), zap.Float64("process_age", view.ProcessAge),
	}
}

// RetryBudgetView is the state of a service's retry budget.
type RetryBudgetView struct {
	Service string `json:"service"`
	// Requests and Retries are counted in the retry window.
	Requests       int     `json:"requests"`
	Retries        int     `json:"retries"`
	AllowedByRatio float64 `json:"allowed_by_ratio"`
	AllowedBySlack float64 `json:"allowed_by_slack"`
	// Members is the number of entries that the slack is divided among. ProcessAge is the time since this process
	// began to count, in seconds.
	Members    int     `json:"members"`
	ProcessAge float64 `json:"process_age_seconds"`
}

func (r *retryBudgets) view(service string) RetryBudgetView {
	state := r.state(service)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return RetryBudgetView{
		Service: service, Requests: state.Requests, Retries: state.Retries, AllowedByRatio: state.AllowedByRatio, AllowedBySlack: state.AllowedBySlack,
		Members: r.memberCount(), ProcessAge: time.Since(r.started).Seconds(),
	}
}

func (r *retryBudgets) views() []RetryBudgetView {
	r.mutex.Lock()
	services := slices.Sorted(maps.Keys(r.byService))
	r.mutex.Unlock()
	views := make([]RetryBudgetView, 0, len(services))
	for _, service := range services {
		views = append(views, r.view(service))
	}
	return views
}

// RetryBudgets lists the retry budgets of the services that had requests, ordered by service.
func (f *Forwarder) RetryBudgets() []RetryBudgetView { return f.retryBudgets.views() }

// Describe implements prometheus.Collector.
func (r *retryBudgets) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- r.allowed
	descriptions <- r.spent
	descriptions <- r.members
}

// Label values of what allows retries.
const (
	allowedByRatio = "ratio"
	allowedBySlack = "slack"
)

// Collect implements prometheus.Collector.
func (r *retryBudgets) Collect(collected chan<- prometheus.Metric) {
	for _, view := range r.views() {
		collected <- prometheus.MustNewConstMetric(r.allowed, prometheus.GaugeValue, view.AllowedByRatio, view.Service, allowedByRatio)
		collected <- prometheus.MustNewConstMetric(r.allowed, prometheus.GaugeValue, view.AllowedBySlack, view.Service, allowedBySlack)
		collected <- prometheus.MustNewConstMetric(r.spent, prometheus.GaugeValue, float64(view.Retries), view.Service)
	}
	r.mutex.Lock()
	members := r.memberCount()
	r.mutex.Unlock()
	collected <- prometheus.MustNewConstMetric(r.members, prometheus.GaugeValue, float64(members))
}
