package site

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallerDeadline is the time that requests in demos and soak tests give the entry.
const CallerDeadline = 6 * time.Second

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
	request.Header.Set("Deadline-Ms", strconv.FormatInt(CallerDeadline.Milliseconds(), 10))
	if events > 0 {
		request.Header.Set("Model", s.Options.Weights.Model)
		request.Header.Set("Token-Usage", fmt.Sprintf("10,%d", events))
	}
	return request, nil
}

// partTokens is the size of each part of a prompt, in tokens.
const partTokens = 100

// SetPromptParts names the parts of a request's prompt. The last one is the request's own.
func SetPromptParts(request *http.Request, parts []string) {
	text := make([]string, len(parts))
	for index, part := range parts {
		text[index] = fmt.Sprintf("%s:%d", part, partTokens)
	}
	request.Header.Set("Prefix-Hash", strings.Join(text, ","))
}
