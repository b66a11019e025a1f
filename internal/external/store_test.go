package external

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/weights"
)

// Guards against a failed delete in the weight store that counts as done; a chunk that is not there needs none.
func TestFailedDeleteIsReported(t *testing.T) {
	for status, fails := range map[int]bool{http.StatusNoContent: false, http.StatusNotFound: false, http.StatusServiceUnavailable: true} {
		store := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(status) }))
		err := NewHTTPStore(strings.TrimPrefix(store.URL, "http://")).Delete(context.Background(), []weights.Digest{"d"})
		store.Close()
		if !fails {
			require.NoError(t, err, status)
			continue
		}
		var unavailable *fault.Unavailable
		require.ErrorAs(t, err, &unavailable, status)
	}
}
