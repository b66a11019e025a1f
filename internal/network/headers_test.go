package network

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestConnectionHeadersAreRemoved(t *testing.T) {
	header := http.Header{"Connection": {"keep-alive, X-One"}, "X-One": {"1"}, "X-Two": {"2"}, "Te": {"trailers"}}
	RemoveConnectionHeaders(header)
	assert.Equal(t, http.Header{"X-Two": {"2"}}, header)
	assert.True(t, IsConnectionHeader("Keep-Alive"))
	assert.False(t, IsConnectionHeader("X-Two"))
}
