package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/platform"
)

// The trial of a server that was unreachable is given the time that the service's answers typically
// take. Otherwise all trials of a service that answers after half a second would fail, for good.
func TestTrialIsGivenTheTypicalTime(t *testing.T) {
	f, w := healthFleet(fleet.Repeatable, 3)
	server := f.server("i-0")
	eject(f.targets, server.Candidate)
	time.Sleep(300 * time.Millisecond)
	choice, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	require.True(t, choice.Trial)
	w.sentAt = time.Now()
	check := w.newSilenceCheck(server, 0)
	assert.NoError(t, check(450*time.Millisecond, 500*time.Millisecond))
}

// The only server of a service is given the typical time too, whatever its health state.
func TestOnlyServerIsGivenTheTypicalTime(t *testing.T) {
	f, w := healthFleet(fleet.Repeatable, 1)
	server := f.server("i-0")
	eject(f.targets, server.Candidate)
	require.Equal(t, health.Ejected.String(), f.state("i-0"))
	choice, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	w.sentAt = time.Now()
	check := w.newSilenceCheck(choice.target, 0)
	assert.NoError(t, check(450*time.Millisecond, 500*time.Millisecond))
}

// A server of a service that answers after half a second is readmitted after it was unreachable for
// a moment.
func TestServerOfASlowServiceIsReadmitted(t *testing.T) {
	for _, servers := range []int{1, 3} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) { testSlowService(t, servers) })
	}
}

func testSlowService(t *testing.T, servers int) {
	t.Helper()
	f := New(Options{Zone: "z", Dialect: platform.Dialect{}, Log: logging.Nop(), Registry: prometheus.NewRegistry(),
		Bounds: fleet.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 400}, Policy: DefaultPolicy(), Peers: func() int { return 1 }, RetriesSince: longAgo()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	view := &catalog.View{Configuration: &fleet.Configuration{}, Servers: map[string][]fleet.Server{}}
	for number := range servers {
		server := startScriptedServer(t, func(connection net.Conn, request *http.Request, _ int) {
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(connection, completeAnswer(request.Header.Get("Request-Id"), "b"))
		})
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{ID: fmt.Sprint("i-", number), Service: "s", Address: server.Address, Zone: "z", Slots: 20})
	}
	f.Update(view)
	refused := 0
	sendAll := func(duration time.Duration) {
		for began, number := time.Now(), 0; time.Since(began) < duration; number++ {
			now := time.Now()
			id := fmt.Sprint(duration, "-", number)
			request := &Request{
				Call: fleet.CallHeader{RequestID: id}, Method: http.MethodPost, Target: "/plain", Host: "h.example",
				Header: http.Header{"Request-Id": {id}}, Body: []byte("b"), Arrived: now, Deadline: now.Add(3 * time.Second),
				Route: &fleet.Route{Name: "r", Kind: fleet.Repeatable, Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Attempts: 3, Target: 2 * time.Second},
			}
			if f.Serve(context.Background(), httptest.NewRecorder(), request) != nil {
				refused++
			}
		}
	}
	sendAll(3 * time.Second)
	eject(f.targets, f.server("i-0").Candidate)
	require.Equal(t, health.Ejected.String(), f.state("i-0"))
	sendAll(10 * time.Second)
	t.Log(f.state("i-0"), refused)
	assert.Zero(t, refused)
	assert.Equal(t, health.Healthy.String(), f.state("i-0"))
}

// A request that could not be followed by another attempt is not used as a trial.
func TestTrialsLeaveTimeForAnotherAttempt(t *testing.T) {
	for name, one := range map[string]struct {
		attempts, sent int
		left           time.Duration
		spent          bool
		last           bool
	}{
		"both":     {attempts: 2, left: 4 * time.Second},
		"attempts": {attempts: 1, left: 4 * time.Second, last: true},
		"sent":     {attempts: 2, sent: 1, left: 4 * time.Second, last: true},
		"time":     {attempts: 2, left: 2*streamMinOverdue - time.Millisecond, last: true},
		"budget":   {attempts: 2, left: 4 * time.Second, spent: true, last: true},
	} {
		f, _ := forwarderWithBlockingAnnouncer(false)
		w := &forwarding{Forwarder: f, request: &Request{Route: &fleet.Route{Kind: fleet.Streaming, Attempts: one.attempts}, Deadline: time.Now().Add(one.left)}, attempts: one.sent}
		w.criteria.Service = "s"
		for one.spent && f.retryBudgets.spend("s") {
		}
		assert.Equal(t, one.last, w.isLastAttempt(), name)
	}
}

// The trial of a lost server is overdue after its own timeout until it has returned an event.
func TestOverdueTimeoutOfALostServersTrial(t *testing.T) {
	w := &forwarding{request: &Request{Route: &fleet.Route{Kind: fleet.Streaming}}, attemptState: attemptState{overdueTimeout: 2 * time.Second}}
	const typical = 500 * time.Millisecond
	assert.False(t, w.overdue(2*time.Second-1, typical))
	assert.True(t, w.overdue(2*time.Second, typical))
	w.attemptBegun = true
	assert.False(t, w.overdue(overdueFactor*typical-1, typical))
	w.attemptBegun, w.overdueTimeout = false, 0
	assert.False(t, w.overdue(overdueFactor*typical-1, typical))
	assert.True(t, w.overdue(overdueFactor*typical, typical))
}
