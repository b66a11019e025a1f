package site2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Figures of the case of resting connections. The rates are those of the users' table for the streams and for the
// requests that may run once; the configuration's idleTimeoutMs is 15,000.
const (
	restingLength         = 92 * time.Second
	restingStreamInterval = time.Second / 152
	restingTimeoutMs      = 2000
	restingIdleTimeout    = 15 * time.Second
	// unansweredGrace is how long after timeoutMs an answer is due by the rule CONFIG.
	unansweredGrace = 500 * time.Millisecond
	// connectTimeout is how long a client gives a new connection.
	connectTimeout = time.Second
	// streamPatience is the gap after which clients give up a stream, from eight pauses of 400 ms.
	streamPatience = 3200 * time.Millisecond
	oncePatience   = 4 * time.Second
	// minUnanswered is how many requests have to be unanswered for a verdict; the rule names no number.
	minUnanswered = 20
	// restingDescriptors is how many descriptors the stand-in needs for its clients' connections.
	restingDescriptors = 16000
	readyPeriod        = time.Second
	// missesToLeave is how many questions an entry misses before it gets no new connections.
	missesToLeave = 2
)

func init() { scenarios["resting"] = scenario{options: restingSite(), play: playResting} }

// restingSite is a small deployment of three zones with an entry each.
func restingSite() site.Options {
	options := smallSite
	options.Entries, options.ModelServers, options.TimeoutMs = 1, 2, restingTimeoutMs
	return options
}

// playResting sends requests, each over a new connection that its client leaves open afterwards and doesn't use
// again. With the trouble it stays so until the entry closes it; without, the client closes it itself once it has
// rested for idleTimeoutMs.
func playResting(c *play) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < restingDescriptors {
		return false, fmt.Errorf("the stand-in needs %d descriptors, and may have %d (%v)", restingDescriptors, limit.Cur, err)
	}
	clients := &restingClients{play: c, front: newFront(c), seconds: map[int]*secondCount{}}
	stop := make(chan struct{})
	go clients.front.watch(stop)
	clients.run(restingLength)
	close(stop)
	return clients.judge(), nil
}

// restingClients send requests and leave their connections open.
type restingClients struct {
	play  *play
	front *front
	open  sync.WaitGroup

	mutex    sync.Mutex
	seconds  map[int]*secondCount
	resting  int
	ended    int
	overdue  int
	unsolved int
}

// secondCount counts the requests that were sent in one second.
type secondCount struct{ sent, served, refused, failed, unanswered, resting, ready int }

func (r *restingClients) run(length time.Duration) {
	began := time.Now()
	for _, group := range []struct {
		kind     kind
		interval time.Duration
		patience time.Duration
	}{
		{kind{name: "stream", method: http.MethodPost, prefix: site.StreamPrefix, body: "prompt", events: streamEvents, deadline: streamDeadline}, restingStreamInterval, streamPatience},
		{kind{name: "once", method: http.MethodPost, prefix: site.OncePrefix, body: "a small body", deadline: oncePatience}, onceInterval, oncePatience},
	} {
		r.open.Go(func() {
			ticker := time.NewTicker(group.interval)
			defer ticker.Stop()
			for number := 0; time.Since(began) < length; number++ {
				<-ticker.C
				r.open.Go(func() { r.sendOne(number, group.kind, group.patience) })
			}
		})
	}
	r.open.Wait()
}

// sendOne sends one request over a connection of its own and leaves that open if the answer was whole.
func (r *restingClients) sendOne(number int, k kind, patience time.Duration) {
	zone := r.front.pick(number % r.play.site.Options.Zones)
	a := answer{id: fmt.Sprintf("%s-%d", k.name, number), kind: k.name, sentAt: time.Now()}
	connection, err := net.DialTimeout("tcp", strings.TrimPrefix(r.play.site.EntryURL(zone, 0), "http://"), connectTimeout)
	if err == nil {
		a.sentAt = time.Now()
		_ = connection.SetDeadline(a.sentAt.Add(patience))
		err = r.exchange(connection, zone, k, &a)
	}
	a.err, a.took = err, time.Since(a.sentAt)
	r.count(zone, a)
	if connection == nil {
		return
	}
	if a.err != nil || a.status != http.StatusOK {
		_ = connection.Close()
		return
	}
	go r.rest(connection)
}

func (r *restingClients) exchange(connection net.Conn, zone int, k kind, a *answer) error {
	request, err := r.play.site.NewRequest(zone, 0, k.method, k.prefix+a.id, a.id, k.body, k.events)
	if err != nil {
		return err
	}
	request.Header.Set("Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	if err := request.Write(connection); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	a.status, a.seal, a.body = response.StatusCode, response.Header.Get("Response-Seal"), string(body)
	return err
}

// rest leaves a connection open until the entry closes it. Without the trouble the client closes it itself.
func (r *restingClients) rest(connection net.Conn) {
	r.addResting(1)
	_ = connection.SetDeadline(time.Time{})
	if !r.play.trouble {
		_ = connection.SetDeadline(time.Now().Add(restingIdleTimeout))
	}
	_, err := connection.Read(make([]byte, 1))
	_ = connection.Close()
	r.addResting(-1)
	if timeout, is := err.(net.Error); !is || !timeout.Timeout() {
		r.mutex.Lock()
		r.ended++
		r.mutex.Unlock()
	}
}

func (r *restingClients) addResting(difference int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.resting += difference
}

// count counts an answer, or that there is none.
func (r *restingClients) count(zone int, a answer) {
	if a.kind == "once" {
		r.play.logAnswer(zone, 0, a)
	}
	timeout := restingTimeoutMs * time.Millisecond
	answered := a.status != 0
	r.mutex.Lock()
	defer r.mutex.Unlock()
	second := int(a.sentAt.Sub(r.play.record.started).Seconds())
	counted := r.seconds[second]
	if counted == nil {
		counted = &secondCount{resting: r.resting, ready: r.front.ready()}
		r.seconds[second] = counted
	}
	counted.sent++
	switch {
	case a.served():
		counted.served++
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		counted.refused++
	case answered:
		counted.failed++
	default:
		counted.unanswered++
	}
	if a.took < timeout {
		// It was answered, or its connection ended, before its route's timeoutMs.
		return
	}
	r.overdue++
	if a.took >= timeout+unansweredGrace {
		r.unsolved++
	}
}

// judge reports whether the rule CONFIG on requests that stay unanswered is broken.
func (r *restingClients) judge() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := r.play.record
	total := secondCount{}
	for second := range 120 {
		counted := r.seconds[second]
		if counted == nil {
			continue
		}
		record.line("second %3d: %3d sent, %3d served, %3d refused, %3d failed, %3d unanswered; connections at rest %5d, entries ready %d", second,
			counted.sent, counted.served, counted.refused, counted.failed, counted.unanswered, counted.resting, counted.ready)
		total.sent += counted.sent
		total.served += counted.served
		total.refused += counted.refused
		total.failed += counted.failed
		total.unanswered += counted.unanswered
	}
	record.line("all: %d sent, %d served, %d refused, %d failed, %d unanswered; %d runs at servers; the entries closed %d resting connections", total.sent,
		total.served, total.refused, total.failed, total.unanswered, len(r.play.site.Requests.Runs()), r.ended)
	record.line("unanswered at timeoutMs (%d ms): %d; still unanswered 500 ms later: %d", restingTimeoutMs, r.overdue, r.unsolved)
	return r.unsolved >= minUnanswered && 2*r.unsolved > r.overdue
}

// front chooses the entries of clients as the platform does: one that misses two questions in a row gets no new
// connections until it is ready again; with none in, all are used.
type front struct {
	play   *play
	mutex  sync.Mutex
	misses []int
}

func newFront(c *play) *front { return &front{play: c, misses: make([]int, c.site.Options.Zones)} }

func (f *front) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for zone := range f.misses {
			go f.ask(zone)
		}
	}
}

func (f *front) ask(zone int) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	ready := isReady(client, f.play.site.ReadyURL(zone, 0))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if ready {
		f.misses[zone] = 0
		return
	}
	f.misses[zone]++
	if f.misses[zone] == missesToLeave {
		f.play.record.line("entry %d-0 has missed two questions whether it is ready", zone)
	}
}

func (f *front) ready() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, misses := range f.misses {
		if misses < missesToLeave {
			count++
		}
	}
	return count
}

// pick returns the zone whose entry gets a connection of a client of a zone.
func (f *front) pick(home int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for step := range f.misses {
		if zone := (home + step) % len(f.misses); f.misses[zone] < missesToLeave {
			return zone
		}
	}
	return home
}
