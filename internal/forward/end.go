package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// An answer may have neither a length nor chunks and end with its connection. That end does not show that
// the answer is whole: the connections of a server that crashes end too. So the entry asks the server's address
// after the end who is there. Whether something listens there is not enough: the machine of the entry may have
// stood still while the server crashed and another instance took its place.

// errEndedByCrash means that an answer whose end is not marked has ended with the crash of its server.
var errEndedByCrash = errors.New("the server has crashed and the answer's end is not marked")

// checkEnd returns errEndedByCrash if an answer that has ended without an error was cut by the crash of its
// server.
func (w *forwarding) checkEnd(ctx context.Context, started *exchange) error {
	if started.endIsMarked() || !w.hasEnded(ctx, started.target) {
		return nil
	}
	w.log.Log(logging.UnmarkedEnd, zap.String("request", w.request.Call.RequestID), zap.String("server", started.target.ID))
	return errEndedByCrash
}

// hasEnded reports whether there is proof that a server no longer runs: its machine refuses connections, or
// another instance answers at its address. A server that is too busy to say who it is, or that can't be reached,
// counts as running.
func (w *forwarding) hasEnded(ctx context.Context, target *target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(probeTimeout))
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	return w.isOtherInstance(connection, target.ID)
}

// isOtherInstance asks for the health of the server at the other end of a connection and reports whether it is
// another one than expected. A server rejects a request that expects another instance.
func (w *forwarding) isOtherInstance(connection net.Conn, expected string) bool {
	path, err := url.ParseRequestURI(w.healthPath())
	if err != nil {
		return false
	}
	header := http.Header{}
	w.dialect.WriteSend(header, fleet.SendHeader{Instance: expected, Deadline: probeTimeout})
	header["User-Agent"] = []string{""}
	probe := &http.Request{Method: http.MethodGet, URL: path, Host: connection.RemoteAddr().String(), Header: header, Close: true}
	if err := probe.Write(connection); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(io.LimitReader(connection, maxHeadBytes), readBufferBytes), probe)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	answer := w.dialect.ReadAnswer(response.StatusCode, response.Header)
	if answer.Instance != "" {
		return answer.Instance != expected
	}
	return response.StatusCode == http.StatusMisdirectedRequest
}

// healthPath returns the health path of the request's service; "" if it has none.
func (w *forwarding) healthPath() string {
	for _, configuration := range []*fleet.Configuration{w.targets.currentView().Configuration, w.request.Configuration} {
		if configuration == nil {
			continue
		}
		if service, configured := configuration.Services[w.criteria.Service]; configured {
			return service.HealthPath
		}
	}
	return ""
}
