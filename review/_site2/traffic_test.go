package site2

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// clientTimeout ends a request that its entry leaves unanswered.
const clientTimeout = 10 * time.Second

// traffic sends requests of some kinds at fixed intervals, to the entries in turn, each over a connection of
// its own.
type traffic struct {
	play      *play
	kinds     []kind
	intervals []time.Duration

	mutex   sync.Mutex
	answers []answer
}

func newTraffic(c *play) *traffic { return &traffic{play: c} }

func (t *traffic) add(k kind, interval time.Duration) {
	t.kinds, t.intervals = append(t.kinds, k), append(t.intervals, interval)
}

// run sends for a time, waits for all answers and returns them.
func (t *traffic) run(length time.Duration) []answer {
	var open sync.WaitGroup
	for at, k := range t.kinds {
		open.Go(func() {
			ticker := time.NewTicker(t.intervals[at])
			defer ticker.Stop()
			began := time.Now()
			for number := 0; time.Since(began) < length; number++ {
				<-ticker.C
				open.Go(func() { t.sendOne(number, k) })
			}
		})
	}
	open.Wait()
	return t.answers
}

func (t *traffic) sendOne(number int, k kind) {
	options := t.play.site.Options
	zone, entry := number%options.Zones, (number/options.Zones)%options.Entries
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a := t.play.send(client, zone, entry, k, fmt.Sprintf("%s-%d", k.name, number))
	t.play.logAnswer(zone, entry, a)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.answers = append(t.answers, a)
}
