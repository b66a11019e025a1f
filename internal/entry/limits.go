package entry

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pinevane.example/pinevane/coordination/escrow"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
)

// countEntries returns how many entries share the tenants' limits. It counts every entry on the
// membership list, leaving or not, so that the sum of the shares never exceeds a limit.
func countEntries(members []external.Member) int {
	count := 0
	for _, member := range members {
		if member.Role == external.RoleEntry {
			count++
		}
	}
	return max(1, count)
}

// raiseDelay is how long a new or raised share waits until it takes effect. It is longer than a
// membership list takes to reach every entry.
const raiseDelay = 3 * time.Second

// limiter enforces an entry's share of each tenant's limits. The share is a fraction of the limit,
// 0 to 1, and applies to requests, tokens and concurrency alike.
type limiter struct {
	now       func() time.Time
	startedAt time.Time

	mutex      sync.Mutex
	configured bool
	tenants    map[string]*tenantShare
}

type tenantShare struct {
	limits  configuration.Tenant
	account *escrow.Account
	// requests and tokens are the token buckets. They are nil until there is a share.
	requests *rate.Limiter
	tokens   *rate.Limiter
	open     int
	// demand is the fraction of the limit that was requested recently, including refused requests.
	// It decays with demandDecay.
	demand   float64
	demandAt time.Duration
}

func newLimiter(now func() time.Time) *limiter {
	return &limiter{now: now, startedAt: now(), tenants: map[string]*tenantShare{}}
}

// clock returns the monotonic time since the limiter was created.
func (l *limiter) clock() time.Duration { return l.now().Sub(l.startedAt) }

// burstSeconds is the size of a tenant's token bucket, in seconds of its rate.
const burstSeconds = 2

// configure sets every tenant's base share for a number of entries.
func (l *limiter) configure(snapshot *configuration.Snapshot, entries int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.configured = true
	for name := range l.tenants {
		if _, known := snapshot.Tenants[name]; !known {
			delete(l.tenants, name)
		}
	}
	for name, tenant := range snapshot.Tenants {
		share, known := l.tenants[name]
		if !known {
			share = &tenantShare{account: escrow.NewAccount(escrow.Options{RaiseDelay: raiseDelay})}
			l.tenants[name] = share
		}
		share.limits = tenant
		share.account.SetBase(1/float64(entries), l.clock())
	}
}

// ready reports whether every tenant's base share is in effect, which an entry needs in order to
// accept requests.
func (l *limiter) ready() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, share := range l.tenants {
		if share.account.Base(l.clock()) == 0 {
			return false
		}
	}
	return l.configured
}

// adjustBucket sets a token bucket's rate and returns the bucket. If there was none it returns a
// full one.
func adjustBucket(bucket *rate.Limiter, now time.Time, perSecond float64) *rate.Limiter {
	limit, burst := rate.Limit(perSecond), max(1, int(perSecond*burstSeconds))
	if bucket == nil && perSecond > 0 {
		return rate.NewLimiter(limit, burst)
	}
	if bucket != nil && bucket.Limit() != limit {
		bucket.SetLimitAt(now, limit)
		bucket.SetBurstAt(now, burst)
	}
	return bucket
}

// updateBuckets adjusts the buckets to the usable share and returns the concurrency limit.
func (s *tenantShare) updateBuckets(now time.Time, clock time.Duration) (concurrency int) {
	usable := s.account.Usable(clock)
	s.requests = adjustBucket(s.requests, now, s.limits.RequestsPerSecond*usable)
	s.tokens = adjustBucket(s.tokens, now, s.limits.TokensPerSecond*usable)
	return max(1, int(float64(s.limits.Concurrency)*usable))
}

// demandDecay is the time in which recorded demand decays to 1/e.
const demandDecay = 2 * time.Second

// recordDemand adds one request's fraction of the limits to the demand.
func (s *tenantShare) recordDemand(clock time.Duration, tokens int) {
	perRequest := max(1/s.limits.RequestsPerSecond, float64(tokens)/s.limits.TokensPerSecond)
	s.demand = s.decayedDemand(clock) + perRequest/demandDecay.Seconds()
	s.demandAt = clock
}

func (s *tenantShare) decayedDemand(clock time.Duration) float64 {
	return s.demand * math.Exp(-(clock-s.demandAt).Seconds()/demandDecay.Seconds())
}

// retryAfterConcurrency is the Retry-After time while a tenant has too many requests open.
const retryAfterConcurrency = time.Second

// admit admits or refuses a request, given an estimate of its tokens. The release function must be
// called when the request has ended.
func (l *limiter) admit(tenant string, tokens int) (release func(), refusal *fault.Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share, known := l.tenants[tenant]
	if !known {
		return nil, fault.NotRun(fault.ReasonNotReady, "the tenant's limits are not known yet")
	}
	now := l.now()
	share.recordDemand(l.clock(), tokens)
	concurrency := share.updateBuckets(now, l.clock())
	if share.requests == nil || share.tokens == nil {
		refusal = fault.NotRun(fault.ReasonNotReady, "the entry's share of the tenant's limits is not in force yet")
		refusal.RetryAfter = raiseDelay
		return nil, refusal
	}
	if share.open >= concurrency {
		refusal = fault.NotRun(fault.ReasonLimitConcurrency, "the tenant has too many requests open")
		refusal.RetryAfter = retryAfterConcurrency
		return nil, refusal
	}
	if refusal := withdraw(share.requests, now, 1, fault.ReasonLimitRequests, "the tenant is over its requests a second"); refusal != nil {
		return nil, refusal
	}
	if tokens > 0 {
		charged := min(tokens, share.tokens.Burst())
		if refusal := overdraw(share.tokens, now, charged, fault.ReasonLimitTokens, "the tenant is over its tokens a second"); refusal != nil {
			return nil, refusal
		}
	}
	share.open++
	return func() { l.release(share) }, nil
}

func (l *limiter) release(share *tenantShare) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share.open--
}

// withdraw takes an amount from a bucket, or returns a refusal with the time until it holds enough.
func withdraw(bucket *rate.Limiter, now time.Time, count int, reason fault.Reason, detail string) *fault.Refusal {
	reservation := bucket.ReserveN(now, count)
	if !reservation.OK() {
		return fault.NotRun(reason, detail)
	}
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	reservation.CancelAt(now)
	refusal := fault.NotRun(reason, detail)
	refusal.RetryAfter = delay
	return refusal
}

// overdraw takes an amount from a bucket that is not empty, even if it holds less; later requests
// wait for the deficit. If large requests had to wait for the full amount, small ones would consume
// each refill first and starve them.
func overdraw(bucket *rate.Limiter, now time.Time, count int, reason fault.Reason, detail string) *fault.Refusal {
	if refusal := withdraw(bucket, now, 1, reason, detail); refusal != nil {
		return refusal
	}
	bucket.ReserveN(now, count-1)
	return nil
}

// An entry borrows when demand exceeds borrowThreshold of the usable share. It requests enough to
// have borrowMargin times the demand.
const (
	borrowThreshold = 0.8
	borrowMargin    = 1.25
)

// tenantRequest is a request for a part of another entry's share of a tenant's limit.
type tenantRequest struct {
	tenant  string
	request escrow.Request
}

// borrowRequests returns the requests to send to other entries now. Each tenant has at most one
// pending request, so that no more is granted than is needed.
func (l *limiter) borrowRequests() []tenantRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clock := l.clock()
	var result []tenantRequest
	for name, share := range l.tenants {
		demand, usable := share.decayedDemand(clock), share.account.Usable(clock)
		if demand < borrowThreshold*usable || demand == 0 || share.account.Pending(clock) {
			continue
		}
		amount := demand*borrowMargin - usable
		if amount > 0 {
			result = append(result, tenantRequest{tenant: name, request: share.account.NewRequest(amount, clock)})
		}
	}
	return result
}

// grant grants another entry the part of the share that this one does not need.
func (l *limiter) grant(tenant string, request escrow.Request) (escrow.Grant, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share, known := l.tenants[tenant]
	if !known {
		return escrow.Grant{}, false
	}
	return share.account.HandleRequest(request, share.decayedDemand(l.clock())*borrowMargin, l.clock()), true
}

// applyGrant adds another entry's grant to the share.
func (l *limiter) applyGrant(tenant string, grant escrow.Grant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if share, known := l.tenants[tenant]; known {
		share.account.ApplyGrant(grant, l.clock())
	}
}

// ShareView is one line of the state dump.
type ShareView struct {
	Tenant string  `json:"tenant"`
	Usable float64 `json:"usable_share"`
	Demand float64 `json:"demand_share"`
	Open   int     `json:"open"`
}

// views lists the tenants that have demand or open requests.
func (l *limiter) views() []ShareView {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	const minDemand = 1e-6
	views := []ShareView{}
	for name, share := range l.tenants {
		if demand := share.decayedDemand(l.clock()); demand > minDemand || share.open > 0 {
			views = append(views, ShareView{Tenant: name, Usable: share.account.Usable(l.clock()), Demand: demand, Open: share.open})
		}
	}
	return views
}
