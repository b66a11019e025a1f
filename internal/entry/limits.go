package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/platform"
)

// countEntries returns how many entries share the tenants' limits: every one on
// the membership list, leaving or not, so that the sum of the shares stays at
// or under each limit.
func countEntries(members []platform.Member) int {
	count := 0
	for _, member := range members {
		if member.Role == platform.RoleEntry {
			count++
		}
	}
	return max(1, count)
}

// limiter holds an entry's share of each tenant's limits. Shares are equal
// parts of the limit; a share is never under one request open at once.
type limiter struct {
	now     func() time.Time
	mutex   sync.Mutex
	tenants map[string]*tenantShare
}

type tenantShare struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	// concurrency is the most requests open at once here.
	concurrency int
	open        int
}

func newLimiter(now func() time.Time) *limiter {
	return &limiter{now: now, tenants: map[string]*tenantShare{}}
}

// burstSeconds is how many seconds of its rate a tenant may use at once.
const burstSeconds = 2

// configure sets every tenant's share for a number of entries.
func (l *limiter) configure(snapshot *configuration.Snapshot, entries int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name := range l.tenants {
		if _, known := snapshot.Tenants[name]; !known {
			delete(l.tenants, name)
		}
	}
	for name, tenant := range snapshot.Tenants {
		share, known := l.tenants[name]
		if !known {
			share = &tenantShare{requests: rate.NewLimiter(0, 0), tokens: rate.NewLimiter(0, 0)}
			l.tenants[name] = share
		}
		now := l.now()
		setRate(share.requests, now, tenant.RequestsPerSecond/float64(entries))
		setRate(share.tokens, now, tenant.TokensPerSecond/float64(entries))
		share.concurrency = max(1, tenant.Concurrency/entries)
	}
}

func setRate(limiter *rate.Limiter, now time.Time, perSecond float64) {
	if limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	limiter.SetLimitAt(now, rate.Limit(perSecond))
	limiter.SetBurstAt(now, max(1, int(perSecond*burstSeconds)))
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
	if share.open >= share.concurrency {
		refusal = fault.NotRun(fault.ReasonLimitConcurrency, "the tenant has too many requests open")
		refusal.RetryAfter = retryAfterConcurrency
		return nil, refusal
	}
	now := l.now()
	if refusal := take(share.requests, now, 1, fault.ReasonLimitRequests, "the tenant is over its requests a second"); refusal != nil {
		return nil, refusal
	}
	if tokens > 0 {
		charged := min(tokens, share.tokens.Burst())
		if refusal := take(share.tokens, now, charged, fault.ReasonLimitTokens, "the tenant is over its tokens a second"); refusal != nil {
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
