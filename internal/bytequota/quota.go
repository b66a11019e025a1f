// Package bytequota bounds the bytes that a process holds for its callers (request and response bodies),
// and divides them among tenants by dynamic thresholds: each tenant may hold as many bytes as are free.
// A single tenant gets half of the bound, and each gets less the more tenants hold large amounts, so
// that there is always room for a tenant that holds nothing.
package bytequota

import "sync"

// Quota limits the bytes held by all tenants together to a bound. It is safe for concurrent use.
type Quota struct {
	mutex sync.Mutex
	bound int64
	held  int64
	// tenants maps each tenant that holds bytes to their number.
	tenants map[string]int64
	refused uint64
}

// New returns a quota with a bound in bytes.
func New(bound int64) *Quota { return &Quota{bound: bound, tenants: map[string]int64{}} }

// reserve charges a tenant for bytes and reports whether it may hold them.
func (q *Quota) reserve(tenant string, bytes int64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.tenants[tenant] + bytes
	if held > q.bound-q.held {
		q.refused++
		return false
	}
	q.held += bytes
	q.tenants[tenant] = held
	return true
}

func (q *Quota) release(tenant string, bytes int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.held -= bytes
	if remaining := q.tenants[tenant] - bytes; remaining > 0 {
		q.tenants[tenant] = remaining
		return
	}
	delete(q.tenants, tenant)
}

// Status is a snapshot of a quota.
type Status struct {
	Bound   int64            `json:"bound_bytes"`
	Held    int64            `json:"held_bytes"`
	Refused uint64           `json:"refused"`
	Tenants map[string]int64 `json:"tenants_bytes"`
}

// Status returns the bytes held now. Refused counts the refused charges.
func (q *Quota) Status() Status {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	status := Status{Bound: q.bound, Held: q.held, Refused: q.refused, Tenants: make(map[string]int64, len(q.tenants))}
	for tenant, bytes := range q.tenants {
		status.Tenants[tenant] = bytes
	}
	return status
}

// Account holds the bytes that one request has charged to a quota. A nil Account is unlimited. It must
// not be used by several goroutines at once.
type Account struct {
	quota  *Quota
	tenant string
	held   int64
}

// Open returns an empty account for a request of a tenant.
func (q *Quota) Open(tenant string) *Account { return &Account{quota: q, tenant: tenant} }

// Reserve charges the account for bytes before they are allocated, and reports whether they may be held.
func (a *Account) Reserve(bytes int64) bool {
	if a == nil || bytes == 0 {
		return true
	}
	if !a.quota.reserve(a.tenant, bytes) {
		return false
	}
	a.held += bytes
	return true
}

// Close releases all bytes of the account.
func (a *Account) Close() {
	if a == nil || a.held == 0 {
		return
	}
	a.quota.release(a.tenant, a.held)
	a.held = 0
}
