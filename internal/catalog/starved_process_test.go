package catalog

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/silencer"
)

const (
	// starvedCheckInterval is the time between two checks of a process that is short of CPU time:
	// more than minStall.
	starvedCheckInterval = 130 * time.Millisecond
	// deadLinkTimeout is the time within which such a process has dropped a dead link.
	deadLinkTimeout = 2500 * time.Millisecond
)

// useLink sets a catalog's link to another entry and returns a function that returns the current
// one.
func useLink(link *peering.Link, c *Catalog) func() *peering.Link {
	c.mutex.Lock()
	peer := c.peerLink("10.0.0.2")
	peer.address = link.Address()
	peer.open(link, false)
	c.mutex.Unlock()
	c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "z"})
	return func() *peering.Link {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return peer.link
	}
}

// timeUntilDropped checks the links every starvedCheckInterval until the link is dropped, and
// returns the time that took.
func timeUntilDropped(t *testing.T, c *Catalog, link *peering.Link, currentLink func() *peering.Link) time.Duration {
	began := time.Now()
	for ; time.Since(began) < 2*deadLinkTimeout && currentLink() == link; time.Sleep(starvedCheckInterval) {
		c.recordEntry("10.0.0.2", entryHeartbeat{Zone: "z"})
		c.checkLinks(t.Context())
		c.maintainLinks(t.Context())
	}
	return time.Since(began)
}

// A process that is always short of CPU time still detects a dead link. Guards against each stall
// of the process restarting the time for the answer to a probe without bound.
func TestStarvedProcessDropsDeadLink(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	currentLink := useLink(link, c)
	count, err := silencer.Silence(silencer.Any)
	require.NoError(t, err)
	require.Positive(t, count)
	assert.Less(t, timeUntilDropped(t, c, link, currentLink), deadLinkTimeout)
}

// The same with a middlebox that acknowledges for a peer that it has lost.
func TestStarvedProcessDropsDeadLinkBehindMiddlebox(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.2", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	defer hub.Close()
	other := httptest.NewServer(hub)
	defer other.Close()
	proxy, err := silencer.NewProxy(other.Listener.Addr().String())
	require.NoError(t, err)
	defer proxy.Close()
	link, err := c.options.Hub.Link(t.Context(), proxy.Address())
	require.NoError(t, err)
	currentLink := useLink(link, c)
	require.Positive(t, proxy.Blackhole())
	assert.Less(t, timeUntilDropped(t, c, link, currentLink), deadLinkTimeout)
}

// A probe whose time ran out during a pause of the process is sent again.
func TestProbeExpiredDuringPauseIsResent(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	currentLink := useLink(link, c)
	c.maintainLinks(t.Context())
	c.mutex.Lock()
	c.links["10.0.0.2"].probedAt = time.Now()
	c.mutex.Unlock()
	time.Sleep(linkTimeout + 100*time.Millisecond)
	for began := time.Now(); time.Since(began) < 2*resumeGrace && currentLink() == link; time.Sleep(20 * time.Millisecond) {
		c.maintainLinks(t.Context())
	}
	assert.Same(t, link, currentLink())
}

// After a pause, a replaced link is not reported as silent before its reader has had time to read.
func TestReplacedLinkIsNotReportedRightAfterPause(t *testing.T) {
	c := newTestCatalog()
	defer c.options.Hub.Close()
	_, link := linkToEntry(t, c)
	useLink(link, c)
	reported := 0
	c.options.OnSilent = func(string, time.Duration) { reported++ }
	peer := c.links["10.0.0.2"]
	peer.replaced, peer.replacedAt = link, time.Now()
	c.pauses.recordCheck(time.Now())
	time.Sleep(silenceConfirmation)
	c.checkLinks(t.Context())
	assert.Zero(t, reported)
	time.Sleep(resumeGrace)
	c.checkLinks(t.Context())
	assert.Zero(t, reported, "it has answered in the meantime")
	assert.Nil(t, peer.replaced)
}

// haltingProxy forwards connections to an address, but nothing for 0.6 s of each 0.65 s while on is
// set.
func haltingProxy(t *testing.T, target string, on *atomic.Bool) string {
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = front.Close() })
	start := time.Now()
	wait := func() {
		for on.Load() && time.Since(start)%(650*time.Millisecond) < 600*time.Millisecond {
			time.Sleep(time.Millisecond)
		}
	}
	pump := func(to, from net.Conn) {
		defer func() { _, _ = to.Close(), from.Close() }()
		buffer := make([]byte, 4096)
		for {
			count, err := from.Read(buffer)
			wait()
			if err != nil {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			in, err := front.Accept()
			if err != nil {
				return
			}
			go func() {
				wait()
				out, err := net.Dial("tcp", target)
				if err != nil {
					_ = in.Close()
					return
				}
				go pump(out, in)
				pump(in, out)
			}()
		}
	}()
	return front.Addr().String()
}

// A peer that repeatedly pauses for 0.6 s is not dialled each time. Guards against a link that
// delivered something while it was being renewed getting no more time than before.
func TestSlowLinkIsNotRedialledRepeatedly(t *testing.T) {
	// span is how long the links are checked, mostDials the maximum number of dials in that time.
	const (
		duration  = 10 * time.Second
		mostDials = 4
	)
	c := newTestCatalog()
	defer c.options.Hub.Close()
	hub := peering.NewHub(peering.Hello{ID: "10.0.0.2", Role: RoleEntry, Zone: "z"}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	defer hub.Close()
	var dials atomic.Int64
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dials.Add(1)
		hub.ServeHTTP(w, r)
	}))
	defer back.Close()
	var on atomic.Bool
	link, err := c.options.Hub.Link(t.Context(), haltingProxy(t, back.Listener.Addr().String(), &on))
	require.NoError(t, err)
	useLink(link, c)
	dials.Store(0)
	on.Store(true)
	for began := time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
		c.checkLinks(t.Context())
	}
	t.Log("dialled again:", dials.Load())
	assert.LessOrEqual(t, dials.Load(), int64(mostDials))
}
