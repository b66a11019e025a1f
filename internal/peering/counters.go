package peering

import (
	"maps"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// frameOverheadBytes is the size of a frame on the wire beyond its payload: WebSocket header with
// mask, TCP and IP headers with timestamps.
const frameOverheadBytes = 60

// Traffic counts messages and bytes of one kind, including headers.
type Traffic struct {
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
}

// Add returns the sum of two counts.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{
		MessagesIn:  t.MessagesIn + other.MessagesIn,
		MessagesOut: t.MessagesOut + other.MessagesOut,
		BytesIn:     t.BytesIn + other.BytesIn,
		BytesOut:    t.BytesOut + other.BytesOut,
	}
}

// Sub returns the increase since an earlier count. A counter that has been reset meanwhile counts
// as not increased.
func (t Traffic) Sub(earlier Traffic) Traffic {
	increase := func(now, before uint64) uint64 { return now - min(now, before) }
	return Traffic{
		MessagesIn:  increase(t.MessagesIn, earlier.MessagesIn),
		MessagesOut: increase(t.MessagesOut, earlier.MessagesOut),
		BytesIn:     increase(t.BytesIn, earlier.BytesIn),
		BytesOut:    increase(t.BytesOut, earlier.BytesOut),
	}
}

// Counters counts the traffic of a process by kind, the part of a topic before its first dot
// ("attempt", "configuration", "liveness" ...).
type Counters struct {
	mutex   sync.Mutex
	traffic map[string]Traffic

	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

// NewCounters returns counters that also update two Prometheus metrics.
func NewCounters(registerer prometheus.Registerer) *Counters {
	counters := &Counters{
		traffic: map[string]Traffic{},
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_peer_messages_total",
			Help: "Messages between processes, by kind and direction.",
		}, []string{"kind", "direction"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_peer_bytes_total",
			Help: "Bytes between processes with headers, by kind and direction.",
		}, []string{"kind", "direction"}),
	}
	registerer.MustRegister(counters.messages, counters.bytes)
	return counters
}

func kindOf(topic string) string {
	kind, _, _ := strings.Cut(topic, ".")
	return kind
}

func (c *Counters) countSent(topic string, size int) {
	kind := kindOf(topic)
	c.add(kind, Traffic{MessagesOut: 1, BytesOut: uint64(size + frameOverheadBytes)})
	c.messages.WithLabelValues(kind, "out").Inc()
	c.bytes.WithLabelValues(kind, "out").Add(float64(size + frameOverheadBytes))
}

func (c *Counters) countReceived(topic string, size int) {
	kind := kindOf(topic)
	c.add(kind, Traffic{MessagesIn: 1, BytesIn: uint64(size + frameOverheadBytes)})
	c.messages.WithLabelValues(kind, "in").Inc()
	c.bytes.WithLabelValues(kind, "in").Add(float64(size + frameOverheadBytes))
}

// CountRequest counts one control call over HTTP with its body sizes.
func (c *Counters) CountRequest(kind string, sentBytes, receivedBytes int) {
	c.add(kind, Traffic{
		MessagesOut: 1,
		MessagesIn:  1,
		BytesOut:    uint64(sentBytes + frameOverheadBytes),
		BytesIn:     uint64(receivedBytes + frameOverheadBytes),
	})
}

func (c *Counters) add(kind string, delta Traffic) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.traffic[kind] = c.traffic[kind].Add(delta)
}

// Snapshot returns the totals by kind.
func (c *Counters) Snapshot() map[string]Traffic {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.traffic)
}
