// Package bytequota bounds the bytes that a process holds for its callers (bodies that came in, answers
// that go out), and shares them among tenants by dynamic thresholds: each may hold as many bytes as are
// free. One tenant alone gets half of the bound, and the more tenants hold much the less each may, so
// that there is room for one that holds nothing.
package bytequota

import "sync"

// Quota is the bound and what is held of it. It is safe for concurrent use.
type Quota struct {
	mutex sync.Mutex
	bound int64
	held  int64
	// tenants are the bytes held by each tenant that holds any.
	tenants map[string]int64
	refused uint64
}

// New returns a quota of a number of bytes.
func New(bound int64) *Quota { return &Quota{bound: bound, tenants: map[string]int64{}} }

// take charges a tenant with bytes, and reports whether it may hold them.
func (q *Quota) take(tenant string, bytes int64) bool {
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

func (q *Quota) give(tenant string, bytes int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.held -= bytes
	if left := q.tenants[tenant] - bytes; left > 0 {
		q.tenants[tenant] = left
		return
	}
	delete(q.tenants, tenant)
}

// Status is a quota's state.
type Status struct {
	Bound   int64            `json:"bound_bytes"`
	Held    int64            `json:"held_bytes"`
	Refused uint64           `json:"refused"`
	Tenants map[string]int64 `json:"tenants_bytes"`
}

// Status describes what is held. Refused counts the charges that were turned down.
func (q *Quota) Status() Status {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	status := Status{Bound: q.bound, Held: q.held, Refused: q.refused, Tenants: make(map[string]int64, len(q.tenants))}
	for tenant, bytes := range q.tenants {
		status.Tenants[tenant] = bytes
	}
	return status
}

// Account is what one request holds of a quota. A nil Account is bounded by nothing. It is for one
// goroutine at a time.
type Account struct {
	quota  *Quota
	tenant string
	held   int64
}

// Open returns the account of a request of a tenant, which holds nothing.
func (q *Quota) Open(tenant string) *Account { return &Account{quota: q, tenant: tenant} }

// Reserve charges the account with bytes before they are held, and reports whether they may be.
func (a *Account) Reserve(bytes int64) bool {
	if a == nil || bytes == 0 {
		return true
	}
	if !a.quota.take(a.tenant, bytes) {
		return false
	}
	a.held += bytes
	return true
}

// Close gives everything back.
func (a *Account) Close() {
	if a == nil || a.held == 0 {
		return
	}
	a.quota.give(a.tenant, a.held)
	a.held = 0
}
