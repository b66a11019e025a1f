package site

import (
	"fmt"
	"net/http"
	"strings"
)

// callerDeadline is the deadline of requests in demos and soak tests, in milliseconds.
const callerDeadline = "6000"

// NewRequest returns a request as a caller sends it to an entry. It asks for a stream when events
// is positive.
func (s *Site) NewRequest(zone, entry int, method, path, id, body string, events int) (*http.Request, error) {
	request, err := http.NewRequest(method, s.EntryURL(zone, entry)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = Host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Authorization", "Token "+Key)
	request.Header.Set("Deadline-Ms", callerDeadline)
	if events > 0 {
		request.Header.Set("Model", s.Options.Weights.Model)
		request.Header.Set("Token-Usage", fmt.Sprintf("10,%d", events))
	}
	return request, nil
}
