package network

import (
	"net/http"
	"slices"
	"strings"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveConnectionHeaders deletes the headers that concern one connection only, and
// those that the header itself names as such.
func RemoveConnectionHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

// IsConnectionHeader reports whether a header, named in its canonical form, concerns
// one connection only.
func IsConnectionHeader(name string) bool { return slices.Contains(connectionHeaders, name) }
