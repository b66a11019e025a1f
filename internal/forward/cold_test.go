package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
)

// The remaining cold time that an answer names is applied, and an invalid one is ignored.
func TestColdTimeInAnswers(t *testing.T) {
	for value, cold := range map[string]time.Duration{"0": 0, "soon": 0, "800.5": 800500 * time.Microsecond, "50000000": 3 * time.Second, "1e300": 0} {
		f := testForwarder()
		server := startScriptedServer(t, func(connection net.Conn, request *http.Request, _ int) {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nCold-Ms: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"), value)
		})
		f.Update(&catalog.View{
			Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {ColdRate: 26, ColdTime: 3 * time.Second}}},
			Servers:       map[string][]fleet.Server{"s": {{ID: "i-1", Service: "s", Address: server.Address, Zone: "z"}}},
		})
		server = f.targets.targetOf(f.targets.core.Candidates("s")[0])
		_, failed := roundTrip(t, f, server, testRequest("a", ""))
		require.Nil(t, failed)
		left := f.Servers()[0].ColdFor
		assert.LessOrEqual(t, left, cold.Seconds(), value)
		assert.Equal(t, cold > 0, left > 0, value)
	}
}
