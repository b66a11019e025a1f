package dispatch

import "time"

// Times of ejection.
const (
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 2
	// ejectTime is the first ejection; it doubles up to maximumEjectTime.
	ejectTime        = 500 * time.Millisecond
	maximumEjectTime = 4 * time.Second
)

// failureRecord is what a server has spoilt lately.
type failureRecord struct {
	failures    int
	ejections   int
	ejectedTill time.Time
}

func (r *failureRecord) ejected(now time.Time) bool { return now.Before(r.ejectedTill) }

// Fail notes an attempt that the server spoilt. It returns for how long the server is ejected;
// 0 when it is not.
func (c *Core) Fail(k *Candidate, hard bool, now time.Time) time.Duration {
	record := &k.failures
	record.failures++
	if hard {
		record.failures = max(record.failures, ejectAfter)
	}
	if record.failures < ejectAfter {
		return 0
	}
	record.failures = 0
	pauseTime := min(ejectTime<<min(record.ejections, 6), maximumEjectTime)
	record.ejections++
	record.ejectedTill = now.Add(pauseTime)
	return pauseTime
}

// Succeed notes an attempt that the server carried out. It reports whether the server had been
// ejected before.
func (c *Core) Succeed(k *Candidate, took time.Duration) (returned bool) {
	returned = k.failures.ejections > 0
	k.failures.failures, k.failures.ejections = 0, 0
	k.answers.sawWhole(took)
	return returned
}
