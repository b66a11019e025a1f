package forward

import (
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
		}
	}
	for zone := range old.Evacuations {
		if _, still := view.Evacuations[zone]; !still {
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
