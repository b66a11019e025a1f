package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

func consecutive(count int) []int {
	numbers := make([]int, count)
	for at := range numbers {
		numbers[at] = at + 1
	}
	return numbers
}

func runsOf(f *Fleet, id string) []site.Run {
	var runs []site.Run
	for _, run := range f.Site.Requests.Runs() {
		if run.RequestID == id {
			runs = append(runs, run)
		}
	}
	return runs
}

// UNASKED, MIXED: callers receive the complete answer to their own request. The tenant is set, the
// caller's key is not forwarded, and unknown keys and routes are refused.
func TestCallersReceiveTheirOwnCompleteAnswers(t *testing.T) {
	f := Start(t, DefaultOptions())
	ctx := context.Background()
	var all sync.WaitGroup
	for number := range 24 {
		all.Go(func() {
			id := fmt.Sprintf("stream-%d", number)
			answer, err := f.Stream(ctx, number%2, number%2, id, 5)
			if !assert.NoError(t, err) {
				return
			}
			assert.Equal(t, http.StatusOK, answer.Status)
			assert.True(t, answer.Complete)
			assert.Equal(t, consecutive(5), answer.Events)
			assert.Equal(t, "seal-"+id, answer.Header.Get("Response-Seal"))
			assert.Contains(t, answer.Body, "data: "+id+"/5")
		})
		all.Go(func() {
			id := fmt.Sprintf("call-%d", number)
			answer, err := f.Call(ctx, number%2, 0, http.MethodPost, site.OncePrefix+"x?y=%20z", id, map[string]string{"Tenant": "forged"}, "body "+id)
			if !assert.NoError(t, err) {
				return
			}
			assert.Equal(t, http.StatusOK, answer.Status)
			assert.Equal(t, "POST "+site.OncePrefix+"x?y=%20z body "+id, answer.Body)
		})
	}
	all.Wait()
	for _, run := range f.Site.Requests.Runs() {
		assert.Equal(t, site.Tenant, run.Tenant)
		assert.False(t, run.KeyReceived)
	}
	answer, err := f.Call(ctx, 0, 0, http.MethodGet, site.SafePrefix, "bad-key", map[string]string{"Authorization": "Token other"}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnauthorized, answer.Status)
	answer, err = f.Call(ctx, 0, 0, http.MethodGet, "/nowhere/", "no-route", nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, answer.Status)
}

// TWICE, REFUSED: an at-most-once call whose answer is lost is not sent again, and is not refused as
// not-run.
func TestLostAnswerOfAtMostOnceCall(t *testing.T) {
	f := Start(t, DefaultOptions())
	for _, server := range f.Site.Plain {
		server.SetFaults(site.Faults{LoseAnswers: 1})
	}
	answer, err := f.Call(context.Background(), 0, 0, http.MethodPost, site.OncePrefix, "lost", nil, "save")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, answer.Status)
	assert.Empty(t, answer.Header.Get("Retry-After"))
	assert.Len(t, runsOf(f, "lost"), 1)
}

// A repeatable call whose answer is lost is retried on another server.
func TestLostAnswerOfRepeatableCall(t *testing.T) {
	f := Start(t, DefaultOptions())
	for _, server := range f.Site.Plain {
		server.SetFaults(site.Faults{LoseAnswers: 1})
		break
	}
	for number := range 4 {
		answer, err := f.Call(context.Background(), 0, 0, http.MethodGet, site.SafePrefix, fmt.Sprintf("safe-%d", number), nil, "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
}

// REFUSED: a request that every server sheds has not run and is refused at once, with a Retry-After.
func TestRequestShedByAllServersIsRefusedAtOnce(t *testing.T) {
	f := Start(t, DefaultOptions())
	for _, server := range f.Site.Plain {
		server.SetFaults(site.Faults{Shed: 10})
	}
	startedAt := time.Now()
	answer, err := f.Call(context.Background(), 1, 1, http.MethodPost, site.OncePrefix, "shed", nil, "save")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
	assert.NotEmpty(t, answer.Header.Get("Retry-After"))
	assert.Less(t, time.Since(startedAt), time.Second)
	assert.Empty(t, runsOf(f, "shed"))
}

// ORDER: a stream that breaks in the middle of an event is resumed on another server after its last
// complete event, within the same answer.
func TestBrokenStreamResumesOnAnotherServer(t *testing.T) {
	f := Start(t, DefaultOptions())
	for _, server := range f.Site.Models {
		server.SetFaults(site.Faults{CutAfter: 3, CutCount: 1})
	}
	go func() {
		for len(runsOf(f, "cut")) == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, server := range f.Site.Models {
			server.SetFaults(site.Faults{})
		}
	}()
	answer, err := f.Stream(context.Background(), 0, 0, "cut", 12)
	require.NoError(t, err)
	assert.True(t, answer.Complete)
	assert.Equal(t, consecutive(12), answer.Events)
	assert.Len(t, runsOf(f, "cut"), 2)
}

// ORDER, BUDGET: a stream that breaks at its last permitted server is visibly truncated and is sent
// to no third one.
func TestStreamWithoutServerLeftIsTruncated(t *testing.T) {
	f := Start(t, DefaultOptions())
	for _, server := range f.Site.Models {
		server.SetFaults(site.Faults{CutAfter: 2, CutCount: 5})
	}
	answer, err := f.Stream(context.Background(), 0, 0, "cut", 12)
	require.NoError(t, err)
	assert.False(t, answer.Complete)
	assert.Equal(t, consecutive(4), answer.Events)
	assert.Len(t, runsOf(f, "cut"), 2)
}

// BUDGET: when every answer is lost, the retries of the whole fleet stay within the configured ratio
// of the requests plus the slack.
func TestRetriesStayWithinFleetBudget(t *testing.T) {
	options := DefaultOptions()
	options.BudgetSlack = 10
	f := Start(t, options)
	for _, server := range f.Site.Plain {
		server.SetFaults(site.Faults{LoseAnswers: 1000})
	}
	const requests = 100
	var all sync.WaitGroup
	for number := range requests {
		all.Go(func() {
			_, _ = f.Call(context.Background(), number%2, number/2%2, http.MethodGet, site.SafePrefix, fmt.Sprintf("r-%d", number), nil, "")
		})
	}
	all.Wait()
	arrivals := 0
	for _, run := range f.Site.Requests.Runs() {
		if run.Service == site.PlainService {
			arrivals++
		}
	}
	assert.Greater(t, arrivals, requests/2)
	assert.LessOrEqual(t, float64(arrivals-requests), 0.2*requests+float64(options.BudgetSlack))
}

// GONE: when the caller disconnects, the work at the server ends at once.
func TestWorkIsCancelledWhenCallerDisconnects(t *testing.T) {
	options := DefaultOptions()
	options.EventTime = 50 * time.Millisecond
	f := Start(t, options)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	_, _ = f.Stream(ctx, 0, 0, "left", 60)
	f.Eventually("no server runs a request", 500*time.Millisecond, func() bool {
		for _, server := range f.Site.Models {
			if server.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// CONFIG: a request is answered at its route's timeout and not held longer.
func TestSilentServerTimesOut(t *testing.T) {
	options := DefaultOptions()
	options.TimeoutMs = 700
	f := Start(t, options)
	for _, server := range f.Site.Plain {
		server.SetFaults(site.Faults{Silent: true})
	}
	startedAt := time.Now()
	answer, err := f.Call(context.Background(), 0, 0, http.MethodPost, site.OncePrefix, "silent", nil, "save")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, answer.Status)
	assert.Less(t, time.Since(startedAt), 1200*time.Millisecond)
}
