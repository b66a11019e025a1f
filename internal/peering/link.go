// Package peering carries messages between pinevane processes. It implements watermill's Publisher
// and Subscriber over one WebSocket per pair of processes, with frames encoded as CBOR. Delivery is
// at most once and in order within a link. Messages in flight on a lost link are lost, and its
// users are notified.
package peering

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"pinevane.example/pinevane/internal/fault"
)

// Limits of frames and links.
const (
	// MaximumFrameBytes bounds the size of a frame, which a full configuration must fit in.
	MaximumFrameBytes = 16 << 20
	// WriteTimeout bounds the time to write a frame to the kernel.
	WriteTimeout = 5 * time.Second
	// subscriptionDepth is how many undelivered messages a subscription buffers.
	subscriptionDepth = 256
)

// frame is the unit on the wire.
type frame struct {
	Topic   string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint,omitempty"`
	Payload []byte `cbor:"3,keyasint"`
}

// Hello is the first message on a link, in both directions.
type Hello struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Role        string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint"`
	// Protocol is the newest message version that the process can read. The packages that exchange
	// the messages define the versions; 0 means a build without versions.
	Protocol int `cbor:"5,keyasint,omitempty"`
}

const helloTopic = "hello"

// Handler receives a message of a topic. It is called by the link's reader, in order, and must not
// block for long.
type Handler func(link *Link, received *message.Message)

// Link is a WebSocket connection to another process. It implements watermill's message.Publisher
// and message.Subscriber.
type Link struct {
	connection   *websocket.Conn
	hub          *Hub
	remote       Hello
	address      string
	ctx          context.Context
	cancel       context.CancelFunc
	lastReceived atomic.Int64
	// connectTime is how long dialling took on a dialled link, up to the server's response.
	connectTime time.Duration
	// probing is set while a probe awaits its answer.
	probing atomic.Bool

	mutex         sync.Mutex
	closeError    error
	subscriptions map[string][]chan *message.Message
}

var (
	_ message.Publisher  = (*Link)(nil)
	_ message.Subscriber = (*Link)(nil)
)

// Remote returns the other process's Hello.
func (l *Link) Remote() Hello { return l.remote }

// Address returns the dialled address, or "" on an accepted link.
func (l *Link) Address() string { return l.address }

// Done is closed when the link is lost.
func (l *Link) Done() <-chan struct{} { return l.ctx.Done() }

// Up reports whether the link has not been lost.
func (l *Link) Up() bool { return l.ctx.Err() == nil }

// LastReceived returns when the last frame or answer to a probe arrived.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.lastReceived.Load()) }

// Probe pings the other process and waits for the answer, at most for a timeout. An answer updates
// LastReceived. Without an answer nothing happens: the caller decides how much silence means that
// the link is broken. Only one probe runs at a time, further ones return at once.
func (l *Link) Probe(timeout time.Duration) {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	defer l.probing.Store(false)
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	if err := l.connection.Ping(ctx); err == nil {
		l.lastReceived.Store(time.Now().UnixNano())
	}
}

// Publish sends messages under a topic. After an error the message may or may not have been sent,
// and the link is lost.
func (l *Link) Publish(topic string, messages ...*message.Message) error {
	for _, outgoing := range messages {
		if err := l.send(frame{Topic: topic, ID: outgoing.UUID, Payload: outgoing.Payload}); err != nil {
			return err
		}
	}
	return nil
}

func (l *Link) send(outgoing frame) error {
	data, err := cbor.Marshal(outgoing)
	if err != nil {
		return &fault.InvalidFrame{Field: "payload", Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(l.ctx, WriteTimeout)
	defer cancel()
	if err := l.connection.Write(ctx, websocket.MessageBinary, data); err != nil {
		l.terminate(err)
		return &fault.Unavailable{Target: l.remote.ID, Operation: "send " + outgoing.Topic, Cause: err}
	}
	l.hub.counters.countSent(outgoing.Topic, len(data))
	return nil
}

// Send publishes a value as one message, encoded as CBOR.
func Send[T any](l *Link, topic, id string, value T) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return &fault.InvalidFrame{Field: topic, Reason: err.Error()}
	}
	return l.Publish(topic, message.NewMessage(id, payload))
}

// Decode decodes a message's CBOR payload.
func Decode[T any](received *message.Message) (T, error) {
	var value T
	if err := cbor.Unmarshal(received.Payload, &value); err != nil {
		return value, &fault.InvalidFrame{Field: "payload", Reason: err.Error()}
	}
	return value, nil
}

// Subscribe returns the messages of a topic for which the hub has no handler. Messages are dropped
// while the channel is full; acknowledgements are ignored.
func (l *Link) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ctx.Err() != nil {
		return nil, &fault.Unavailable{Target: l.remote.ID, Operation: "subscribe " + topic, Cause: l.ctx.Err()}
	}
	channel := make(chan *message.Message, subscriptionDepth)
	l.subscriptions[topic] = append(l.subscriptions[topic], channel)
	context.AfterFunc(ctx, func() { l.unsubscribe(topic, channel) })
	return channel, nil
}

func (l *Link) unsubscribe(topic string, channel chan *message.Message) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := l.subscriptions[topic][:0]
	for _, candidate := range l.subscriptions[topic] {
		if candidate == channel {
			close(channel)
			continue
		}
		kept = append(kept, candidate)
	}
	l.subscriptions[topic] = kept
}

// Close closes the link.
func (l *Link) Close() error {
	l.terminate(nil)
	return nil
}

func (l *Link) terminate(cause error) {
	l.mutex.Lock()
	if l.closeError == nil {
		l.closeError = cause
	}
	l.mutex.Unlock()
	l.cancel()
	_ = l.connection.CloseNow()
}

// CloseCause returns why the link was lost, or nil.
func (l *Link) CloseCause() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.closeError
}

func (l *Link) readLoop() {
	defer l.closeSubscriptions()
	for {
		kind, data, err := l.connection.Read(l.ctx)
		if err != nil {
			l.terminate(err)
			return
		}
		l.lastReceived.Store(time.Now().UnixNano())
		if kind != websocket.MessageBinary {
			l.hub.logRejected(l, "frame is not binary")
			continue
		}
		var incoming frame
		if err := cbor.Unmarshal(data, &incoming); err != nil {
			l.hub.logRejected(l, err.Error())
			continue
		}
		l.hub.counters.countReceived(incoming.Topic, len(data))
		l.dispatch(incoming)
	}
}

func (l *Link) dispatch(incoming frame) {
	received := message.NewMessage(incoming.ID, incoming.Payload)
	if handler, ok := l.hub.handlers[incoming.Topic]; ok {
		handler(l, received)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, channel := range l.subscriptions[incoming.Topic] {
		select {
		case channel <- received:
		default:
		}
	}
}

func (l *Link) closeSubscriptions() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for topic, channels := range l.subscriptions {
		for _, channel := range channels {
			close(channel)
		}
		delete(l.subscriptions, topic)
	}
}
