package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Parameters of the case verifiedThenFrozen.
const (
	// watchedIndex is the machine index of the watched server and its agent, in zone 0.
	watchedIndex = 7
	// rotRatio is the part of the staged pieces that turns bad; it is 0.06 on the users' days. They are drawn
	// from those that the agent has read: with others bad too, it would find out and begin its check again.
	rotRatio = 0.06
	// excuse is how long a piece may have been bad when it is taken.
	excuse = 3 * time.Second
	// freezeTime is how long each freeze of the agent's machine lasts; the users' days have up to 4 s.
	freezeTime = 1200 * time.Millisecond
)

// freezeAt are the pieces of the agent's check at whose reading the machine freezes.
var freezeAt = []int{60, 68, 76, 84}

// check follows the agent's reading of the staged pieces in order, and freezes the agent during it.
type check struct {
	run    *caseRun
	server *modelServer
	pid    int

	mutex   sync.Mutex
	next    int
	began   time.Time
	armed   bool
	freezes int
	frozen  time.Time
}

// pieceRead is called when the agent has read a staged piece.
func (k *check) pieceRead(index int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case index == 0:
		k.next, k.began = 1, time.Now()
	case index == k.next:
		k.next++
	default:
		return
	}
	if !k.armed || k.freezes >= len(freezeAt) || k.next-1 < freezeAt[k.freezes] || (k.freezes == 0 && time.Since(k.began) > time.Second) {
		return
	}
	if time.Since(k.frozen) < freezeTime {
		// A process may read some more pieces until the signal stops it.
		return
	}
	if k.freezes == 0 {
		pieces := rand.Perm(k.next)[:int(rotRatio*float64(k.server.weights.Pieces)+0.5)]
		k.server.turnBad(pieces)
		k.run.note("pieces that turn bad at the server while its agent has read back 0 to %d: %v", index, pieces)
	}
	k.freezes++
	k.frozen = time.Now()
	k.run.note("freeze %d of the agent's machine, while it reads piece %d, for %s", k.freezes, index, freezeTime)
	k.run.signal(k.pid, syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() { _ = syscall.Kill(k.pid, syscall.SIGCONT) })
}

// verifiedThenFrozen names a version, freezes an agent's machine while the agent checks the staged pieces
// before its order, and has some pieces turn bad meanwhile. The rule WHOLE is broken if a token is made by a
// layer that was taken with a piece that had been bad for more than 3 s.
func verifiedThenFrozen(c *caseRun) bool {
	options := smallSite(2, 1, 1)
	running, err := site.Start(options)
	must(err)
	defer running.Close()
	server := newModelServer(c, "i-watched", running.ModelAddress(0, watchedIndex), options.Weights, running.Store)
	following := &check{run: c, server: server}
	server.onGet = following.pieceRead
	server.start()
	watched := machine{role: site.RoleAgent, zone: 0, index: watchedIndex}
	pids := c.startProcesses(running, append(machinesOf(options), watched))
	following.pid = pids[watched.name()]
	if !eventually(20*time.Second, func() bool { return ready(running, 0) && ready(running, 1) }) {
		giveUp("the entries are not ready")
	}
	time.Sleep(2 * time.Second)
	following.mutex.Lock()
	following.armed = c.trouble
	following.mutex.Unlock()
	c.note("version 2 is named")
	running.AnnounceVersion(2)
	if !eventually(25*time.Second, func() bool { version, _ := server.served(); return version == 2 }) {
		giveUp("the server was not ordered to start version 2")
	}
	if c.trouble && following.freezes < len(freezeAt) {
		giveUp("the agent's check was not seen")
	}
	time.Sleep(time.Second)
	for number := range 40 {
		c.sendStream(running, number%2, fmt.Sprintf("stream-%d", number))
	}
	return c.judgeWhole(running, server)
}

func ready(running *site.Site, zone int) bool {
	response, err := http.Get(running.ReadyURL(zone, 0))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sendStream sends one request for a stream and notes its answer.
func (c *caseRun) sendStream(running *site.Site, zone int, id string) {
	request, err := running.NewRequest(zone, 0, http.MethodPost, site.StreamPrefix+"gloss", id, "words", 3)
	must(err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.note("client: %s sent, no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.note("client: %s sent, answered %d with %d bytes, whole: %v, version %s", id, response.StatusCode, len(body), err == nil, response.Header.Get("Weight-Versions"))
}

// noteRuns notes what the site's own servers ran.
func (c *caseRun) noteRuns(running *site.Site) {
	for _, run := range running.Requests.Runs() {
		c.note("server %s ran %s, at %.3f s", run.Server, run.RequestID, run.At.Sub(c.started).Seconds())
	}
}

// judgeWhole applies the rule to the requests that the server ran.
func (c *caseRun) judgeWhole(running *site.Site, server *modelServer) bool {
	c.noteRuns(running)
	broken, onNew := 0, 0
	for _, run := range server.servedRuns() {
		c.note("server %s ran %s on version %d", server.id, run.request, run.version)
		if run.order == nil {
			continue
		}
		onNew++
		for index, bad := range run.order.wrong {
			if bad == 0 || bad > excuse {
				c.note("server %s ran %s on version %d, whose piece %d had been bad for %.3f s when it was taken", server.id, run.request, run.version, index, bad.Seconds())
				broken++
				break
			}
		}
	}
	c.note("requests that the watched server ran on the new version: %d, with a layer taken bad: %d", onNew, broken)
	if onNew == 0 {
		giveUp("the watched server ran no request on the new version")
	}
	return broken > 0
}
