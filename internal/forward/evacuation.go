package forward

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/logging"
)

// unfitEvacuated is why a server of an evacuated zone is not sent a request.
const unfitEvacuated = "zone evacuated"

// evacuated reports whether a server's zone is to be sent nothing new; the mutex is held.
// Requests that are open there go on to their end.
func (t *targets) evacuated(k *target) bool {
	return t.view.Evacuated(k.zone)
}

// emptying follows how the zones that are evacuated become idle: the requests of this entry
// that are open there run to their ends.
type emptying struct {
	// since tells when this entry heard of the evacuation of each zone in which it has requests
	// open; the zone is left out once they have ended.
	since map[string]time.Time
	// took is how long the last such request of a zone took, as of its newest evacuation.
	took map[string]time.Duration
}

func newEmptying() emptying {
	return emptying{since: map[string]time.Time{}, took: map[string]time.Duration{}}
}

// begin notes that a zone is evacuated in which a number of requests are open.
func (e *emptying) begin(zone string, inFlight int, now time.Time) {
	delete(e.took, zone)
	if inFlight == 0 {
		e.took[zone] = 0
		return
	}
	e.since[zone] = now
}

// noteEnded looks whether the request that has just ended at a server was the last one that was
// open in an evacuated zone; the mutex is held.
func (t *targets) noteEnded(k *target, now time.Time) {
	since, emptied := t.emptying.since[k.zone]
	if !emptied {
		return
	}
	if _, inFlight := t.zoneCounts(k.zone); inFlight > 0 {
		return
	}
	delete(t.emptying.since, k.zone)
	t.emptying.took[k.zone] = now.Sub(since)
	t.log.Log(logging.ZoneIdle, zap.String("zone", k.zone), zap.Duration("after", now.Sub(since)))
}

// evacuationFigures are what the metrics tell: how many requests of this entry are open in
// evacuated zones, and how many seconds after hearing the last one ended, by zone.
func (t *targets) evacuationFigures() (open int, took map[string]time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for zone := range t.view.Evacuations {
		_, inFlight := t.zoneCounts(zone)
		open += inFlight
	}
	return open, maps.Clone(t.emptying.took)
}

// evacuatedNow is evacuated for those who do not hold the mutex.
func (t *targets) evacuatedNow(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.evacuated(k)
}

// noteEvacuations logs which zones a new view evacuates, and takes the servers of those that
// it no longer evacuates for cold ones; the mutex is held, and the servers are those of the
// new view.
func (t *targets) noteEvacuations(old, view *catalog.View) {
	for zone := range view.Evacuations {
		if _, known := old.Evacuations[zone]; !known {
			servers, inFlight := t.zoneCounts(zone)
			t.log.Log(logging.ZoneEvacuated, zap.String("zone", zone), zap.Int("servers", servers), zap.Int("in_flight", inFlight),
				zap.Duration("bound", t.bounds.Evacuate))
			t.emptying.begin(zone, inFlight, time.Now())
		}
	}
	for zone := range old.Evacuations {
		if _, still := view.Evacuations[zone]; !still {
			delete(t.emptying.since, zone)
			t.readmit(zone, time.Now())
		}
	}
}

// zoneCounts counts the servers of a zone and this entry's requests there; the mutex is held.
func (t *targets) zoneCounts(zone string) (servers, inFlight int) {
	for _, known := range t.byID {
		if known.zone == zone {
			servers++
			inFlight += known.inFlight
		}
	}
	return servers, inFlight
}

// readmit takes the servers of a zone for cold from now on: they may have become so while
// they had nothing to do, and their lines tell it up to a heartbeat later. Where they are
// warm, their share of requests is well within what cold ones bear, and this costs nothing.
// The mutex is held.
func (t *targets) readmit(zone string, now time.Time) {
	for service, servers := range t.byService {
		until := now.Add(t.coldTime(service))
		for _, known := range servers {
			if known.zone == zone {
				known.readmittedUntil = until
			}
		}
	}
	servers, _ := t.zoneCounts(zone)
	t.log.Log(logging.ZoneReadmitted, zap.String("zone", zone), zap.Int("servers", servers))
}
