package network

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// HeadFault is what is wrong with the head of an answer.
type HeadFault string

// The faults, which are also label values and log fields.
const (
	// HeadStatus is a status that doesn't exist, or 101 without a request for it.
	HeadStatus HeadFault = "status"
	// HeadFieldName is a name of a field that is no token: net/http accepts blanks in names, also after them.
	HeadFieldName HeadFault = "field name"
)

// MalformedHead reports an answer whose head is none of HTTP. Neither its fields nor the end of its body can be relied upon,
// so that it is no answer, and nothing else may be read from its connection.
type MalformedHead struct {
	Fault HeadFault
	// Value is the status, or the name up to maxShownNameBytes.
	Value string
}

func (e *MalformedHead) Error() string {
	return fmt.Sprintf("malformed head of an answer: %s %q", e.Fault, e.Value)
}

// maxShownNameBytes bounds the part of a name that errors and log lines show.
const maxShownNameBytes = 64

// minStatus is the lowest status of HTTP. A status over 599 can be passed on unchanged, and counts as a server error
// (RFC 9110, 15).
const minStatus = http.StatusContinue

// CheckHead returns a MalformedHead if the head of an answer, as net/http has read it, is none of HTTP. Interim answers have
// heads too; 101 is only valid as the answer to a request to change the protocol, and is malformed here.
func CheckHead(status int, header http.Header) error {
	if status < minStatus || status == http.StatusSwitchingProtocols {
		return &MalformedHead{Fault: HeadStatus, Value: fmt.Sprintf("%03d", status)}
	}
	return checkFieldNames(header)
}

func checkFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedHead{Fault: HeadFieldName, Value: name[:min(len(name), maxShownNameBytes)]}
		}
	}
	return nil
}

// headChecker is a transport whose answers with a malformed head are errors.
type headChecker struct{ transport http.RoundTripper }

// CheckHeads returns a transport that makes requests by another one and returns a MalformedHead for an answer that has one,
// whose connection it closes.
func CheckHeads(transport http.RoundTripper) http.RoundTripper {
	return &headChecker{transport: transport}
}

// RoundTrip implements http.RoundTripper.
func (c *headChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection httptrace.GotConnInfo
	// If the request's context has a trace of its own, net/http only uses the result of that one's Got1xxResponse.
	interim := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) { connection = got },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			err := CheckHead(status, http.Header(header))
			if err != nil {
				keepFirst(interim, err)
			}
			return err
		},
	}
	response, err := c.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(request, response); err != nil {
		keepFirst(interim, err)
	}
	select {
	case err := <-interim:
		_ = response.Body.Close()
		// An answer without a body may have returned its connection to the idle ones already.
		_ = connection.Conn.Close()
		return nil, err
	default:
		return response, nil
	}
}

// keepFirst puts an error into a channel with room for one, unless that holds an earlier one.
func keepFirst(errors chan<- error, err error) {
	select {
	case errors <- err:
	default:
	}
}

// checkAnswer is CheckHead for a final answer, which may change the protocol if the request has asked for that.
func checkAnswer(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") != "" {
		return checkFieldNames(response.Header)
	}
	return CheckHead(response.StatusCode, response.Header)
}
