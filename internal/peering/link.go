// Package peering carries messages between pinevane processes: watermill's
// Publisher and Subscriber over one WebSocket a pair of processes, with frames
// encoded as CBOR. Delivery is at most once and in order within a link; a lost
// link loses what was under way, and its users are told.
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

// Limits on frames and links.
const (
	// MaximumFrameBytes bounds one frame; a full configuration fits in it.
	MaximumFrameBytes = 16 << 20
	// WriteTimeout bounds the time to hand a frame to the kernel.
	WriteTimeout = 5 * time.Second
	// subscriptionDepth is how many undelivered messages a subscription holds.
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
	// Protocol is the newest version of the messages that the process can read, as those who exchange
	// them count; 0 from builds that count none.
	Protocol int `cbor:"5,keyasint,omitempty"`
}

const helloTopic = "hello"

// Handler receives one message of a topic. It is called from the link's reader,
// in order, and must not block for long.
type Handler func(link *Link, received *message.Message)

// Link is one WebSocket to another process. It implements watermill's
// message.Publisher and message.Subscriber.
type Link struct {
	connection *websocket.Conn
	hub        *Hub
	remote     Hello
	address    string
	ctx        context.Context
	cancel     context.CancelFunc
	lastHeard  atomic.Int64
	// answered is how long the connection of a dialled link took to be answered.
	answered time.Duration
	// probing is set while an answer to a probe is waited for.
	probing atomic.Bool

	mutex         sync.Mutex
	closeError    error
	subscriptions map[string][]chan *message.Message
}

var (
	_ message.Publisher  = (*Link)(nil)
	_ message.Subscriber = (*Link)(nil)
)

// Remote returns what the other process said of itself.
func (l *Link) Remote() Hello { return l.remote }

// Address returns the dialled address, or "" on an accepted link.
func (l *Link) Address() string { return l.address }

// Done is closed when the link is lost.
func (l *Link) Done() <-chan struct{} { return l.ctx.Done() }

// Up reports whether the link has not been lost.
func (l *Link) Up() bool { return l.ctx.Err() == nil }

// LastReceived returns when the last frame arrived.
func (l *Link) LastReceived() time.Time { return time.Unix(0, l.lastHeard.Load()) }

// Probe asks the other process for a sign of life and waits for it, at most for a
// timeout; the answer counts as heard. Without an answer nothing happens: how much
// silence means a broken link is for the caller to say. A second probe at the same
// time is dropped.
func (l *Link) Probe(timeout time.Duration) {
	if !l.probing.CompareAndSwap(false, true) {
		return
	}
	defer l.probing.Store(false)
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	if err := l.connection.Ping(ctx); err == nil {
		l.lastHeard.Store(time.Now().UnixNano())
	}
}

// Publish sends messages under a topic. An error means that the message may or
// may not have left; the link is then lost.
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
		l.lose(err)
		return &fault.Unavailable{Target: l.remote.ID, Operation: "send " + outgoing.Topic, Cause: err}
	}
	l.hub.counters.sent(outgoing.Topic, len(data))
	return nil
}

// Send encodes a value as CBOR and publishes it as one message.
func Send[T any](l *Link, topic, id string, value T) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return &fault.InvalidFrame{Field: topic, Reason: err.Error()}
	}
	return l.Publish(topic, message.NewMessage(id, payload))
}

// Decode reads a message's CBOR payload.
func Decode[T any](received *message.Message) (T, error) {
	var value T
	if err := cbor.Unmarshal(received.Payload, &value); err != nil {
		return value, &fault.InvalidFrame{Field: "payload", Reason: err.Error()}
	}
	return value, nil
}

// Subscribe returns the messages of a topic that no handler of the hub takes.
// Messages that find the channel full are dropped; acknowledgements are ignored.
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

// Close ends the link.
func (l *Link) Close() error {
	l.lose(nil)
	return nil
}

func (l *Link) lose(cause error) {
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

func (l *Link) read() {
	defer l.closeSubscriptions()
	for {
		kind, data, err := l.connection.Read(l.ctx)
		if err != nil {
			l.lose(err)
			return
		}
		l.lastHeard.Store(time.Now().UnixNano())
		if kind != websocket.MessageBinary {
			l.hub.rejected(l, "frame is not binary")
			continue
		}
		var incoming frame
		if err := cbor.Unmarshal(data, &incoming); err != nil {
			l.hub.rejected(l, err.Error())
			continue
		}
		l.hub.counters.received(incoming.Topic, len(data))
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
