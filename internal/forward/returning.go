package forward

import (
	"math/rand/v2"
	"time"

	"pinevane.example/pinevane/coordination/shedding"
)

// SpreadRetryAfter is when a refused caller is asked to come back: some time between the earliest
// at which it may be served and the latest that it heeds. Its answer is late in any case, and
// most callers come back once only. What refuses them, a loss of many machines or more load
// than there are places, lasts for seconds; and all who were told the moment of its end would
// come back in that moment, beside those whose answers can still be in time. On days with a loss
// of everything the spread is worth 0.01 to 0.03 of the day.
func SpreadRetryAfter(earliest, left time.Duration) time.Duration {
	latest := time.Duration(shedding.HeededShare * float64(left))
	if latest <= earliest {
		return earliest
	}
	return earliest + rand.N(latest-earliest)
}
