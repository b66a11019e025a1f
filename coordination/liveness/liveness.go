// Package liveness detects whether processes are alive from when they last sent something, and
// whether the detecting process itself was paused. It reads no clock; times are durations on the
// caller's monotonic clock.
package liveness

import "time"

// Options sets the heartbeat period and the timeouts.
type Options struct {
	// Heartbeat is the longest time without a message after which a process sends a heartbeat.
	Heartbeat time.Duration
	// SuspectAfter is the time without activity after which a process is considered dead.
	SuspectAfter time.Duration
	// MaxTickGap is the largest gap between two ticks. After a larger one the detecting process was
	// paused, and its own observations are invalid.
	MaxTickGap time.Duration
}

func (o Options) applyDefaults() Options {
	if o.Heartbeat == 0 {
		o.Heartbeat = 2 * time.Second
	}
	if o.SuspectAfter == 0 {
		o.SuspectAfter = 5 * time.Second
	}
	if o.MaxTickGap == 0 {
		o.MaxTickGap = 3 * time.Second
	}
	return o
}

// Detector tracks the last activity of a set of processes.
type Detector struct {
	options      Options
	lastActivity map[string]time.Duration
	lastTick     time.Duration
	ticked       bool
}

// NewDetector returns a detector without processes.
func NewDetector(options Options) *Detector {
	return &Detector{options: options.applyDefaults(), lastActivity: map[string]time.Duration{}}
}

// Options returns the options with their defaults applied.
func (d *Detector) Options() Options { return d.options }

// RecordActivity records that a process was active.
func (d *Detector) RecordActivity(process string, now time.Duration) { d.lastActivity[process] = now }

// Forget removes a process.
func (d *Detector) Forget(process string) { delete(d.lastActivity, process) }

// Tick returns the processes that have been inactive for too long, and removes them. After a pause
// of the detecting process, paused is true and no process is suspected: each gets a new full
// SuspectAfter.
func (d *Detector) Tick(now time.Duration) (suspects []string, paused bool) {
	paused = d.ticked && now-d.lastTick > d.options.MaxTickGap
	d.lastTick, d.ticked = now, true
	if paused {
		for process := range d.lastActivity {
			d.lastActivity[process] = now
		}
		return nil, true
	}
	for process, at := range d.lastActivity {
		if now-at > d.options.SuspectAfter {
			suspects = append(suspects, process)
			delete(d.lastActivity, process)
		}
	}
	return suspects, false
}

// Lease is a permission that expires after a term.
type Lease struct {
	// Requested is when the holder requested the lease; the term starts then.
	Requested time.Duration
	Term      time.Duration
}

// Valid reports whether the lease is still valid, with a safety margin.
func (l Lease) Valid(now, margin time.Duration) bool {
	return l.Term > 0 && now+margin < l.Requested+l.Term
}
