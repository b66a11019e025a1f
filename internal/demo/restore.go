package demo

import (
	"fmt"
	"net/http"
	"time"
)

// Times of the restore of the store in the demo.
const (
	// restoreAge is how old the copy is that the store comes back from.
	restoreAge = time.Second
	// restoreChangeDelay is how long after it the operator publishes a route, restoreRewriteDelay how
	// long until what was lost is written again.
	restoreChangeDelay  = 300 * time.Millisecond
	restoreRewriteDelay = 900 * time.Millisecond
	// restoredPrefix is the path of the published route.
	restoredPrefix = "/restored/"
)

// checkStoreRestore has the store come back from a copy of itself and checks that a route that is published
// after it is soon known at every entry.
func (d *systemDemo) checkStoreRestore() {
	d.site.Store.SetQuietHeartbeats(true)
	d.site.Configure(nil)
	time.Sleep(restoreChangeDelay)
	lost := d.site.Store.Restore(restoreAge)
	time.Sleep(restoreChangeDelay)
	published := time.Now()
	d.site.AddRoute(restoredPrefix)
	time.AfterFunc(restoreRewriteDelay-restoreChangeDelay, func() { d.site.Store.Rewrite(lost) })
	limit := time.Duration(d.site.Options.ConfigApplyMs) * time.Millisecond
	for time.Since(published) < limit && !d.allKnowRoute(restoredPrefix) {
		time.Sleep(10 * time.Millisecond)
	}
	elapsed := time.Since(published)
	d.printf("the store came back from a copy %s old; a route published after that was known everywhere within %.2f s", restoreAge, elapsed.Seconds())
	if elapsed >= limit {
		d.recordViolation("a route published after a restore of the store was not known everywhere within %s", limit)
	}
}

// allKnowRoute reports whether every entry serves a route.
func (d *systemDemo) allKnowRoute(prefix string) bool {
	client := http.Client{Timeout: systemVersionTime}
	for zone := range d.site.Options.Zones {
		for entry := range d.site.Options.Entries {
			request, err := d.site.NewRequest(zone, entry, http.MethodGet, prefix, fmt.Sprint("restore-probe-", time.Now().UnixNano()), "", 0)
			if err != nil {
				return false
			}
			response, err := client.Do(request)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNotFound {
				return false
			}
		}
	}
	return true
}
