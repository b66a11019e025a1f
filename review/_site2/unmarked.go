package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Traffic and figures of the case of answers without a length: those of the small sites for their plain
// service; streams at the model servers come beside it.
const (
	unmarkedLength   = 40 * time.Second
	onceInterval     = time.Second / 13
	safeInterval     = time.Second / 5
	streamInterval   = time.Second / 10
	starvedRatio     = 0.25
	clientTimeout    = 10 * time.Second
	plainDeadline    = 1500 * time.Millisecond
	plainTimeoutMs   = 800
	streamDeadline   = 6 * time.Second
	unmarkedEvents   = 10
	unmarkedPlainRun = 60 * time.Millisecond
	// settleTime is how long the configuration has to be in force everywhere.
	settleTime = 3 * time.Second
)

func init() {
	scenarios["unmarked"] = scenario{
		options: site.Options{
			Zones: 3, Entries: 2, ModelServers: 1,
			Weights:   site.Weights{Model: "m", Pieces: 24, PieceBytes: 4096, Layers: 4},
			EventTime: 10 * time.Millisecond, Slots: 16,
			VersionMs: 8000, ConfigApplyMs: 2000, DrainMs: 2000, GraceS: 8, BudgetSlack: 100, TimeoutMs: 6000,
		},
		play: playUnmarked,
	}
}

// playUnmarked has the plain servers answer with neither a length nor chunks, and counts which kinds of
// requests are served.
func playUnmarked(c *play) (bool, error) {
	servers, err := c.startClosingServers()
	if err != nil {
		return false, err
	}
	for _, server := range servers {
		server.setWithoutEnds(c.trouble)
	}
	c.site.Configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = plainTimeoutMs }, "once", "safe")
	})
	time.Sleep(settleTime)
	traffic := newTraffic(c)
	traffic.add(kind{name: "once", method: http.MethodPost, prefix: site.OncePrefix, body: "a small body", deadline: plainDeadline}, onceInterval)
	traffic.add(kind{name: "safe", method: http.MethodGet, prefix: site.SafePrefix, deadline: plainDeadline}, safeInterval)
	traffic.add(kind{name: "stream", method: http.MethodPost, prefix: site.StreamPrefix, body: "prompt", events: unmarkedEvents, deadline: streamDeadline}, streamInterval)
	answers := traffic.run(unmarkedLength)
	return c.judgeStarved(answers, c.runsOf(answers, servers)), nil
}

// startClosingServers starts a plain server in each zone.
func (c *play) startClosingServers() ([]*closingServer, error) {
	var servers []*closingServer
	for zone := range c.site.Options.Zones {
		server := newClosingServer(c.site.Store, fmt.Sprintf("plain-%d", zone), site.ZoneName(zone), c.site.Options.PlainIP(zone, 0), unmarkedPlainRun)
		if err := server.start(); err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// runsOf returns how often each request has run, at model servers and plain ones.
func (c *play) runsOf(answers []answer, servers []*closingServer) map[string]int {
	ran := map[string]int{}
	for _, run := range c.site.Requests.Runs() {
		ran[run.RequestID]++
	}
	for _, a := range answers {
		for _, server := range servers {
			ran[a.id] += server.ranTimes(a.id)
		}
	}
	return ran
}

// traffic sends requests of some kinds at fixed intervals, to the entries in turn.
type traffic struct {
	play    *play
	kinds   []kind
	between []time.Duration

	mutex   sync.Mutex
	answers []answer
}

func newTraffic(c *play) *traffic { return &traffic{play: c} }

func (t *traffic) add(k kind, interval time.Duration) {
	t.kinds, t.between = append(t.kinds, k), append(t.between, interval)
}

// run sends for a time, waits for all answers and returns them.
func (t *traffic) run(length time.Duration) []answer {
	var open sync.WaitGroup
	for at, k := range t.kinds {
		open.Go(func() {
			ticker := time.NewTicker(t.between[at])
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

// judgeStarved reports whether a kind of request was served less than a quarter as often as all requests.
func (c *play) judgeStarved(answers []answer, ran map[string]int) bool {
	type count struct{ sent, ran, served int }
	byKind, all := map[string]*count{}, &count{}
	for _, a := range answers {
		if byKind[a.kind] == nil {
			byKind[a.kind] = &count{}
		}
		for _, one := range []*count{byKind[a.kind], all} {
			one.sent++
			if ran[a.id] > 0 {
				one.ran++
			}
			if a.served() {
				one.served++
			}
		}
	}
	broken := false
	ratioOfAll := float64(all.served) / float64(all.sent)
	c.record.line("all: %d sent, %d ran, %d served (%.2f)", all.sent, all.ran, all.served, ratioOfAll)
	for _, name := range slices.Sorted(maps.Keys(byKind)) {
		one := byKind[name]
		ratio := float64(one.served) / float64(one.sent)
		starved := ratio < starvedRatio*ratioOfAll
		c.record.line("%s: %d sent, %d ran, %d served (%.2f), starved %t", name, one.sent, one.ran, one.served, ratio, starved)
		broken = broken || starved
	}
	return broken
}
