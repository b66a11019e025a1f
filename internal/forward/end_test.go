package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
)

// Answers of servers to the question who they are.
const (
	sameInstance  = "HTTP/1.1 200 OK\r\nInstance-Id: i-0\r\nContent-Length: 0\r\n\r\n"
	busyInstance  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	otherInstance = "HTTP/1.1 200 OK\r\nInstance-Id: i-other\r\nContent-Length: 0\r\n\r\n"
	misdirected   = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// startUnmarkedFleet starts a server whose first answer ends with its connection and has no length. It says who it
// is by the given answer, and answers further requests completely.
func startUnmarkedFleet(t *testing.T, probeAnswer string) *scriptedFleet {
	f := startScriptedFleet(t, 1, func(connection net.Conn, id string, attempt int) {
		switch {
		case id == "":
			_, _ = io.WriteString(connection, probeAnswer)
		case attempt == 1:
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nResponse-Seal: s\r\n\r\nhalf")
			_ = connection.Close()
		default:
			_, _ = io.WriteString(connection, completeAnswer(id, "whole"))
		}
	})
	view := &catalog.View{Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {HealthPath: "/healthz"}}}, Servers: f.targets.currentView().Servers}
	f.Update(view)
	return f
}

// Guards against half of a body that is passed on as a whole answer: its server has crashed, and another instance
// listens at its address when the entry looks, because the entry's machine stood still meanwhile.
func TestUnmarkedEndIsNotCompleteIfAnotherInstanceAnswers(t *testing.T) {
	for name, answer := range map[string]string{"by its id": otherInstance, "by its rejection": misdirected} {
		t.Run(name, func(t *testing.T) {
			f := startUnmarkedFleet(t, answer)
			recorded, refusal := f.serve(fleet.AtMostOnce, 2)
			require.NotNil(t, refusal)
			assert.Empty(t, recorded.Body.String())
		})
	}
}

// An answer without a length is whole if its server goes on, however busy it is.
func TestUnmarkedEndIsCompleteIfItsServerGoesOn(t *testing.T) {
	for name, answer := range map[string]string{"it says so": sameInstance, "it is busy": busyInstance} {
		t.Run(name, func(t *testing.T) {
			recorded, refusal := startUnmarkedFleet(t, answer).serve(fleet.AtMostOnce, 2)
			require.Nil(t, refusal)
			assert.Equal(t, http.StatusOK, recorded.Code)
			assert.Equal(t, "half", recorded.Body.String())
		})
	}
}
