// Package liveness judges whether a process is alive from when it was last
// heard, and whether the judge itself was paused. It reads no clock; times are
// durations on the caller's monotonic clock.
package liveness

import "time"

// Options sets the periods of heartbeats and suspicion.
type Options struct {
	// Heartbeat is the period at which a silent process still sends a sign of life.
	Heartbeat time.Duration
	// SuspectAfter is the silence after which a process is taken for dead.
	SuspectAfter time.Duration
	// MaxTickGap is the gap between two ticks of the judge after which its own view is void.
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

// Detector follows the silence of a set of processes.
type Detector struct {
	options  Options
	heard    map[string]time.Duration
	lastTick time.Duration
	ticked   bool
}

// NewDetector returns a detector that has heard nobody.
func NewDetector(options Options) *Detector {
	return &Detector{options: options.applyDefaults(), heard: map[string]time.Duration{}}
}

// Options returns the periods in force.
func (d *Detector) Options() Options { return d.options }

// RecordActivity records a sign of life.
func (d *Detector) RecordActivity(process string, now time.Duration) { d.heard[process] = now }

// Forget drops a process.
func (d *Detector) Forget(process string) { delete(d.heard, process) }

// Tick returns the processes that have been silent too long, and forgets them.
// After a pause of the judge itself nobody is suspected: every process gets a
// whole period anew, and paused is true.
func (d *Detector) Tick(now time.Duration) (suspects []string, paused bool) {
	paused = d.ticked && now-d.lastTick > d.options.MaxTickGap
	d.lastTick, d.ticked = now, true
	if paused {
		for process := range d.heard {
			d.heard[process] = now
		}
		return nil, true
	}
	for process, at := range d.heard {
		if now-at > d.options.SuspectAfter {
			suspects = append(suspects, process)
			delete(d.heard, process)
		}
	}
	return suspects, false
}

// Lease is a permission that ends by itself.
type Lease struct {
	// Requested is when the holder asked, from which the term counts.
	Requested time.Duration
	Term      time.Duration
}

// Valid reports whether the lease still holds, with a safety margin.
func (l Lease) Valid(now, margin time.Duration) bool {
	return l.Term > 0 && now+margin < l.Requested+l.Term
}
