package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// retryRecord returns requests every 100 ms for the given time, each of which arrived once.
func retryRecord(start time.Time, lasting time.Duration) (arrivals []Arrival, sent []SentRequest) {
	for at := time.Duration(0); at < lasting; at += 100 * time.Millisecond {
		id := fmt.Sprint("r-", at)
		sent = append(sent, SentRequest{ID: id, Service: ModelService, At: start.Add(at)})
		arrivals = append(arrivals, Arrival{RequestID: id, Service: ModelService, At: start.Add(at)})
	}
	return arrivals, sent
}

// The count catches a service that receives one retry more than its ratio and slack allow.
func TestWorstRetryWindowFindsOneRetryTooMany(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	start := time.Now()
	arrivals, sent := retryRecord(start, 30*time.Second)
	_, found := WorstRetryWindow(ModelService, arrivals, sent, limit)
	assert.False(t, found, "each request arrived once")

	retry := func(index int) {
		again := arrivals[index]
		again.At = again.At.Add(10 * time.Millisecond)
		arrivals = append(arrivals, again)
	}
	for index := range 25 {
		retry(100 + 3*index)
	}
	worst, found := WorstRetryWindow(ModelService, arrivals, sent, limit)
	require.True(t, found)
	assert.Equal(t, 25, worst.Retries)
	assert.Equal(t, 100, worst.Requests)
	assert.InDelta(t, 0, worst.Excess(), 1e-9, "0.2 x 100 + 5 are allowed")
	retry(180)
	worst, _ = WorstRetryWindow(ModelService, arrivals, sent, limit)
	assert.InDelta(t, 1, worst.Excess(), 1e-9)
	_, found = WorstRetryWindow(PlainService, arrivals, sent, limit)
	assert.False(t, found, "the other service received nothing")
}

// Requests of the window before the retries count too: their retries may arrive later.
func TestWorstRetryWindowCountsEarlierRequests(t *testing.T) {
	limit := RetryLimit{Ratio: 0.2, Slack: 0, Window: 10 * time.Second}
	start := time.Now()
	arrivals, sent := retryRecord(start, 10*time.Second)
	for index := range 20 {
		again := arrivals[index]
		again.At = start.Add(10*time.Second + time.Duration(index)*time.Millisecond)
		arrivals = append(arrivals, again)
	}
	worst, found := WorstRetryWindow(ModelService, arrivals, sent, limit)
	require.True(t, found)
	assert.Equal(t, 100, worst.Requests)
	assert.LessOrEqual(t, worst.Excess(), 0.0)
}

// Guards against a judge that panics on a record without a limit: every retry is then one too many.
func TestWorstRetryWindowWithoutALimit(t *testing.T) {
	arrivals, sent := retryRecord(time.Now(), time.Second)
	worst, found := WorstRetryWindow(ModelService, append(arrivals, arrivals[0]), sent, RetryLimit{})
	require.True(t, found)
	assert.Equal(t, 1, worst.Retries)
	assert.InDelta(t, 1, worst.Excess(), 1e-9)
}
