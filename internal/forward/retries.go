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
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// retryBudgets limits the retries of each service. It implements prometheus.Collector.
type retryBudgets struct {
	bounds *atomic.Pointer[fleet.Bounds]
	// entries lists the other entries that were known recently; nil if none are known.
	entries func() []sharing.Member
	// started is when the budgets began to count.
	started time.Time

	// announcer tells others what this entry has counted; nil tells nobody. announcing keeps the accounts in order.
	announcer  RetryAccountAnnouncer
	announcing sync.Mutex
	log        *logging.Logger

	mutex     sync.Mutex
	byService map[string]*budget.Budget
	// members are the entries that share the slack.
	members *sharing.Members

	allowed, spent, memberCount *prometheus.Desc
	accounts                    *prometheus.CounterVec
}

// RetryAccountAnnouncer tells others what an entry has counted for its retry budgets, for its next process.
type RetryAccountAnnouncer interface {
	// AnnounceRetryAccount tells what was counted for a service until now.
	AnnounceRetryAccount(service string, account budget.Account)
}

// accountInterval is the maximum time between two accounts of a service that was retried within the window. It leaves a
// process as long to restart.
const accountInterval = budget.MaxAccountGap / 2

// What became of an account of the former process.
const (
	accountResumed = "resumed"
	accountTooOld  = "too old"
)

func newRetryBudgets(options Options, bounds *atomic.Pointer[fleet.Bounds], started time.Time) *retryBudgets {
	if !options.RetriesSince.IsZero() {
		started = options.RetriesSince
	}
	members := sharing.New(sharing.Member{ID: options.Self, Zone: options.Zone})
	members.SetZones(slices.Collect(maps.Keys(options.Regions)))
	return &retryBudgets{
		bounds: bounds, entries: options.Entries, started: started, members: members, byService: map[string]*budget.Budget{},
		announcer: options.Accounts, log: options.Log,
		allowed: prometheus.NewDesc("pinevane_retry_budget_allowed",
			"Retries that this entry may make in the retry window, by what allows them: the ratio of its requests, or its share of the slack.", []string{"service", "by"}, nil),
		spent:       prometheus.NewDesc("pinevane_retry_budget_spent", "Retries that this entry has made in the retry window.", []string{"service"}, nil),
		memberCount: prometheus.NewDesc("pinevane_retry_budget_members", "Entries that this entry divides the slack of the retry budget among.", nil, nil),
		accounts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_retry_accounts_total", Help: "Accounts of the former process's retries that others have told this one, by whether the budget goes on with them."}, []string{"result"}),
	}
}

// budgetOf returns a service's budget, under the limits of the current settings. Its window stays as it was at
// the start. The mutex must be held.
func (r *retryBudgets) budgetOf(service string) *budget.Budget {
	bounds := r.bounds.Load()
	b := r.byService[service]
	if b == nil {
		b = budget.New(budget.Options{Window: bounds.RetryWindow})
		r.byService[service] = b
	}
	b.SetLimit(bounds.RetryRatio, bounds.RetrySlack)
	return b
}

func (r *retryBudgets) recordRequest(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budgetOf(service).RecordRequest(time.Since(r.started))
}

// setZones sets the zones that have entries, by the regions that they map to.
func (r *retryBudgets) setZones(regions map[string]string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.members.SetZones(slices.Collect(maps.Keys(regions)))
}

// spend spends one retry of a service's budget, and reports whether there was one.
func (r *retryBudgets) spend(service string) (spent bool) {
	accountDue := false
	r.use(service, func(b *budget.Budget, age time.Duration, members int) {
		spent = b.Spend(age, members)
		accountDue = b.AccountDue()
	})
	if spent && accountDue {
		r.announce(service)
	}
	return spent
}

// announce tells others what was counted for a service.
func (r *retryBudgets) announce(service string) {
	if r.announcer == nil {
		return
	}
	r.announcing.Lock()
	defer r.announcing.Unlock()
	var account budget.Account
	r.use(service, func(b *budget.Budget, age time.Duration, members int) { account = b.Account(age, members) })
	r.announcer.AnnounceRetryAccount(service, account)
}

// announceRetried tells others what was counted for the services that were retried within the window.
func (r *retryBudgets) announceRetried() {
	for _, view := range r.views() {
		if view.Retries > 0 {
			r.announce(view.Service)
		}
	}
}

// resume goes on with what the former process of this entry had counted for a service until the given time.
func (r *retryBudgets) resume(service string, account budget.Account, at time.Time) {
	result, isNew := accountTooOld, false
	if r.started.Sub(at) <= budget.MaxAccountGap {
		r.use(service, func(b *budget.Budget, age time.Duration, _ int) {
			result, isNew = accountResumed, b.Resume(account, time.Since(at), age)
		})
		if !isNew {
			return
		}
	}
	r.accounts.WithLabelValues(result).Inc()
	r.log.Log(logging.RetryAccountReceived, append(r.logFields(service), zap.String("service", service), zap.String("result", result),
		zap.Duration("before_start", r.started.Sub(at)), zap.Int("reserve", account.Reserve), zap.Duration("covered", account.Covered))...)
}

// available reports whether a service's budget has a retry left.
func (r *retryBudgets) available(service string) bool {
	return r.state(service).Remaining() >= 1
}

func (r *retryBudgets) state(service string) (state budget.State) {
	r.use(service, func(b *budget.Budget, age time.Duration, members int) { state = b.State(age, members) })
	return state
}

// use runs an action on a service's budget, with the time since the budgets began to count and the number of
// entries that share the slack.
func (r *retryBudgets) use(service string, action func(b *budget.Budget, age time.Duration, members int)) {
	r.refreshMembers()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	age, members := r.ageAndMembers()
	action(r.budgetOf(service), age, members)
}

// refreshMembers looks the other entries up where that is due. The mutex is not held during the lookup, and
// others go on with the entries known before.
func (r *retryBudgets) refreshMembers() {
	r.mutex.Lock()
	isDue := r.entries != nil && r.members.LookupDue(time.Now())
	if isDue {
		r.members.BeginLookup()
	}
	r.mutex.Unlock()
	if !isDue {
		return
	}
	known := r.entries()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.members.Update(known, time.Now())
}

// ageAndMembers returns the time since the budgets began to count and the number of entries that share the slack.
// The mutex must be held.
func (r *retryBudgets) ageAndMembers() (time.Duration, int) {
	now := time.Now()
	age := now.Sub(r.started)
	return age, r.members.Count(now, age)
}

// logFields describes a service's budget.
func (r *retryBudgets) logFields(service string) []zap.Field {
	view := r.view(service)
	return []zap.Field{
		zap.Int("window_requests", view.Requests), zap.Int("window_retries", view.Retries), zap.Float64("allowed_by_ratio", view.AllowedByRatio),
		zap.Float64("allowed_by_slack", view.AllowedBySlack), zap.Int("members", view.Members), zap.Float64("process_age", view.ProcessAge), zap.Bool("resumed", view.Resumed), zap.Bool("established", view.Established),
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
	// began to count, in seconds. Resumed is set if the counts go on with those of the former process. Established is
	// set once they cover a whole window: until then less is allowed, since a former process may have spent the rest.
	Members     int     `json:"members"`
	ProcessAge  float64 `json:"process_age_seconds"`
	Resumed     bool    `json:"resumed"`
	Established bool    `json:"established"`
}

func (r *retryBudgets) view(service string) (view RetryBudgetView) {
	r.use(service, func(b *budget.Budget, age time.Duration, members int) {
		state := b.State(age, members)
		view = RetryBudgetView{
			Service: service, Requests: state.Requests, Retries: state.Retries, AllowedByRatio: state.AllowedByRatio, AllowedBySlack: state.AllowedBySlack,
			Members: members, ProcessAge: age.Seconds(), Resumed: state.Resumed, Established: state.Established,
		}
	})
	return view
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

// ReceiveRetryAccount applies what the former process of this entry had counted for a service until the given time.
func (f *Forwarder) ReceiveRetryAccount(service string, account budget.Account, at time.Time) {
	f.retryBudgets.resume(service, account, at)
}

// RetryBudgets lists the retry budgets of the services that had requests, ordered by service.
func (f *Forwarder) RetryBudgets() []RetryBudgetView { return f.retryBudgets.views() }

// Describe implements prometheus.Collector.
func (r *retryBudgets) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- r.allowed
	descriptions <- r.spent
	descriptions <- r.memberCount
	r.accounts.Describe(descriptions)
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
	r.accounts.Collect(collected)
	r.mutex.Lock()
	_, members := r.ageAndMembers()
	r.mutex.Unlock()
	collected <- prometheus.MustNewConstMetric(r.memberCount, prometheus.GaugeValue, float64(members))
}
