package network

import (
	"net/http"
	"slices"
	"strings"
)

// connectionHeaders are the hop-by-hop headers, which concern one connection only.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveConnectionHeaders deletes the hop-by-hop headers, including those that the Connection
// header lists.
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

// IsConnectionHeader reports whether a header, given in canonical form, is a hop-by-hop header.
func IsConnectionHeader(name string) bool { return slices.Contains(connectionHeaders, name) }
