package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/fleet"
)

// Parameters of an entry with all bounds full.
const (
	fullServers = 4
	// fullRequests is how many requests are open, all slots of the servers.
	fullRequests = 64 * fullServers
	// fullTenants is the number of tenants that hold the memory for callers.
	fullTenants = 8
	// callerMemoryBytes is the memory for callers of an entry without a larger limit.
	callerMemoryBytes = 8 << 20
	// maxFullHeapBytes is how much more than a calm entry one with all bounds full may hold.
	maxFullHeapBytes = 40 << 20
)

// Kinds of unfinished answers, by the number of their request.
const (
	unfinishedHead = iota
	unfinishedEvent
	unfinishedBody
	unfinishedKinds
)

// longText is what long answers consist of. It is shared, so that the servers of a test hold no memory of their own.
var longText = strings.Repeat("d", max(maxEventBytes, maxBufferedBytes))

// writeUnfinishedAnswer writes an answer that is as long as the bounds allow, without its end.
func writeUnfinishedAnswer(connection net.Conn, id string) {
	var number int
	_, _ = fmt.Sscanf(id, "r-%d", &number)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n", id)
	switch number % unfinishedKinds {
	case unfinishedHead:
		_, _ = io.WriteString(connection, head+"A: ")
		_, _ = io.WriteString(connection, longText[:maxHeadBytes-2*len(head)])
	case unfinishedEvent:
		_, _ = fmt.Fprintf(connection, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", head, maxEventBytes)
		_, _ = io.WriteString(connection, longText[:maxEventBytes-1])
	default:
		_, _ = fmt.Fprintf(connection, "%sContent-Length: %d\r\n\r\n", head, maxBufferedBytes)
		_, _ = io.WriteString(connection, longText[:maxBufferedBytes-1])
	}
}

// droppingWriter is a caller that takes everything and keeps nothing.
type droppingWriter struct{ header http.Header }

func (w droppingWriter) Header() http.Header              { return w.header }
func (w droppingWriter) Write(data []byte) (int, error)   { return len(data), nil }
func (w droppingWriter) WriteHeader(int)                  {}
func (w droppingWriter) SetWriteDeadline(time.Time) error { return nil }
func (w droppingWriter) Flush()                           {}

// Guards against an entry that is killed for its memory when all of its servers answer as much as the bounds allow, and
// then nothing.
func TestMemoryOfAnEntryWithFullBounds(t *testing.T) {
	f := startScriptedFleet(t, fullServers, func(connection net.Conn, id string, _ int) {
		writeUnfinishedAnswer(connection, id)
	})
	quota := bytequota.New(callerMemoryBytes)
	ctx, cancel := context.WithCancel(t.Context())
	before := heapBytes()
	var open sync.WaitGroup
	for number := range fullRequests {
		open.Go(func() {
			request := testRequest(fmt.Sprint("r-", number), "b")
			request.Memory = quota.Open(fmt.Sprint("tenant-", number%fullTenants))
			defer request.Memory.Close()
			request.Configuration, request.Deadline = &fleet.Configuration{}, time.Now().Add(time.Minute)
			kind := fleet.AtMostOnce
			if number%unfinishedKinds == unfinishedEvent {
				kind = fleet.Streaming
			}
			request.Route = &fleet.Route{Kind: kind, Attempts: 1, Services: []fleet.WeightedService{{Service: "s", Weight: 1}}}
			// A handler that has begun an answer ends it by a panic, which net/http expects.
			defer func() { _ = recover() }()
			_ = f.Serve(ctx, droppingWriter{header: http.Header{}}, request)
		})
	}
	time.Sleep(2 * time.Second)
	held, grown := quota.Status().Held, heapBytes()-before
	cancel()
	open.Wait()
	t.Logf("%d MB more than before with %d requests open, %d MB of them charged to callers", grown>>20, fullRequests, held>>20)
	assert.Greater(t, held, int64(callerMemoryBytes/2), "the memory for callers is in use")
	assert.Less(t, grown, int64(maxFullHeapBytes))
}
