package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/fault"
)

// Guards against a request that may have run and is answered with 503 and a Retry-After time, after which
// common clients send it again: at the end of a stop, or when no back end is left for another attempt.
func TestRequestThatMayHaveRunIsNotToBeSentAgain(t *testing.T) {
	entry, _, _ := newTestEntry(t)
	answer := func(refusal *fault.Refusal) *http.Response {
		return request(t, entry, func(context.Context, http.ResponseWriter, *http.Request, *call) *fault.Refusal { return refusal })
	}
	stopped, cancel := context.WithCancelCause(t.Context())
	cancel(errStopping)
	g := &generation{mayHaveRun: true}
	for _, refusal := range []*fault.Refusal{contextRefusal(stopped), g.refuseNoReplica()} {
		response := answer(refusal)
		assert.Equal(t, http.StatusBadGateway, response.StatusCode, refusal.Reason)
		assert.Equal(t, string(fault.ExecutionUnknown), response.Header.Get(HeaderExecution))
		assert.Empty(t, response.Header.Get("Retry-After"), refusal.Reason)
	}
	response := answer((&generation{}).refuseNoReplica())
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
}
