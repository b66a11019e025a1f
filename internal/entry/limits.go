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

// countEntries returns how many entries share the tenants' limits: every one on
// the membership list, leaving or not, so that the sum of the shares stays at
// or under each limit.
func countEntries(members []external.Member) int {
	count := 0
	for _, member := range members {
		if member.Role == external.RoleEntry {
			count++
		}
	}
	return max(1, count)
}

// raiseDelay is how long a new or raised share waits: longer than a membership
// list takes to reach every entry.
const raiseDelay = 3 * time.Second

// limiter holds an entry's share of each tenant's limits. The share is a part of
// the whole limit, 0 to 1, and holds for requests, tokens and concurrency alike.
type limiter struct {
	now     func() time.Time
	started time.Time

	mutex      sync.Mutex
	configured bool
	tenants    map[string]*tenantShare
}

type tenantShare struct {
	limits  configuration.Tenant
	account *escrow.Account
	// requests and tokens are nil until there is a share.
	requests *rate.Limiter
	tokens   *rate.Limiter
	open     int
	// demand is the part of the limit that was lately asked for, refused requests
	// included; it decays.
	demand   float64
	demandAt time.Duration
}

func newLimiter(now func() time.Time) *limiter {
	return &limiter{now: now, started: now(), tenants: map[string]*tenantShare{}}
}

// clock is the time on the process's own monotonic clock.
func (l *limiter) clock() time.Duration { return l.now().Sub(l.started) }

// burstSeconds is how many seconds of its rate a tenant may use at once.
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

// settled reports whether every tenant's base share is in force, from when on an
// entry can take requests.
func (l *limiter) settled() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, share := range l.tenants {
		if share.account.Base(l.clock()) == 0 {
			return false
		}
	}
	return l.configured
}

// setRate returns a bucket with a rate: the same one adjusted, or a full one
// where there was none.
func setRate(bucket *rate.Limiter, now time.Time, perSecond float64) *rate.Limiter {
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

// refresh brings the buckets in step with what is usable now.
func (s *tenantShare) refresh(now time.Time, clock time.Duration) (concurrency int) {
	usable := s.account.Usable(clock)
	s.requests = setRate(s.requests, now, s.limits.RequestsPerSecond*usable)
	s.tokens = setRate(s.tokens, now, s.limits.TokensPerSecond*usable)
	return max(1, int(float64(s.limits.Concurrency)*usable))
}

// demandDecay is the time in which remembered demand falls to 1/e.
const demandDecay = 2 * time.Second

// note adds one request's part of the limits to the demand.
func (s *tenantShare) note(clock time.Duration, tokens int) {
	perRequest := max(1/s.limits.RequestsPerSecond, float64(tokens)/s.limits.TokensPerSecond)
	s.demand = s.decayed(clock) + perRequest/demandDecay.Seconds()
	s.demandAt = clock
}

func (s *tenantShare) decayed(clock time.Duration) float64 {
	return s.demand * math.Exp(-(clock-s.demandAt).Seconds()/demandDecay.Seconds())
}

// retryAfterConcurrency is the wait told to a caller whose tenant has too many
// requests open.
const retryAfterConcurrency = time.Second

// admit takes one request with an estimate of its tokens. The release function
// must be called when the request has ended.
func (l *limiter) admit(tenant string, tokens int) (release func(), refusal *fault.Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share, known := l.tenants[tenant]
	if !known {
		return nil, fault.NotRun(fault.ReasonNotReady, "the tenant's limits are not known yet")
	}
	now := l.now()
	share.note(l.clock(), tokens)
	concurrency := share.refresh(now, l.clock())
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
	if refusal := take(share.requests, now, 1, fault.ReasonLimitRequests, "the tenant is over its requests a second"); refusal != nil {
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

// take draws from a bucket, or tells when enough will be in it.
func take(bucket *rate.Limiter, now time.Time, count int, reason fault.Reason, detail string) *fault.Refusal {
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

// overdraw draws from a bucket that holds anything, also more than it holds, which the next ones wait for. A
// large request that had to find its whole size in the bucket would not be admitted beside small ones that take what comes in.
func overdraw(bucket *rate.Limiter, now time.Time, count int, reason fault.Reason, detail string) *fault.Refusal {
	if refusal := take(bucket, now, 1, reason, detail); refusal != nil {
		return refusal
	}
	bucket.ReserveN(now, count-1)
	return nil
}

// Borrowing starts when demand comes near to what is usable, and asks for what
// demand needs with a reserve.
const (
	borrowAt      = 0.8
	borrowReserve = 1.25
)

// wish is a request for more of a tenant's limit.
type wish struct {
	tenant  string
	request escrow.Request
}

// wishes returns the requests to send to other entries now. One request is
// pending a tenant, so that what comes in is not more than was needed.
func (l *limiter) wishes() []wish {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clock := l.clock()
	var result []wish
	for name, share := range l.tenants {
		demand, usable := share.decayed(clock), share.account.Usable(clock)
		if demand < borrowAt*usable || demand == 0 || share.account.Pending(clock) {
			continue
		}
		amount := demand*borrowReserve - usable
		if amount > 0 {
			result = append(result, wish{tenant: name, request: share.account.NewRequest(amount, clock)})
		}
	}
	return result
}

// answer grants another entry what this one does not need.
func (l *limiter) answer(tenant string, request escrow.Request) (escrow.Grant, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	share, known := l.tenants[tenant]
	if !known {
		return escrow.Grant{}, false
	}
	return share.account.HandleRequest(request, share.decayed(l.clock())*borrowReserve, l.clock()), true
}

// receive takes another entry's grant.
func (l *limiter) receive(tenant string, grant escrow.Grant) {
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

// views describes the tenants that have demand.
func (l *limiter) views() []ShareView {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	const noticeable = 1e-6
	views := []ShareView{}
	for name, share := range l.tenants {
		if demand := share.decayed(l.clock()); demand > noticeable || share.open > 0 {
			views = append(views, ShareView{Tenant: name, Usable: share.account.Usable(l.clock()), Demand: demand, Open: share.open})
		}
	}
	return views
}
