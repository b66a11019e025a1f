package budget

import (
	"math"
	"time"
)

// Parameters of accounts.
const (
	// accountSteps is the number of equal parts of the window that an account tells apart.
	accountSteps = 20
	// reserveFraction is the part of what remains that an account reserves for the time until the next one.
	reserveFraction = 0.25
	// MaxAccountGap is the maximum time between an account and the start of the life that goes on with it. Members that
	// retry make accounts more often than that: after a longer time, later ones may have been lost.
	MaxAccountGap = 1500 * time.Millisecond
)

// Account is what a member has counted, for the life that follows it.
type Account struct {
	// Requests and Retries are counted by age, the newest first, in accountSteps parts of the window.
	Requests [accountSteps]int
	Retries  [accountSteps]int
	// Reserve is how many retries the member may make until its next account.
	Reserve int
	// Covered is how far back the account reaches; what was spent earlier is unknown.
	Covered time.Duration
}

// Account returns what the budget counts, and begins a new reserve.
func (b *Budget) Account(now time.Duration, members int) Account {
	remaining := b.State(now, members).Remaining()
	account := Account{Reserve: int(math.Ceil(reserveFraction * max(0, math.Floor(remaining)))), Covered: b.covered(now)}
	const bucketsPerStep = bucketCount / accountSteps
	for age := range int64(bucketCount + 1) {
		step := min(age/bucketsPerStep, accountSteps-1)
		bucket := b.index(b.newest - age)
		account.Retries[step] += b.retries[bucket]
		if age < bucketCount {
			account.Requests[step] += b.requests[bucket]
		}
	}
	b.reserve, b.sinceAccount = account.Reserve, 0
	return account
}

// AccountDue reports whether half of the reserve of the last account has been spent.
func (b *Budget) AccountDue() bool { return b.sinceAccount > 0 && 2*b.sinceAccount >= b.reserve }

// Resume goes on with what a former life of this member had counted some time ago, and reports whether it could: the
// account must have been made shortly before the start of this life. The account's reserve counts as spent.
func (b *Budget) Resume(account Account, ago, now time.Duration) bool {
	gap := ago - now
	if gap < 0 || gap > MaxAccountGap || b.resumed {
		return false
	}
	b.advance(now)
	b.resumed = true
	b.coveredBefore = gap + account.Covered
	stepLength := b.options.Window / accountSteps
	for step := range accountSteps {
		newest := -gap - time.Duration(step)*stepLength
		b.add(&b.retries, newest, account.Retries[step])
		b.add(&b.requests, newest-stepLength, account.Requests[step])
	}
	b.add(&b.retries, 0, account.Reserve)
	return true
}

// add adds to the count of a time, unless that has left the window.
func (b *Budget) add(counts *[bucketCount + 1]int, at time.Duration, count int) {
	if number := b.number(at); number >= b.newest-bucketCount {
		counts[b.index(number)] += count
	}
}
