package external

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
)

// Guards against half of a service's answer that is passed on as a whole one: without a length or chunks a crash of the service
// ends it as its regular end does.
func TestServiceAnswerWithoutMarkedEndIsNoAnswer(t *testing.T) {
	for encoding, complete := range map[string]bool{"identity": false, "": true, "chunked": true} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if encoding != "" {
				writer.Header().Set("Transfer-Encoding", encoding)
			}
			_, _ = writer.Write([]byte("half"))
		}))
		answer, err := NewHTTPService(strings.TrimPrefix(server.URL, "http://")).Call(t.Context(), ServiceCall{Method: http.MethodGet, Path: "/", ID: "r"})
		server.Close()
		if complete {
			require.NoError(t, err, encoding)
			assert.Equal(t, "half", string(answer.Body))
			continue
		}
		var unavailable *fault.Unavailable
		require.ErrorAs(t, err, &unavailable)
		assert.Zero(t, unavailable.Status, "it may have run")
		assert.Empty(t, answer.Body)
	}
}
